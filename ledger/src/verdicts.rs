//! What one sender learns of a destination and all should know: that it is out, or back. A keeper tallies what senders of its range
//! say; a verdict needs more observers than may lie, and each change of one has a higher epoch.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use versioned_config::Micros;

/// Observers that may lie, hold old words, or sit behind a broken link of their own.
pub const MAX_FAULTY_REPORTERS: usize = 1;
/// How long a word counts, and a verdict without further words for it, µs: some questions of a sender.
pub const REPORT_TTL: Micros = 3_000_000;

/// What a sender says of a destination, of its own calls alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthReport {
    /// Which.
    pub destination: u64,
    /// It is out; else its last call succeeded a short while ago.
    #[serde(rename = "out")]
    pub unavailable: bool,
}

/// What enough of them agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthVerdict {
    /// Which.
    pub destination: u64,
    /// It is out; else it is back.
    #[serde(rename = "out")]
    pub unavailable: bool,
    /// Higher with each change: of two, the one with the higher epoch holds.
    pub epoch: u64,
    /// Senders that say so.
    pub observers: usize,
}

impl HealthVerdict {
    /// The one that holds of two of one destination; the same either way round, and of any number in any order.
    pub fn merge(self, other: HealthVerdict) -> HealthVerdict {
        let rank =
            |verdict: &HealthVerdict| (verdict.epoch, verdict.unavailable, verdict.observers);
        if rank(&other) > rank(&self) {
            other
        } else {
            self
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Said {
    zone: String,
    out: bool,
    until: Micros,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Tally {
    /// By sender's name: two lives of one are one observer.
    words: BTreeMap<String, Said>,
    out: bool,
    epoch: u64,
}

/// The words of a range's senders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ReportCounts {
    all: BTreeMap<u64, Tally>,
    /// Zones that senders have named.
    zones: BTreeSet<String>,
}

impl ReportCounts {
    /// Takes a sender's word. `first` is the epoch that the verdicts of a keeper before this one were all below.
    pub fn record(
        &mut self,
        now: Micros,
        sender: &str,
        zone: &str,
        word: HealthReport,
        first: u64,
    ) {
        self.zones.insert(zone.to_string());
        let tally = self.all.entry(word.destination).or_insert_with(|| Tally {
            epoch: first,
            ..Tally::default()
        });
        let until = now + REPORT_TTL;
        tally.words.insert(
            sender.to_string(),
            Said {
                zone: zone.to_string(),
                out: word.unavailable,
                until,
            },
        );
        tally.words.retain(|_, said| said.until > now);
        let count = |out: bool| tally.words.values().filter(|said| said.out == out).count();
        let zones = |out: bool| {
            let said = tally.words.values().filter(|said| said.out == out);
            said.map(|said| said.zone.as_str())
                .collect::<BTreeSet<_>>()
                .len()
        };
        // out: more say so than may lie, and more than say that it lives. Back is bolder: as many, from two zones if there are
        let out = count(true) > MAX_FAULTY_REPORTERS && count(true) > count(false);
        let back = count(false) > MAX_FAULTY_REPORTERS
            && zones(false) >= self.zones.len().min(2)
            && count(false) > count(true);
        if (out && !tally.out) || (back && tally.out) {
            (tally.out, tally.epoch) = (!tally.out, tally.epoch + 1);
        }
    }

    /// The verdicts on these destinations, of those that ever had one.
    pub fn verdicts<'a>(
        &'a self,
        destinations: impl Iterator<Item = u64> + 'a,
    ) -> impl Iterator<Item = HealthVerdict> + 'a {
        destinations.filter_map(|destination| {
            let Tally { words, out, epoch } = self.all.get(&destination)?;
            let observers = words.values().filter(|said| said.out == *out).count();
            (epoch % EPOCHS_PER_ALLOCATOR > 0).then_some(HealthVerdict {
                destination,
                unavailable: *out,
                epoch: *epoch,
                observers,
            })
        })
    }

    /// Forgets destinations of which nobody has said anything for long.
    pub fn remove_expired(&mut self, now: Micros) {
        self.all
            .values_mut()
            .for_each(|tally| tally.words.retain(|_, said| said.until > now));
        self.all
            .retain(|_, tally| tally.out || !tally.words.is_empty());
    }
}

/// Verdicts of one keeper's epoch: those of the next begin above them.
pub const EPOCHS_PER_ALLOCATOR: u64 = 1 << 32;

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn said(
        tallies: &mut ReportCounts,
        now: Micros,
        sender: &str,
        zone: &str,
        out: bool,
    ) -> Option<(bool, u64)> {
        tallies.record(
            now,
            sender,
            zone,
            HealthReport {
                destination: 7,
                unavailable: out,
            },
            EPOCHS_PER_ALLOCATOR,
        );
        tallies
            .verdicts([7].into_iter())
            .next()
            .map(|verdict| (verdict.unavailable, verdict.epoch - EPOCHS_PER_ALLOCATOR))
    }

