//! Probes: one member each period, directly and then through helpers (SWIM, section III-A), and what the end of a probe
//! says of the target and of this node (Lifeguard, sections IV-A and IV-C).

use super::Node;
use crate::Micros;
use crate::output::Output;
use crate::record::State;
use crate::wire::{DropReason, Message};
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use std::collections::BTreeSet;

/// Helpers are asked after this fraction (one half) of a period (Lifeguard, section IV-A).
const INDIRECT_PERIOD_DIVISOR: Micros = 2;

/// The probe of this period.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    target: String,
    sequence: u32,
    /// The target was suspect when the probe began.
    of_suspect: bool,
    /// When helpers are to be asked.
    indirect_at: Micros,
    /// Helpers have been asked.
    is_indirect: bool,
    is_acknowledged: bool,
    helpers: Vec<String>,
    /// Helpers that had no answer either, but hear this node.
    nacks: BTreeSet<String>,
}

impl Probe {
    /// When helpers are to be asked; none if they have been, or need not be.
    pub(super) fn indirect_due_at(&self) -> Option<Micros> {
        let is_open = !self.is_indirect && !self.is_acknowledged;
        is_open.then_some(self.indirect_at)
    }

    fn has_helper(&self, name: &str) -> bool {
        self.helpers.iter().any(|helper| helper == name)
    }
}

/// The order in which members are probed.
#[derive(Debug, Clone, Default)]
pub(super) struct ProbeOrder {
    /// Members left in this round, the next one last.
    round: Vec<String>,
    /// The last probe went to a suspect out of turn.
    was_out_of_turn: bool,
}

impl Node {
    /// Asks helpers, ends the probe of the last period and begins the next one, each if it is due.
    pub(super) fn run_probe(&mut self, now: Micros, output: &mut Output) {
        let indirect_at = self.probe.as_ref().and_then(Probe::indirect_due_at);
        if indirect_at.is_some_and(|at| now >= at) {
            self.send_indirect_pings(output);
        }
        if now < self.next_probe_at {
            return;
        }
        if let Some(probe) = self.probe.take() {
            self.finish_probe(now, probe, output);
        }
        let period = self.stretched_by_health(self.settings.protocol_period);
        // a late call does not make up for what it missed
        self.next_probe_at = (self.next_probe_at + period).max(now + period / 2);
        self.start_probe(now, output);
    }

    fn start_probe(&mut self, now: Micros, output: &mut Output) {
        let Some(target) = self.next_probe_target() else {
            return;
        };
        let Some(member) = self.table.get(&target) else {
            return;
        };
        let address = member.address;
        let of_suspect = member.state == State::Suspect;
        let sequence = self.next_probe_sequence();
        let direct_time =
            self.stretched_by_health(self.settings.protocol_period / INDIRECT_PERIOD_DIVISOR);
        self.probe = Some(Probe {
            target: target.clone(),
            sequence,
            of_suspect,
            indirect_at: now + direct_time,
            is_indirect: false,
            is_acknowledged: false,
            helpers: Vec::new(),
            nacks: BTreeSet::new(),
        });
        let ping = Message::Ping {
            sequence,
            target: target.clone(),
        };
        self.send(address, &target, ping, Vec::new(), output);
    }

    pub(super) fn next_probe_sequence(&mut self) -> u32 {
        self.probe_sequence = self.probe_sequence.wrapping_add(1);
        self.probe_sequence
    }

    /// Each member once in a round, in an order of its own for each round (SWIM, section IV-C). An extension: while
    /// there are suspects every second probe goes to one of them, so that it soon hears what it has to refute.
    fn next_probe_target(&mut self) -> Option<String> {
        let suspects = self.table.suspects();
        let is_out_of_turn =
            !self.probe_order.was_out_of_turn && !suspects.is_empty() && self.settings.lifeguard;
        self.probe_order.was_out_of_turn = is_out_of_turn;
        if is_out_of_turn {
            return suspects.iter().choose(&mut self.random).cloned();
        }
        let rest_of_round = self.next_in_round();
        if rest_of_round.is_some() {
            return rest_of_round;
        }
        self.begin_round();
        self.next_in_round()
    }

    fn next_in_round(&mut self) -> Option<String> {
        while let Some(name) = self.probe_order.round.pop() {
            let member = self.table.get(&name);
            if member.is_some_and(|member| member.state.is_present()) {
                return Some(name);
            }
        }
        None
    }

    fn begin_round(&mut self) {
        let local_name = &self.settings.name;
        let others = self.table.present().iter();
        self.probe_order.round = others.filter(|name| *name != local_name).cloned().collect();
        self.probe_order.round.shuffle(&mut self.random);
    }

    /// A new member is probed at a random position of the round (SWIM, section IV-C).
    pub(super) fn insert_into_probe_order(&mut self, name: &str) {
        let round = &mut self.probe_order.round;
        let position = self.random.random_range(0..=round.len());
        round.insert(position, name.to_string());
    }

