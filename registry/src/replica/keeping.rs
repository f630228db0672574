//! What a replica alone knows as keeper of ranges of the ledger: which parts are out. It deals only once a majority has
//! confirmed that it still keeps the range.

use super::Answer;
use crate::state::Refused;
use quota_ledger::health::{EPOCHS_PER_ALLOCATOR, HealthReport, HealthVerdict, ReportCounts};
use quota_ledger::{
    Allocation, Allocator, FallbackQuotas, LedgerError, LedgerState, LimitKey, Micros, QuotaDemand,
    Resource,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Lives of senders that may hold parts at once, and wants of one question.
const LIVES_MOST: usize = 16_384;
const WANTS_MOST: usize = 4096;
/// How often what has lapsed is forgotten.
const FORGET: Micros = 1_000_000;

/// A sender's question for parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartsQuestion {
    /// The sender's name.
    pub sender: String,
    /// Its life: differs between any two processes of one name.
    pub life: u64,
    /// Numbers the question within that life.
    pub number: u64,
    /// What it may use without asking.
    pub floors: FallbackQuotas,
    /// What it wants.
    pub wants: Vec<QuotaDemand>,
    /// Its zone, and what it says of destinations.
    #[serde(default)]
    pub zone: String,
    /// What it says of destinations by its own calls.
    #[serde(default)]
    pub words: Vec<HealthReport>,
}

/// The answer: of the ranges that could be asked.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsAnswer {
    /// How long the parts last, counted from when they were asked for, microseconds on the sender's clock.
    pub lease: Micros,
    /// The version of the limits.
    pub rev: u64,
    /// The parts.
    pub dealt: Vec<Allocation>,
    /// What enough senders agree on, of the destinations that something was wanted of.
    #[serde(default)]
    pub verdicts: Vec<HealthVerdict>,
    /// Which replicas keep the rest of what was wanted.
    #[serde(skip)]
    pub elsewhere: BTreeMap<u64, Vec<QuotaDemand>>,
}

/// What it keeps.
#[derive(Default)]
pub(super) struct Keeping {
    /// By first places, with their epochs.
    ranges: BTreeMap<u64, (u64, Allocator)>,
    /// What senders say of their destinations, for as long as the range is kept.
    tallies: BTreeMap<u64, ReportCounts>,
    numbers: BTreeMap<(String, u64), (u64, Micros)>,
    next: u64,
    forgot: Micros,
    dealt: u64,
}

impl Keeping {
    /// Begins and ends to keep ranges as the log says.
    pub fn follow(&mut self, now: Micros, id: u64, book: Option<&LedgerState>) {
        let Some(book) = book else {
            return self.ranges.clear();
        };
        let own = || {
            book.shards()
                .iter()
                .filter(|(_, shard)| shard.allocator == Some(id))
        };
        let same = self.ranges.len() == own().count()
            && own().all(|(first, shard)| {
                self.ranges
                    .get(first)
                    .is_some_and(|(epoch, _)| *epoch == shard.epoch)
            });
        if !same {
            // another keeper's words, or of another range: senders say theirs again within a lease
            self.tallies.clear();
            let mut before = std::mem::take(&mut self.ranges);
            for (first, shard) in own() {
                let mut kept = Allocator::new(book.terms(), now);
                // after a cut-over the parent's keeper knows its keys; what one child does not take stays for the other
                for (from, epoch) in [Some((*first, shard.epoch)), shard.split_from]
                    .into_iter()
                    .flatten()
                {
                    if let Some((_, keeper)) =
                        before.get_mut(&from).filter(|(known, _)| *known == epoch)
                    {
                        kept.take_over(keeper, |key| book.shard_of(key).0 == *first);
                    }
                }
                self.ranges.insert(*first, (shard.epoch, kept));
            }
        }
        if now >= self.forgot + FORGET {
            self.forgot = now;
            self.ranges
                .values_mut()
                .for_each(|(_, keeper)| keeper.remove_expired(now));
            self.tallies
                .values_mut()
                .for_each(|tallies| tallies.remove_expired(now));
            self.numbers.retain(|_, (_, until)| *until > now);
        }
    }