    #[test]
    fn a_liar_takes_nothing_out_and_brings_nothing_back() {
        let mut tallies = ReportCounts::default();
        for now in 0..10 {
            assert_eq!(said(&mut tallies, now * 1_000_000, "liar", "a", true), None);
            assert_eq!(said(&mut tallies, now * 1_000_000, "one", "a", false), None);
        }
        // one more than may lie, and more than say that it lives
        let mut now = 10_000_000;
        assert_eq!(said(&mut tallies, now, "two", "b", true), Some((true, 1)));
        now += REPORT_TTL;
        said(&mut tallies, now, "one", "a", true);
        said(&mut tallies, now, "two", "b", true);
        assert_eq!(said(&mut tallies, now, "liar", "a", false), Some((true, 1)));
        // two from one zone are not enough where there are two zones
        assert_eq!(said(&mut tallies, now, "one", "a", false), Some((true, 1)));
        assert_eq!(said(&mut tallies, now, "two", "b", false), Some((false, 2)));
    }

    #[test]
    fn one_more_than_may_lie_takes_a_healthy_one_out_only_where_fewer_see_it_live() {
        let mut tallies = ReportCounts::default();
        for sender in ["one", "two", "three"] {
            said(&mut tallies, 0, sender, "a", false);
        }
        assert_eq!(said(&mut tallies, 1, "liar", "a", true), None);
        assert_eq!(said(&mut tallies, 1, "other liar", "a", true), None);
    }

    #[test]
    fn an_old_word_counts_for_nothing() {
        let mut tallies = ReportCounts::default();
        said(&mut tallies, 0, "one", "a", true);
        assert_eq!(said(&mut tallies, REPORT_TTL, "two", "a", true), None);
        tallies.remove_expired(3 * REPORT_TTL);
        assert_eq!(
            tallies,
            ReportCounts {
                zones: ["a".to_string()].into(),
                ..ReportCounts::default()
            }
        );
    }

    proptest! {
        #[test]
        fn merges_commute_and_old_verdicts_do_not_return(
            all in proptest::collection::vec((0u64..4, any::<bool>(), 0usize..4), 1..6), turn in 0usize..6
        ) {
            let all: Vec<HealthVerdict> = all
                .into_iter()
                .map(|(epoch, out, observers)| HealthVerdict { destination: 7, unavailable: out, epoch, observers })
                .collect();
            let join = |all: &[HealthVerdict]| all.iter().copied().reduce(HealthVerdict::merge);
            let mut other = all.clone();
            other.rotate_left(turn % all.len());
            prop_assert_eq!(join(&all), join(&other));
            let held = join(&all).expect("one at least");
            prop_assert!(all.iter().all(|verdict| held.merge(*verdict) == held && held.epoch >= verdict.epoch));
        }
    }
}
