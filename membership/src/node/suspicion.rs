//! Suspicions from the failed probe to the death or the refutation (SWIM, section IV-B; Lifeguard, section IV-C), and
//! the quorum that a death needs, which is an extension.

use super::Node;
use crate::Micros;
use crate::member::{Member, Suspicion};
use crate::output::Output;
use crate::record::{Record, State};

/// Fewest and most observers that must agree on a death.
const MIN_REQUIRED_OBSERVERS: usize = 2;
const MAX_REQUIRED_OBSERVERS: usize = 3;
/// Observers of one suspicion that are remembered: more change nothing.
const MAX_OBSERVERS: usize = 4;
/// Members that this node must have reached itself since a suspicion began, and twice as many as it did not reach. In
/// a fifth of a fleet that is cut off, five in seven probes are answered by chance with a probability of 1 in 200.
const MIN_ANSWERED_PROBES: u32 = 5;
/// Minimum suspicion timeouts without a new suspicion after which a death needs no margin, see
/// [`Node::calm_since`].
const CALM_TIMEOUTS: Micros = 4;

impl Node {
    /// The member is suspect from now on, in the incarnation of the record.
    pub(super) fn set_suspect(
        &mut self,
        now: Micros,
        record: &Record,
        suspicion: Suspicion,
        output: &mut Output,
    ) {
        let Some(old) = self.table.get(&record.name).cloned() else {
            return;
        };
        let previous = old.state;
        if previous == State::Alive {
            self.last_suspicion_at = now;
        }
        if !previous.is_present() {
            self.insert_into_probe_order(&record.name);
        }
        let observers = suspicion.observers.clone();
        let member = Member {
            address: record.address,
            incarnation: record.incarnation,
            instance: record.instance,
            state: State::Suspect,
            since: if previous == State::Suspect {
                old.since
            } else {
                now
            },
            suspicion: Some(suspicion),
            ..old
        };
        self.table.insert(&record.name, member);
        self.broadcasts.invalidate(&record.name);
        for observer in &observers {
            self.broadcasts.queue_suspicion(&record.name, observer);
        }
        self.report_member_change(&record.name, Some(previous), output);
    }

    /// An own probe of a member has failed.
    pub(super) fn suspect_after_probe(&mut self, now: Micros, name: &str, output: &mut Output) {
        let Some(member) = self.table.get(name) else {
            return;
        };
        let local_name = self.settings.name.clone();
        match member.state {
            State::Alive => {
                if let Some(record) = self.table.record(name, None) {
                    let suspicion = Suspicion::new(now, local_name, false);
                    self.set_suspect(now, &record, suspicion, output);
                }
            }
            State::Suspect => self.confirm_suspicion(name, local_name),
            State::Dead | State::Left => {}
        }
    }

    /// A further observer confirms a suspicion; that is gossiped as far as it changes anything (Lifeguard, section
    /// IV-C).
    pub(super) fn confirm_suspicion(&mut self, name: &str, observer: String) {
        let Some(suspicion) = self.suspicion_mut(name) else {
            return;
        };
        if suspicion.observers.len() < MAX_OBSERVERS && suspicion.observers.insert(observer.clone())
        {
            self.broadcasts.queue_suspicion(name, &observer);
        }
    }

    pub(super) fn suspicion_mut(&mut self, name: &str) -> Option<&mut Suspicion> {
        self.table.get_mut(name)?.suspicion.as_mut()
    }

    fn suspicion(&self, name: &str) -> Option<&Suspicion> {
        self.table.get(name)?.suspicion.as_ref()
    }

    /// Observers that must have seen a member fail before it counts as dead.
    fn required_observers(&self) -> usize {
        (self.table.unsuspected_count() / 2).clamp(MIN_REQUIRED_OBSERVERS, MAX_REQUIRED_OBSERVERS)
    }

    /// The minimum suspicion timeout, microseconds.
    fn min_suspicion_timeout(&self) -> f64 {
        let multiplier = self.settings.suspicion_multiplier;
        multiplier * self.cluster_scale() * self.settings.protocol_period as f64
    }

    /// The time of a suspicion: it falls from the maximum to the minimum as observers confirm it (Lifeguard, section
    /// IV-C).
    fn suspicion_timeout(&self, suspicion: &Suspicion) -> f64 {
        let min = self.min_suspicion_timeout();
        let max = min * self.settings.max_suspicion_multiplier;
        let observers = if suspicion.reported_dead {
            MAX_OBSERVERS
        } else {
            suspicion.observers.len()
        };
        // the first observer opens the suspicion, the others confirm it
        let confirmations = observers.saturating_sub(1) as f64;
        let wanted = f64::from(self.settings.confirmations);
        let timeout = max - (max - min) * (confirmations + 1.0).ln() / (wanted + 1.0).ln();
        // an extension: the local health score stretches this as it does the period. Where helpers fall silent too,
        // the others have not all been tried yet, and what looks like a majority may be none
        timeout.max(min) * f64::from(self.health + 1)
    }

    /// When a suspicion ends; never while there is no quorum.
    fn suspicion_deadline(&self, suspicion: &Suspicion) -> Micros {
        if !self.settings.lifeguard {
            return suspicion.since + self.min_suspicion_timeout() as Micros;
        }
        // once there is a quorum again, those that can be heard again must have the time to refute
        let Some(quorum_since) = self.quorum_since else {
            return Micros::MAX;
        };
        let timeout = self.suspicion_timeout(suspicion) as Micros;
        (suspicion.since.max(quorum_since) + timeout)
            .max(suspicion.not_before)
            .max(self.calm_since(quorum_since))
    }

