//! Reports for operators, as JSON. Times are ms from now.

use super::Replica;
use super::leadership::Leadership;
use quota_ledger::freeze::ActiveWindow;
use quota_ledger::freeze::schedule::{Clocks, MAX_CLOCK_SKEW_MS};
use raft::Storage;
use serde_json::{Value, json};
use versioned_config::{Leases, Micros, VersionedRules};

/// Windows that begin within this time are reported ahead, ms: a sender that hears nothing more goes by them.
const UPCOMING_MS: u64 = 7 * 24 * 3600 * 1000;

impl Replica {
    /// The status report.
    pub fn report(&self, now: Micros) -> Value {
        let raft = &self.raw.raft;
        let store = self.raw.store();
        let sizes = store.sizes();
        let membership = store.membership();
        json!({
            "id": self.id, "role": if self.is_leader() { "leader" } else { "follower" },
            "leader": self.leader(), "term": raft.term, "applied": self.applied,
            "committed": raft.raft_log.committed, "last": store.last_index().unwrap_or_default(),
            "log_bytes": sizes.log_bytes, "snapshot_index": sizes.snapshot_index,
            "snapshot_bytes": sizes.snapshot_bytes,
            "voters": membership.voters, "learners": membership.learners,
            "rev": self.state.rev, "targets": self.state.endpoints.len(),
            "proposals": self.proposals.len(), "questions": self.unconfirmed.len(),
            "rules": self.rules_report(now), "kept_endpoints": self.retained_endpoints(),
            "ledger": self.ledger_report(now), "freeze": self.freeze_report(now),
        })
    }

    /// The quota ledger: its ranges, and what this replica has allocated; null where there is no ledger.
    pub fn ledger_report(&self, now: Micros) -> Value {
        let Some(ledger) = &self.state.ledger else {
            return Value::Null;
        };
        let ranges: Vec<Value> = ledger
            .shards()
            .iter()
            .map(|(first, shard)| json!({ "first": first, "keeper": shard.allocator, "epoch": shard.epoch }))
            .collect();
        let mut report = self.allocations.report(now, ledger);
        report["rev"] = ledger.revision().into();
        report["lease_ms"] = (ledger.terms().lease / 1000).into();
        report["drift_ms"] = (ledger.terms().max_drift / 1000).into();
        report["ranges"] = ranges.into();
        report
    }

    /// The freeze: the windows that are on or come soon, and how the clocks stand; null before the wall clock is set.
    pub fn freeze_report(&self, now: Micros) -> Value {
        let freeze = &self.state.freeze;
        let Some(clocks) = self.clocks(now) else {
            return Value::Null;
        };
        let active: Vec<Value> = freeze
            .active_windows()
            .iter()
            .map(|(name, on)| json!({ "window": name, "ends_in_ms": ends_in_ms(on, clocks), "on": on }))
            .collect();
        let upcoming: Vec<Value> = freeze
            .upcoming_windows(clocks, UPCOMING_MS)
            .into_iter()
            .map(|(name, begins_in_ms, on)| {
                json!({
                    "window": name, "begins_in_ms": begins_in_ms, "ends_in_ms": ends_in_ms(&on, clocks),
                    "on": on
                })
            })
            .collect();
        let glass_ends_in_ms = freeze
            .break_glass_override()
            .map_or(0, |glass| glass.until_ms.saturating_sub(clocks.latest()));
        json!({
            "rev": freeze.revision(), "settled": freeze.previous_calendar().is_none(), "on": active, "soon": upcoming,
            "glass": freeze.break_glass_override(), "glass_ends_in_ms": glass_ends_in_ms,
            "wall_ms": clocks.wall_ms, "log_ms": clocks.log_ms, "clocks_differ": clocks.differ(),
        })
    }

    /// The rules' version and step, and on the leader the leases and who is waited for; null where there are no rules.
    pub fn rules_report(&self, now: Micros) -> Value {
        let Some(versions) = &self.state.versions else {
            return Value::Null;
        };
        let tag = versions.tag();
        let terms = self.state.terms;
        let mut report = json!({
            "version": tag.version, "whole": tag.complete,
            "lease_ms": terms.map(|terms| terms.lease / 1000),
            "drift_ms": terms.map(|terms| terms.max_drift / 1000),
            "kept": self.state.stored_rules.keys().collect::<Vec<_>>(),
        });
        if let Some(leadership) = &self.leadership
            && let Some(leases) = &leadership.leases
        {
            add_leases(&mut report, now, versions, leadership, leases);
        }
        report
    }

    fn retained_endpoints(&self) -> Vec<&String> {
        self.leadership
            .iter()
            .flat_map(|leadership| leadership.heartbeats.retained())
            .collect()
    }
}

fn ends_in_ms(on: &ActiveWindow, clocks: Clocks) -> u64 {
    (on.until_ms + MAX_CLOCK_SKEW_MS).saturating_sub(clocks.earliest())
}

/// Adds what the leader alone knows: whether the rules are settled, who is waited for, the leases.
fn add_leases(
    report: &mut Value,
    now: Micros,
    versions: &VersionedRules,
    leadership: &Leadership,
    leases: &Leases,
) {
    let tag = versions.tag();
    let left_ms = |until: Micros| until.saturating_sub(now) / 1000;
    let name = |number: u64| {
        leadership
            .holders
            .get(&number)
            .map(|holder| holder.id.name.as_str())
    };
    let waits_for = leases.blocking_lease(now, tag);
    let behind: Vec<Value> = leases
        .senders_behind(now, tag)
        .map(|wait| json!({ "sender": wait.sender.and_then(name), "left_ms": left_ms(wait.until) }))
        .collect();
    let held: Vec<Value> = leases
        .holders()
        .filter_map(|(number, acts_on, until)| {
            let holder = leadership.holders.get(&number)?;
            Some(json!({
                "sender": holder.id.name, "life": holder.id.incarnation, "acts_on": acts_on,
                "rev": holder.rev, "left_ms": left_ms(until)
            }))
        })
        .collect();
    report["settled"] = leases.is_settled(now, versions).into();
    report["waits_ms"] = waits_for.map(|wait| left_ms(wait.until)).into();
    report["waits_for_leases_of_before"] =
        waits_for.is_some_and(|wait| wait.sender.is_none()).into();
    report["not_acknowledged"] = behind.into();
    report["leases"] = held.into();
    report["lapsed"] = leadership.lapsed.into();
}