    /// Deals what is kept here, a majority having said that what is applied here was current.
    pub fn deal(
        &mut self,
        now: Micros,
        question: PartsQuestion,
        id: u64,
        book: Option<&LedgerState>,
    ) -> Answer {
        let Some(book) = book else {
            return Answer::Refused(Refused::Ledger(LedgerError::NotCreated));
        };
        let PartsQuestion {
            sender,
            life,
            floors,
            wants,
            zone,
            words,
            ..
        } = question;
        if &floors != book.fallback_quotas() {
            return Answer::OtherFloor;
        }
        if wants.len() > WANTS_MOST || words.len() > WANTS_MOST {
            return Answer::Refused(Refused::Size("more than 4096 wants at once"));
        }
        let until = now + 2 * book.terms().longest_validity() + book.max_expiry_grace_ms() * 1000;
        let known = (sender.clone(), life);
        if self.numbers.len() >= LIVES_MOST && !self.numbers.contains_key(&known) {
            return Answer::Busy("too many senders hold parts");
        }
        let next = &mut self.next;
        let entry = self.numbers.entry(known).or_insert_with(|| {
            *next += 1;
            (*next, until)
        });
        entry.1 = until;
        let holder = entry.0;
        let mut answer = PartsAnswer {
            lease: book.terms().lease,
            rev: book.revision(),
            ..PartsAnswer::default()
        };
        let destinations: BTreeSet<u64> = wants.iter().map(|want| want.key.position()).collect();
        for word in words {
            let (first, _) = book.shard_of(&LimitKey::of(word.destination, Resource::Rate));
            if let Some((epoch, _)) = self.ranges.get(&first) {
                let tallies = self.tallies.entry(first).or_default();
                tallies.record(now, &sender, &zone, word, epoch * EPOCHS_PER_ALLOCATOR);
            }
        }
        let kept = self
            .tallies
            .iter()
            .filter(|(first, _)| self.ranges.contains_key(first));
        answer.verdicts = kept
            .flat_map(|(_, tallies)| tallies.verdicts(destinations.iter().copied()))
            .collect();
        for want in wants {
            let (first, keeper) = book.shard_of(&want.key);
            match (self.ranges.get_mut(&first), book.limit(&want.key)) {
                (Some(_), None) => {
                    answer.dealt.push(Allocation {
                        key: want.key,
                        quota: None,
                        total: None,
                        expiry_grace_ms: 0,
                    });
                }
                (Some((_, keeper)), Some(limit)) => {
                    self.dealt += 1;
                    answer.dealt.push(keeper.allocate(
                        now,
                        holder,
                        &want,
                        limit,
                        book.fallback_quotas(),
                    ));
                }
                (None, _) => {
                    if let Some(keeper) = keeper.filter(|keeper| *keeper != id) {
                        answer.elsewhere.entry(keeper).or_default().push(want);
                    }
                }
            }
        }
        Answer::Parts(Box::new(answer))
    }

