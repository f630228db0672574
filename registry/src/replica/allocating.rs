//! The quotas that this replica allocates, as the holder of ranges of the ledger. It allocates only once a majority has
//! confirmed that it still holds the range.

use super::interface::{Answer, BusyReason};
use crate::state::{CommandError, TooMany};
use quota_ledger::health::{EPOCHS_PER_ALLOCATOR, HealthReport, HealthVerdict, ReportCounts};
use quota_ledger::{
    Allocation, Allocator, FallbackQuotas, LedgerError, LedgerState, LimitKey, Micros, QuotaDemand,
    Resource,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// The most incarnations of senders that may hold quotas at once.
const MAX_QUOTA_HOLDERS: usize = 16_384;
/// The most demands, and the most health reports, of one request.
const MAX_DEMANDS: usize = 4096;
/// How often what has expired is forgotten.
const CLEANUP_INTERVAL: Micros = 1_000_000;

/// A sender's request for quotas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaRequest {
    /// The sender's name.
    pub sender: String,
    /// The sender's incarnation: it differs between any two processes of one name.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Numbers the requests of an incarnation.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The quotas that the sender may use without an allocation.
    #[serde(rename = "floors")]
    pub fallback_quotas: FallbackQuotas,
    /// The quotas that the sender demands.
    #[serde(rename = "wants")]
    pub demands: Vec<QuotaDemand>,
    /// The sender's zone.
    #[serde(default)]
    pub zone: String,
    /// The health of destinations, by the sender's own calls.
    #[serde(default, rename = "words")]
    pub health_reports: Vec<HealthReport>,
}

/// The response to a request for quotas, of the ranges that could be asked.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaResponse {
    /// How long the quotas last from the request on, microseconds on the sender's clock.
    pub lease: Micros,
    /// The version of the limits.
    pub rev: u64,
    /// The quotas.
    #[serde(rename = "dealt")]
    pub allocations: Vec<Allocation>,
    /// What enough senders agree on, of the destinations that were demanded.
    #[serde(default)]
    pub verdicts: Vec<HealthVerdict>,
    /// The demands for ranges that other replicas hold, by replica.
    #[serde(skip)]
    pub elsewhere: BTreeMap<u64, Vec<QuotaDemand>>,
}

/// A sender's process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SenderId {
    name: String,
    incarnation: u64,
}

/// A sender that may hold quotas.
#[derive(Debug, Clone, Copy)]
struct QuotaHolder {
    number: u64,
    /// All its quotas have expired after this.
    expires_at: Micros,
}

/// A range that this replica holds.
struct HeldRange {
    epoch: u64,
    allocator: Allocator,
}

/// The ranges that this replica holds, and who holds quotas of them.
#[derive(Default)]
pub(super) struct RangeAllocations {
    /// The ranges by first destination.
    ranges: BTreeMap<u64, HeldRange>,
    /// The health reports of senders, for as long as the range is held.
    reports: BTreeMap<u64, ReportCounts>,
    holders: BTreeMap<SenderId, QuotaHolder>,
    last_number: u64,
    cleaned_at: Micros,
    allocated: u64,
}

impl RangeAllocations {
    /// Takes and gives up ranges as the ledger says.
    pub fn follow(&mut self, now: Micros, replica: u64, ledger: Option<&LedgerState>) {
        let Some(ledger) = ledger else {
            self.ranges.clear();
            return;
        };
        if !self.is_current(replica, ledger) {
            self.take_ranges(now, replica, ledger);
        }
        if now >= self.cleaned_at + CLEANUP_INTERVAL {
            self.forget_expired(now);
        }
    }

    /// Whether the ranges are those that the ledger gives this replica.
    fn is_current(&self, replica: u64, ledger: &LedgerState) -> bool {
        let mut own = ledger
            .shards()
            .iter()
            .filter(|(_, shard)| shard.allocator == Some(replica));
        self.ranges.len() == own.clone().count()
            && own.all(|(first, shard)| {
                self.ranges
                    .get(first)
                    .is_some_and(|range| range.epoch == shard.epoch)
            })
    }

    fn take_ranges(&mut self, now: Micros, replica: u64, ledger: &LedgerState) {
        // the reports were another holder's, or of another range: senders repeat theirs within a lease
        self.reports.clear();
        let mut before = std::mem::take(&mut self.ranges);
        for (first, shard) in ledger
            .shards()
            .iter()
            .filter(|(_, shard)| shard.allocator == Some(replica))
        {
            let mut allocator = Allocator::new(ledger.terms(), now);
            // after a cut-over the parent's holder knows its keys; what one child does not take stays for the other
            for (from, epoch) in [Some((*first, shard.epoch)), shard.split_from]
                .into_iter()
                .flatten()
            {
                if let Some(range) = before.get_mut(&from).filter(|range| range.epoch == epoch) {
                    allocator
                        .take_over(&mut range.allocator, |key| ledger.shard_of(key).0 == *first);
                }
            }
            self.ranges.insert(
                *first,
                HeldRange {
                    epoch: shard.epoch,
                    allocator,
                },
            );
        }
    }

