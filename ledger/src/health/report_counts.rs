//! The reports of a shard's senders, counted to verdicts.

use super::report::{HealthReport, HealthVerdict};
use std::collections::{BTreeMap, BTreeSet};
use versioned_config::Micros;

/// Reporters that may be wrong, hold old reports, or sit behind a broken link of their own.
pub const MAX_FAULTY_REPORTERS: usize = 1;

/// How long a report counts, and a verdict without further reports for it, in µs: some requests of a sender.
pub const REPORT_TTL: Micros = 3_000_000;

/// Verdicts of one allocator's epoch: those of the next begin above them.
pub const EPOCHS_PER_ALLOCATOR: u64 = 1 << 32;

/// The last report of one sender.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ReceivedReport {
    zone: String,
    unavailable: bool,
    until: Micros,
}

/// The reports and the verdict of one destination.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct DestinationReports {
    /// By the sender's name: two incarnations of one sender are one reporter.
    reports: BTreeMap<String, ReceivedReport>,
    unavailable: bool,
    epoch: u64,
}

impl DestinationReports {
    fn remove_expired(&mut self, now: Micros) {
        self.reports.retain(|_, report| report.until > now);
    }

    fn reports_of(&self, unavailable: bool) -> impl Iterator<Item = &ReceivedReport> {
        self.reports
            .values()
            .filter(move |report| report.unavailable == unavailable)
    }

    fn count(&self, unavailable: bool) -> usize {
        self.reports_of(unavailable).count()
    }

    /// More reporters than may be faulty say so, and more than say that it is available.
    fn is_reported_unavailable(&self) -> bool {
        let unavailable = self.count(true);
        unavailable > MAX_FAULTY_REPORTERS && unavailable > self.count(false)
    }

    /// To send calls again is the bolder step: it takes reporters of two zones where there are two.
    fn is_reported_available(&self, zones: usize) -> bool {
        let available = self.count(false);
        let reporting_zones: BTreeSet<&str> = self
            .reports_of(false)
            .map(|report| report.zone.as_str())
            .collect();
        available > MAX_FAULTY_REPORTERS
            && reporting_zones.len() >= zones.min(2)
            && available > self.count(true)
    }

    fn update_verdict(&mut self, zones: usize) {
        let changes = if self.unavailable {
            self.is_reported_available(zones)
        } else {
            self.is_reported_unavailable()
        };
        if changes {
            self.unavailable = !self.unavailable;
            self.epoch += 1;
        }
    }
}

/// The reports of a shard's senders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ReportCounts {
    destinations: BTreeMap<u64, DestinationReports>,
    /// Zones that senders have named.
    zones: BTreeSet<String>,
}

impl ReportCounts {
    /// Records a sender's report. `first_epoch` is the epoch that the verdicts of an earlier allocator were all below.
    pub fn record(
        &mut self,
        now: Micros,
        sender: &str,
        zone: &str,
        report: HealthReport,
        first_epoch: u64,
    ) {
        self.zones.insert(zone.to_string());
        let destination = self
            .destinations
            .entry(report.destination)
            .or_insert_with(|| DestinationReports {
                epoch: first_epoch,
                ..DestinationReports::default()
            });
        let received = ReceivedReport {
            zone: zone.to_string(),
            unavailable: report.unavailable,
            until: now + REPORT_TTL,
        };
        destination.reports.insert(sender.to_string(), received);
        destination.remove_expired(now);
        destination.update_verdict(self.zones.len());
    }

    /// The verdicts on these destinations, of those that ever had one.
    pub fn verdicts<'a>(
        &'a self,
        destinations: impl Iterator<Item = u64> + 'a,
    ) -> impl Iterator<Item = HealthVerdict> + 'a {
        destinations.filter_map(|destination| {
            let counts = self.destinations.get(&destination)?;
            let had_verdict = counts.epoch % EPOCHS_PER_ALLOCATOR > 0;
            had_verdict.then(|| HealthVerdict {
                destination,
                unavailable: counts.unavailable,
                epoch: counts.epoch,
                observers: counts.count(counts.unavailable),
            })
        })
    }

    /// Removes expired reports, and destinations that have none and are available.
    pub fn remove_expired(&mut self, now: Micros) {
        self.destinations
            .values_mut()
            .for_each(|destination| destination.remove_expired(now));
        self.destinations
            .retain(|_, destination| destination.unavailable || !destination.reports.is_empty());
    }
}

#[cfg(test)]
mod tests;
