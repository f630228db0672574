//! The reports of a shard's senders, counted to verdicts.

use super::report::{HealthReport, HealthVerdict};
use std::collections::{BTreeMap, BTreeSet};
use versioned_config::Micros;

/// Observers that may lie, hold old words, or sit behind a broken link of their own.
pub const MAX_FAULTY_REPORTERS: usize = 1;

/// How long a word counts, and a verdict without further words for it, µs: some questions of a sender.
pub const REPORT_TTL: Micros = 3_000_000;

/// Verdicts of one keeper's epoch: those of the next begin above them.
pub const EPOCHS_PER_ALLOCATOR: u64 = 1 << 32;

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

#[cfg(test)]
mod tests;