    /// From when on there have been no new suspicions for long enough; 0 where that does not matter.
    ///
    /// Where as many deaths as there are suspects would leave no majority, all members must have been tried first. In a
    /// half of a split fleet, a member of the other half that nobody suspects yet is found with a probability of 0.4 a
    /// period (half of the probes, of half of the fleet; measured with 12 members). So after this long without a new
    /// suspicion none is left, but for one in 5,000 of the splits.
    fn calm_since(&self, quorum_since: Micros) -> Micros {
        let unsuspected = self.table.unsuspected_count();
        let suspects = self.table.suspects().len();
        let has_margin =
            2 * unsuspected.saturating_sub(suspects) > self.settings.expected_members as usize;
        if has_margin {
            return 0;
        }
        let timeout = self.min_suspicion_timeout() * f64::from(self.health + 1);
        self.last_suspicion_at.max(quorum_since) + CALM_TIMEOUTS * timeout as Micros
    }

    /// An own probe of a member that was not suspect is over: what it shows of this node's reach bears on all
    /// suspicions.
    pub(super) fn record_probe_result(&mut self, answered: bool) {
        for name in self.table.suspects().clone() {
            let Some(suspicion) = self.suspicion_mut(&name) else {
                continue;
            };
            if answered {
                suspicion.answered_probes += 1;
            } else {
                suspicion.unanswered_probes += 1;
            }
        }
    }

    /// An extension: a death needs an unsuspected majority of the expected fleet, and a node that is not isolated.
    pub(super) fn update_quorum(&mut self, now: Micros) {
        let has_majority =
            2 * self.table.unsuspected_count() > self.settings.expected_members as usize;
        let has_quorum = has_majority && !self.is_isolated() && self.has_been_answered;
        if !has_quorum {
            self.quorum_since = None;
        } else if self.quorum_since.is_none() {
            self.gossip_suspicions_again();
            self.quorum_since = Some(now);
        }
    }

    /// Members that were cut off meanwhile did not hear what is said against them.
    fn gossip_suspicions_again(&mut self) {
        for name in self.table.suspects().clone() {
            let Some(suspicion) = self.suspicion_mut(&name) else {
                continue;
            };
            suspicion.reset_probe_counts();
            for observer in suspicion.observers.clone() {
                self.broadcasts.queue_suspicion(&name, &observer);
            }
        }
    }

    pub(super) fn next_suspicion_deadline(&self) -> Option<Micros> {
        let suspects = self.table.suspects().iter();
        suspects
            .filter_map(|name| self.suspicion(name))
            .map(|suspicion| self.suspicion_deadline(suspicion))
            .min()
    }

    /// The process stood still for so long: no suspicion ends by that time.
    pub(super) fn postpone_suspicions(&mut self, now: Micros, by: Micros) {
        for name in self.table.suspects().clone() {
            let Some(suspicion) = self.suspicion_mut(&name) else {
                continue;
            };
            suspicion.since += by;
            suspicion.reset_probe_counts();
            suspicion.not_before = suspicion.not_before.max(now + by.min(1));
        }
    }

    /// Suspicions whose time is over become deaths, or go on for a period where a death may not be declared.
    pub(super) fn expire_suspicions(&mut self, now: Micros, output: &mut Output) {
        self.update_quorum(now);
        let is_due = |name: &&String| {
            self.suspicion(name)
                .is_some_and(|suspicion| self.suspicion_deadline(suspicion) <= now)
        };
        let due: Vec<String> = self
            .table
            .suspects()
            .iter()
            .filter(is_due)
            .cloned()
            .collect();
        let period = self.settings.protocol_period;
        for name in due {
            if self.may_declare_dead(&name) {
                self.declare_dead(now, &name, output);
            } else if let Some(suspicion) = self.suspicion_mut(&name) {
                suspicion.not_before = now + period;
            }
        }
    }

    /// Whether enough observers agree, and this node reaches enough others itself.
    fn may_declare_dead(&self, name: &str) -> bool {
        if !self.settings.lifeguard {
            return true;
        }
        let Some(suspicion) = self.suspicion(name) else {
            return false;
        };
        let witnesses = suspicion
            .observers
            .iter()
            .filter(|observer| self.is_witness(observer))
            .count();
        let is_agreed = suspicion.reported_dead || witnesses >= self.required_observers();
        // a member that is not suspect may only not have been tried: in the smaller part of a split most probes fail
        let reaches_others = suspicion.answered_probes >= MIN_ANSWERED_PROBES
            && suspicion.answered_probes > 2 * suspicion.unanswered_probes;
        is_agreed && reaches_others
    }

    /// An observer that is suspect itself, or departed, is no witness.
    fn is_witness(&self, observer: &str) -> bool {
        observer == self.settings.name
            || self
                .table
                .get(observer)
                .is_some_and(|member| member.state == State::Alive)
    }

    fn declare_dead(&mut self, now: Micros, name: &str, output: &mut Output) {
        let Some(member) = self.table.get(name) else {
            return;
        };
        let record = Record {
            name: name.to_string(),
            address: member.address,
            incarnation: member.incarnation,
            instance: member.instance,
            state: State::Dead,
            observer: None,
        };
        self.set_state(now, &record, output);
    }
}