    /// What is kept here and what of it is out, for operators.
    pub fn report(&self, now: Micros, book: &LedgerState) -> Value {
        let account = |(key, out, holders): (&quota_ledger::LimitKey, u64, usize)| {
            let total = book.limit(key).map(|limit| limit.total);
            json!({ "key": key, "total": total, "floors": book.fallback_quotas().total_of(key), "out": out, "holders": holders })
        };
        let range = |(first, (epoch, keeper)): (&u64, &(u64, Allocator))| {
            json!({ "first": first, "epoch": epoch,
                "deals_in_ms": keeper.allocates_from().saturating_sub(now) / 1000,
                "limits": keeper.entries().map(account).collect::<Vec<_>>() })
        };
        json!({ "keeps": self.ranges.iter().map(range).collect::<Vec<_>>(), "lives": self.numbers.len(),
            "dealt": self.dealt })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quota_ledger::{LeaseTerms, LedgerEntry, Limit};

    const TERMS: LeaseTerms = LeaseTerms {
        lease: 1_500_000,
        max_drift: 30_000,
    };

    fn applied(book: &mut Option<LedgerState>, entry: LedgerEntry) {
        LedgerState::apply(book, entry).expect("applied");
    }

    /// What a sender gets of destinations 3 and 12.
    fn parts(
        keeping: &mut Keeping,
        now: Micros,
        sender: &str,
        book: &Option<LedgerState>,
    ) -> Vec<u64> {
        let wants = [3, 12].map(|destination| QuotaDemand {
            key: LimitKey::of(destination, Resource::Rate),
            amount: 20_000,
        });
        let question = PartsQuestion {
            sender: sender.to_string(),
            life: 1,
            number: 1,
            floors: book.as_ref().expect("begun").fallback_quotas().clone(),
            wants: wants.to_vec(),
            zone: String::new(),
            words: Vec::new(),
        };
        keeping.follow(now, 1, book.as_ref());
        match keeping.deal(now, question, 1, book.as_ref()) {
            Answer::Parts(answer) => answer
                .dealt
                .iter()
                .map(|dealt| dealt.quota.unwrap_or(u64::MAX))
                .collect(),
            other => panic!("{other:?}"),
        }
    }

    fn split_book() -> Option<LedgerState> {
        let mut book = None;
        let floors = FallbackQuotas {
            senders: 3,
            per_sender: [("rate".to_string(), 0)].into(),
        };
        applied(
            &mut book,
            LedgerEntry::Create {
                fallback_quotas: floors,
                terms: TERMS,
                split_at: Vec::new(),
            },
        );
        applied(
            &mut book,
            LedgerEntry::AssignAllocator {
                shard: 0,
                epoch: 0,
                replica: 1,
            },
        );
        for destination in [3, 12] {
            let limit = Some(Limit {
                total: 10_000,
                expiry_grace_ms: 0,
            });
            applied(
                &mut book,
                LedgerEntry::SetLimit {
                    key: LimitKey::of(destination, Resource::Rate),
                    limit,
                    if_match: None,
                },
            );
        }
        book
    }

    #[test]
    fn a_cut_over_deals_nothing_twice_and_the_parents_keeper_goes_on_at_once() {
        let (mut book, mut keeping) = (split_book(), Keeping::default());
        assert_eq!(
            parts(&mut keeping, 0, "a", &book),
            [0, 0],
            "what one before dealt may last"
        );
        let now = TERMS.longest_validity();
        assert_eq!(
            parts(&mut keeping, now, "a", &book),
            [9990, 9990],
            "in whole calls a lease"
        );
        applied(
            &mut book,
            LedgerEntry::BeginSplit {
                first: 0,
                at: 10,
                planted_fault: None,
            },
        );
        (0..4).for_each(|_| applied(&mut book, LedgerEntry::AdvanceSplit(8)));
        applied(&mut book, LedgerEntry::CutOver);
        assert_eq!(book.as_ref().map(|book| book.shards().len()), Some(2));
        // all of both but the rest of a call is out still, and the one that has it has it on
        assert_eq!(parts(&mut keeping, now + 1, "b", &book), [10, 10]);
        let again = parts(&mut keeping, now + 2, "a", &book);
        assert!(again.iter().all(|part| *part > 0), "{again:?}");
        // another replica that keeps one of them from now on waits
        applied(
            &mut book,
            LedgerEntry::AssignAllocator {
                shard: 10,
                epoch: 2,
                replica: 2,
            },
        );
        assert_eq!(
            parts(&mut keeping, now + 3, "a", &book).len(),
            1,
            "the other is kept elsewhere"
        );
        let mut other = Keeping::default();
        other.follow(now + 3, 2, book.as_ref());
        let keeper = &other.ranges[&10].1;
        assert_eq!(
            (other.ranges.len(), keeper.allocates_from()),
            (1, now + 3 + TERMS.longest_validity())
        );
    }
}
