//! What others say of this node: it refutes what is wrong by a greater incarnation (SWIM, section IV-B), and yields to
//! an elder process of the same name.

use super::Node;
use crate::Micros;
use crate::output::{Change, Output};
use crate::record::{Record, State};
use crate::wire::MAX_INCARNATION;

/// Refutations that another process of the own name must have answered before it is known to live.
const RIVAL_CONFIRMATIONS: u32 = 2;

/// Another process that has used the own name.
#[derive(Debug, Clone, Copy)]
pub(super) struct NameRival {
    instance: u64,
    /// The incarnation by which this node refuted it.
    refuted_with: u64,
    /// How often it has answered a refutation by a greater incarnation.
    confirmations: u32,
}

/// A refutation that is to be sent at once, at most once a period. An extension.
#[derive(Debug, Clone)]
pub(super) struct PendingRefutation {
    is_pending: bool,
    not_before: Micros,
}

impl PendingRefutation {
    pub(super) fn none(now: Micros) -> Self {
        PendingRefutation {
            is_pending: false,
            not_before: now,
        }
    }

    pub(super) fn due_at(&self) -> Option<Micros> {
        self.is_pending.then_some(self.not_before)
    }
}

impl Node {
    /// Sends a pending refutation to some members.
    pub(super) fn send_due_refutation(&mut self, now: Micros, output: &mut Output) {
        if self.refutation.due_at().is_none_or(|at| now < at) {
            return;
        }
        self.refutation = PendingRefutation {
            is_pending: false,
            not_before: now + self.settings.protocol_period,
        };
        self.send_local_record(self.settings.indirect_probers, output);
    }

    /// Applies a record of this node itself.
    pub(super) fn apply_record_of_self(&mut self, record: &Record, output: &mut Output) {
        let is_outdated = record.incarnation < self.incarnation;
        if is_outdated || record.incarnation >= MAX_INCARNATION {
            return;
        }
        let is_this_process = record.instance == self.instance;
        if self.has_yielded {
            // once the other process has departed this one may have its name again
            if !record.state.is_present() && !is_this_process {
                self.has_yielded = false;
                self.rival = None;
                self.refute(record, output);
            }
            return;
        }
        if record.state == State::Alive {
            if is_this_process && record.incarnation == self.incarnation {
                return;
            }
            if !is_this_process && self.yields_to_rival(record, output) {
                return;
            }
        }
        self.refute(record, output);
    }

    /// Another process claims to be alive under the own name; whether this one yields. If both went on, all others
    /// would see now one and now the other, so the elder is the member.
    fn yields_to_rival(&mut self, record: &Record, output: &mut Output) -> bool {
        let known = self.rival.filter(|rival| rival.instance == record.instance);
        let confirmations = known.map_or(0, |rival| {
            rival.confirmations + u32::from(record.incarnation > rival.refuted_with)
        });
        // a younger process that claims the name is alive; an elder may be an earlier process on this machine, until
        // it answers
        let is_elder = record.instance < self.instance;
        let address = record.address;
        if !is_elder && known.is_none() {
            output.changes.push(Change::NameConflict {
                address,
                yields: false,
            });
        }
        if is_elder && confirmations >= RIVAL_CONFIRMATIONS {
            self.yield_name(output, address);
            return true;
        }
        self.rival = Some(NameRival {
            instance: record.instance,
            refuted_with: record.incarnation + 1,
            confirmations,
        });
        false
    }

    fn yield_name(&mut self, output: &mut Output, address: std::net::SocketAddr) {
        let was_isolated = self.is_isolated();
        output.changes.push(Change::NameConflict {
            address,
            yields: true,
        });
        self.has_yielded = true;
        self.probe = None;
        self.indirect_probes.clear();
        self.report_isolation(was_isolated, output);
    }

    fn refute(&mut self, record: &Record, output: &mut Output) {
        self.incarnation = record.incarnation + 1;
        self.broadcasts.queue_member(&self.settings.name);
        self.refutation.is_pending = true;
        let is_accused = matches!(record.state, State::Suspect | State::Dead);
        if is_accused && record.instance == self.instance {
            // it was too slow for others (Lifeguard, section IV-A)
            self.worsen_health(1);
        }
        output.changes.push(Change::Refuted {
            claimed: record.state,
            incarnation: self.incarnation,
        });
    }
}