    /// Members present, drawn at random; suspects only if there are too few others.
    pub(super) fn sample_members(&mut self, count: usize, without: &[&str]) -> Vec<String> {
        let local_name = self.settings.name.as_str();
        let suspects = self.table.suspects();
        let (suspect, unsuspected): (Vec<&String>, Vec<&String>) = self
            .table
            .present()
            .iter()
            .filter(|name| **name != local_name && !without.contains(&name.as_str()))
            .partition(|name| suspects.contains(*name));
        let mut chosen: Vec<String> = unsuspected
            .choose_multiple(&mut self.random, count)
            .map(|name| name.to_string())
            .collect();
        let missing = count - chosen.len();
        let more = suspect.choose_multiple(&mut self.random, missing);
        chosen.extend(more.map(|name| name.to_string()));
        chosen
    }

    fn send_indirect_pings(&mut self, output: &mut Output) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        probe.is_indirect = true;
        let helpers = self.choose_helpers(&probe.target);
        for helper in &helpers {
            let Some(address) = self.table.get(helper).map(|member| member.address) else {
                continue;
            };
            let request = Message::IndirectPing {
                sequence: probe.sequence,
                target: probe.target.clone(),
            };
            self.send(address, helper, request, Vec::new(), output);
        }
        probe.helpers = helpers;
        self.probe = Some(probe);
    }

    /// The papers draw all helpers at random. An extension: of three, one is the helper that last brought an answer that
    /// the direct way did not, and one is the member heard last. So a wide cut costs one failed probe and not half of
    /// them, and somebody who answers is asked where most have died at once.
    fn choose_helpers(&mut self, target: &str) -> Vec<String> {
        let is_alive = |name: &str| {
            let member = self.table.get(name);
            name != target && member.is_some_and(|member| member.state == State::Alive)
        };
        let last_useful = self
            .last_useful_helper
            .as_ref()
            .filter(|name| is_alive(name))
            .cloned();
        let heard_last = self
            .table
            .iter()
            .filter(|(name, member)| is_alive(name) && member.last_heard.is_some())
            .max_by_key(|(_, member)| member.last_heard)
            .map(|(name, _)| name.clone());
        let mut helpers: Vec<String> = last_useful.into_iter().chain(heard_last).collect();
        helpers.dedup();
        helpers.truncate(self.settings.indirect_probers.saturating_sub(1));
        let mut without: Vec<&str> = helpers.iter().map(String::as_str).collect();
        without.push(target);
        let missing = self.settings.indirect_probers - helpers.len();
        let drawn = self.sample_members(missing, &without);
        helpers.extend(drawn);
        helpers
    }

    /// The period of a probe is over.
    fn finish_probe(&mut self, now: Micros, probe: Probe, output: &mut Output) {
        if !probe.of_suspect {
            self.record_probe_result(probe.is_acknowledged);
        }
        if probe.is_acknowledged {
            return;
        }
        let was_isolated = self.is_isolated();
        if probe.nacks.is_empty() {
            self.unanswered_probes = self.unanswered_probes.saturating_add(1);
        }
        if !probe.of_suspect {
            self.worsen_health_after(&probe);
        }
        self.report_isolation(was_isolated, output);
        // an extension: no suspicion without a sign in this very probe that this node is heard, and hears. Where there
        // is nobody else to ask, none can be had, and one observer's suspicion kills nobody
        let is_heard =
            !probe.nacks.is_empty() && self.has_been_answered || probe.helpers.is_empty();
        if is_heard && !self.is_unanswered() || !self.settings.lifeguard {
            self.suspect_after_probe(now, &probe.target, output);
        }
    }

    /// A helper that says nothing indicates a fault here; one that had no answer either, a fault at the target.
    fn worsen_health_after(&mut self, probe: &Probe) {
        let silent_helpers = probe.helpers.len() - probe.nacks.len();
        let penalty = if probe.helpers.is_empty() {
            1
        } else {
            silent_helpers as u32
        };
        self.worsen_health(penalty);
    }

    /// The target answers, or a helper passes its answer on.
    pub(super) fn handle_ack(
        &mut self,
        from: &str,
        sequence: u32,
        output: &mut Output,
    ) -> Result<(), DropReason> {
        let own_probe = self
            .probe
            .as_mut()
            .filter(|probe| probe.sequence == sequence && !probe.is_acknowledged);
        let Some(probe) = own_probe else {
            return self.forward_ack(from, sequence, output);
        };
        if probe.target != from && !probe.has_helper(from) {
            return Err(DropReason::Unknown);
        }
        probe.is_acknowledged = true;
        if probe.target != from {
            self.last_useful_helper = Some(from.to_string());
        }
        self.improve_health();
        self.record_answer(output);
        Ok(())
    }

    /// A helper hears this node, and had no answer from the target.
    pub(super) fn handle_nack(
        &mut self,
        from: &str,
        sequence: u32,
        output: &mut Output,
    ) -> Result<(), DropReason> {
        let probe = self
            .probe
            .as_mut()
            .filter(|probe| probe.sequence == sequence && probe.has_helper(from))
            .ok_or(DropReason::Unknown)?;
        probe.nacks.insert(from.to_string());
        self.record_answer(output);
        Ok(())
    }
}
