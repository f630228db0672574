//! How a replica stands, for operators.

use super::Replica;
use crate::store::Store;
use quota_ledger::freeze::schedule::MAX_CLOCK_SKEW_MS;
use raft::Storage;
use serde_json::{Value, json};
use versioned_config::Micros;

/// Windows that begin within so long are told ahead, ms: a sender that hears nothing more goes by them.
const SOON_MS: u64 = 7 * 24 * 3600 * 1000;

impl Replica {
    /// All that operators may want to know, as JSON; times are ms from now.
    pub fn report(&self, now: Micros) -> Value {
        let raft = &self.raw.raft;
        let store: &Store = self.raw.store();
        let (log_bytes, snapshot_index, snapshot_bytes) = store.sizes();
        let voters = store.voters();
        json!({
            "id": self.id, "role": if self.leads() { "leader" } else { "follower" },
            "leader": self.leader(), "term": raft.term, "applied": self.applied,
            "committed": raft.raft_log.committed, "last": store.last_index().unwrap_or_default(),
            "log_bytes": log_bytes, "snapshot_index": snapshot_index, "snapshot_bytes": snapshot_bytes,
            "voters": voters.voters, "learners": voters.learners,
            "rev": self.state.rev, "targets": self.state.targets.len(),
            "proposals": self.proposals.len(), "questions": self.asked.len(),
            "rules": self.rules_report(now), "kept_endpoints": self.kept(),
            "ledger": self.ledger_report(now), "freeze": self.freeze_report(now),
        })
    }

    /// The ledger: its ranges, and what of those that this replica keeps is out; null where there is none.
    pub fn ledger_report(&self, now: Micros) -> Value {
        let Some(book) = &self.state.ledger else {
            return Value::Null;
        };
        let mut report = self.keeping.report(now, book);
        report["rev"] = book.revision().into();
        report["lease_ms"] = (book.terms().lease / 1000).into();
        report["drift_ms"] = (book.terms().max_drift / 1000).into();
        let ranges = book.shards().iter();
        let ranges = ranges
            .map(|(first, shard)| json!({ "first": first, "keeper": shard.allocator, "epoch": shard.epoch }));
        report["ranges"] = ranges.collect();
        report
    }

    /// The freeze: the windows that are on or come soon, with the times until then, and how the clocks stand.
    pub fn freeze_report(&self, now: Micros) -> Value {
        let freeze = &self.state.freeze;
        let Some(clocks) = self.clocks(now) else {
            return Value::Null;
        };
        let on = freeze.active_windows().iter().map(|(name, on)| {
            let left = (on.until_ms + MAX_CLOCK_SKEW_MS).saturating_sub(clocks.earliest());
            json!({ "window": name, "ends_in_ms": left, "on": on })
        });
        let soon = freeze.upcoming_windows(clocks, SOON_MS);
        let soon = soon.into_iter().map(|(name, begins_in_ms, on)| {
            json!({ "window": name, "begins_in_ms": begins_in_ms,
                "ends_in_ms": (on.until_ms + MAX_CLOCK_SKEW_MS).saturating_sub(clocks.earliest()), "on": on })
        });
        json!({
            "rev": freeze.revision(), "settled": freeze.previous_calendar().is_none(),
            "on": on.collect::<Vec<_>>(), "soon": soon.collect::<Vec<_>>(), "glass": freeze.break_glass_override(),
            "glass_ends_in_ms": freeze.break_glass_override().map_or(0, |glass| glass.until_ms.saturating_sub(clocks.latest())),
            "wall_ms": clocks.wall_ms, "log_ms": clocks.log_ms, "clocks_differ": clocks.differ(),
        })
    }

    fn kept(&self) -> Vec<&String> {
        self.leading
            .iter()
            .flat_map(|leading| leading.heartbeats.kept())
            .collect()
    }

    /// The rules' version and step, and who is waited for.
    pub fn rules_report(&self, now: Micros) -> Value {
        let Some(versions) = &self.state.versions else {
            return Value::Null;
        };
        let (tag, terms) = (versions.tag(), self.state.terms);
        let mut report = json!({
            "version": tag.version, "whole": tag.complete,
            "lease_ms": terms.map(|terms| terms.lease / 1000),
            "drift_ms": terms.map(|terms| terms.max_drift / 1000),
            "kept": self.state.kept.keys().collect::<Vec<_>>(),
        });
        let Some((leading, leases)) = self
            .leading
            .as_ref()
            .and_then(|leading| Some((leading, leading.leases.as_ref()?)))
        else {
            return report;
        };
        let left = |until: Micros| until.saturating_sub(now) / 1000;
        let name = |number: u64| leading.known.get(&number).map(|known| known.name.as_str());
        let waits = leases.blocking_lease(now, tag);
        report["settled"] = leases.is_settled(now, versions).into();
        report["waits_ms"] = waits.map(|wait| left(wait.until)).into();
        report["waits_for_leases_of_before"] =
            waits.is_some_and(|wait| wait.sender.is_none()).into();
        let behind = leases.senders_behind(now, tag).map(
            |wait| json!({ "sender": wait.sender.and_then(name), "left_ms": left(wait.until) }),
        );
        report["not_acknowledged"] = behind.collect();
        let held = leases.holders().filter_map(|(number, acts_on, until)| {
            let known = leading.known.get(&number)?;
            Some(json!({
                "sender": known.name, "life": known.life, "acts_on": acts_on, "rev": known.rev,
                "left_ms": left(until)
            }))
        });
        report["leases"] = held.collect();
        report["lapsed"] = leading.lapsed.into();
        report
    }
}