    fn forget_expired(&mut self, now: Micros) {
        self.cleaned_at = now;
        self.ranges
            .values_mut()
            .for_each(|range| range.allocator.remove_expired(now));
        self.reports
            .values_mut()
            .for_each(|reports| reports.remove_expired(now));
        self.holders.retain(|_, holder| holder.expires_at > now);
    }

    /// Allocates from the ranges that are held here, after a majority has confirmed that what is applied here was current.
    pub fn allocate(
        &mut self,
        now: Micros,
        request: QuotaRequest,
        replica: u64,
        ledger: Option<&LedgerState>,
    ) -> Answer {
        let Some(ledger) = ledger else {
            return Answer::Rejected(CommandError::Ledger(LedgerError::NotCreated));
        };
        if &request.fallback_quotas != ledger.fallback_quotas() {
            return Answer::OtherFallback;
        }
        if request.demands.len() > MAX_DEMANDS || request.health_reports.len() > MAX_DEMANDS {
            return Answer::Rejected(TooMany::Demands.into());
        }
        let id = SenderId {
            name: request.sender.clone(),
            incarnation: request.incarnation,
        };
        let Some(holder) = self.register_holder(now, id, ledger) else {
            return Answer::Busy(BusyReason::QuotaHolders);
        };
        let destinations: BTreeSet<u64> = request
            .demands
            .iter()
            .map(|demand| demand.key.position())
            .collect();
        self.record_reports(now, &request, ledger);
        let mut response = QuotaResponse {
            lease: ledger.terms().lease,
            rev: ledger.revision(),
            verdicts: self.verdicts(&destinations),
            ..QuotaResponse::default()
        };
        for demand in request.demands {
            self.allocate_one(now, holder, demand, replica, ledger, &mut response);
        }
        Answer::Quotas(Box::new(response))
    }

    /// Registers a sender that may hold quotas from now on; its number, or none where there are too many.
    fn register_holder(&mut self, now: Micros, id: SenderId, ledger: &LedgerState) -> Option<u64> {
        let expires_at =
            now + 2 * ledger.terms().longest_validity() + ledger.max_expiry_grace_ms() * 1000;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.expires_at = expires_at;
            return Some(holder.number);
        }
        if self.holders.len() >= MAX_QUOTA_HOLDERS {
            return None;
        }
        self.last_number += 1;
        self.holders.insert(
            id,
            QuotaHolder {
                number: self.last_number,
                expires_at,
            },
        );
        Some(self.last_number)
    }

    /// Records the health reports on destinations of ranges that are held here.
    fn record_reports(&mut self, now: Micros, request: &QuotaRequest, ledger: &LedgerState) {
        for report in &request.health_reports {
            let (first, _) = ledger.shard_of(&LimitKey::of(report.destination, Resource::Rate));
            if let Some(range) = self.ranges.get(&first) {
                let reports = self.reports.entry(first).or_default();
                reports.record(
                    now,
                    &request.sender,
                    &request.zone,
                    *report,
                    range.epoch * EPOCHS_PER_ALLOCATOR,
                );
            }
        }
    }

    fn verdicts(&self, destinations: &BTreeSet<u64>) -> Vec<HealthVerdict> {
        let held = self
            .reports
            .iter()
            .filter(|(first, _)| self.ranges.contains_key(first));
        held.flat_map(|(_, reports)| reports.verdicts(destinations.iter().copied()))
            .collect()
    }

    fn allocate_one(
        &mut self,
        now: Micros,
        holder: u64,
        demand: QuotaDemand,
        replica: u64,
        ledger: &LedgerState,
        response: &mut QuotaResponse,
    ) {
        let (first, range_holder) = ledger.shard_of(&demand.key);
        let Some(range) = self.ranges.get_mut(&first) else {
            if let Some(other) = range_holder.filter(|other| *other != replica) {
                response.elsewhere.entry(other).or_default().push(demand);
            }
            return;
        };
        response.allocations.push(match ledger.limit(&demand.key) {
            None => Allocation {
                key: demand.key,
                quota: None,
                total: None,
                expiry_grace_ms: 0,
            },
            Some(limit) => {
                self.allocated += 1;
                range
                    .allocator
                    .allocate(now, holder, &demand, limit, ledger.fallback_quotas())
            }
        });
    }

    /// The ranges that are held here, and what of them is allocated, for operators.
    pub fn report(&self, now: Micros, ledger: &LedgerState) -> Value {
        let ranges: Vec<Value> = self
            .ranges
            .iter()
            .map(|(first, range)| range.report(now, *first, ledger))
            .collect();
        json!({ "keeps": ranges, "lives": self.holders.len(), "dealt": self.allocated })
    }
}

impl HeldRange {
    fn report(&self, now: Micros, first: u64, ledger: &LedgerState) -> Value {
        let limit = |(key, allocated, holders): (&LimitKey, u64, usize)| {
            let total = ledger.limit(key).map(|limit| limit.total);
            json!({
                "key": key, "total": total, "floors": ledger.fallback_quotas().total_of(key), "out": allocated,
                "holders": holders
            })
        };
        json!({
            "first": first, "epoch": self.epoch,
            "deals_in_ms": self.allocator.allocates_from().saturating_sub(now) / 1000,
            "limits": self.allocator.entries().map(limit).collect::<Vec<_>>()
        })
    }
}

#[cfg(test)]
mod tests;
