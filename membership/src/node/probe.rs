//! Who answers: probes, direct and through helpers (SWIM, section III-A), and what their end says of the target and
//! of the one that probes (Lifeguard, sections IV-A and IV-C).

use super::{DOUBT, Node, Output};
use crate::Micros;
use crate::record::State;
use crate::wire::{Dropped, Message};
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Probes for others that may be under way.
const RELAYS: usize = 64;
/// Parts of a period: after half of it helpers are asked, and of their half they take four fifths before they say
/// that they had no answer (Lifeguard, section IV-A).
const ASK_AFTER: Micros = 2;
const NACK_NUM: Micros = 4;
const NACK_DEN: Micros = 10;

/// The probe of this period.
#[derive(Debug, Clone)]
pub struct Probe {
    target: String,
    number: u32,
    /// It was suspect when the probe began.
    suspect: bool,
    pub ask_at: Micros,
    pub asked: bool,
    pub acked: bool,
    helpers: Vec<String>,
    nacks: BTreeSet<String>,
}

/// A probe on another's behalf, by its own number.
#[derive(Debug, Clone)]
pub struct Relay {
    target: String,
    requester: String,
    address: SocketAddr,
    number: u32,
    pub nack_at: Micros,
    pub nacked: bool,
    ends_at: Micros,
}

impl Node {
    pub(super) fn work_probe(&mut self, now: Micros, output: &mut Output) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| !probe.asked && !probe.acked && now >= probe.ask_at)
        {
            self.ask_helpers(output);
        }
        if now < self.next_probe {
            return;
        }
        if let Some(probe) = self.probe.take() {
            self.conclude(now, probe, output);
        }
        let period = self.stretched(self.settings.period);
        // a late turn does not make up for what it missed
        self.next_probe = (self.next_probe + period).max(now + period / 2);
        let Some(target) = self.next_target() else {
            return;
        };
        let Some(peer) = self.table.get(&target) else {
            return;
        };
        let (address, suspect) = (peer.address, peer.state == State::Suspect);
        self.number = self.number.wrapping_add(1);
        let number = self.number;
        let ask_at = now + self.stretched(self.settings.period / ASK_AFTER);
        let (helpers, nacks) = (Vec::new(), BTreeSet::new());
        let (asked, acked) = (false, false);
        self.probe = Some(Probe {
            target: target.clone(),
            number,
            suspect,
            ask_at,
            asked,
            acked,
            helpers,
            nacks,
        });
        self.send(
            address,
            &target,
            Message::Ping {
                number,
                to: target.clone(),
            },
            Vec::new(),
            output,
        );
    }

    /// Each member once in a round, in an order of its own for each round (SWIM, section IV-C). Ours: while there are
    /// suspects, every second probe goes to one of them, so that it hears soon what it has to refute.
    fn next_target(&mut self) -> Option<String> {
        self.turn = !self.turn && !self.table.suspects().is_empty() && self.settings.lifeguard;
        if self.turn {
            return self
                .table
                .suspects()
                .iter()
                .choose(&mut self.random)
                .cloned();
        }
        for _ in 0..2 {
            while let Some(name) = self.round.pop() {
                if self.table.get(&name).is_some_and(|peer| peer.state.lives()) {
                    return Some(name);
                }
            }
            let own = &self.settings.name;
            self.round = self
                .table
                .living()
                .iter()
                .filter(|name| *name != own)
                .cloned()
                .collect();
            self.round.shuffle(&mut self.random);
        }
        None
    }

    /// A new member is probed at a random place of the round, as the paper has it.
    pub(super) fn join_round(&mut self, name: &str) {
        let place = self.random.random_range(0..=self.round.len());
        self.round.insert(place, name.to_string());
    }

    /// Members that live, drawn at random; suspects only if there are too few others.
    pub(super) fn some_living(&mut self, most: usize, without: &[&str]) -> Vec<String> {
        let own = self.settings.name.as_str();
        let fits = |name: &&String| **name != own && !without.contains(&name.as_str());
        let (mut sure, mut unsure): (Vec<&String>, Vec<&String>) = (Vec::new(), Vec::new());
        for name in self.table.living().iter().filter(fits) {
            let list = if self.table.suspects().contains(name) {
                &mut unsure
            } else {
                &mut sure
            };
            list.push(name);
        }
        let mut chosen: Vec<String> = sure
            .choose_multiple(&mut self.random, most)
            .map(|name| name.to_string())
            .collect();
        let left = most - chosen.len();
        chosen.extend(
            unsure
                .choose_multiple(&mut self.random, left)
                .map(|name| name.to_string()),
        );
        chosen
    }

    fn ask_helpers(&mut self, output: &mut Output) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        probe.asked = true;
        // the papers draw all helpers at random. Ours: of three, one is who last brought an answer that the own way
        // did not, and one who was heard last, so that a wide cut costs one failed probe and not half of them, and
        // somebody is asked who answers where most have died at once
        let alive = |name: &&String| {
            **name != probe.target
                && self
                    .table
                    .get(name)
                    .is_some_and(|peer| peer.state == State::Alive)
        };
        let proven = self.bridge.as_ref().filter(alive).cloned();
        let heard = self
            .table
            .iter()
            .filter(|(name, peer)| alive(name) && peer.heard.is_some());
        let last = heard
            .max_by_key(|(_, peer)| peer.heard)
            .map(|(name, _)| name.clone());
        let mut helpers: Vec<String> = proven.into_iter().chain(last).collect();
        helpers.dedup();
        helpers.truncate(self.settings.helpers.saturating_sub(1));
        let mut without: Vec<&str> = helpers.iter().map(String::as_str).collect();
        without.push(&probe.target);
        let drawn = self.some_living(self.settings.helpers - helpers.len(), &without);
        helpers.extend(drawn);
        for helper in &helpers {
            let Some(address) = self.table.get(helper).map(|peer| peer.address) else {
                continue;
            };
            let (number, target) = (probe.number, probe.target.clone());
            self.send(
                address,
                helper,
                Message::PingFor { number, target },
                Vec::new(),
                output,
            );
        }
        probe.helpers = helpers;
        self.probe = Some(probe);
    }

    /// A period is over.
    fn conclude(&mut self, now: Micros, probe: Probe, output: &mut Output) {
        if !probe.suspect {
            self.weigh(probe.acked);
        }
        if probe.acked {
            return;
        }
        let doubted = self.doubts();
        if probe.nacks.is_empty() {
            self.silent = self.silent.saturating_add(1);
        }
        if !probe.suspect {
            // a helper that says nothing speaks for a fault here; one that had no answer either, for one there
            let missed = probe.helpers.len() - probe.nacks.len();
            self.worsen(if probe.helpers.is_empty() {
                1
            } else {
                missed as u32
            });
        }
        self.tell_doubt(doubted, output);
        // ours: no suspicion without a sign in this very probe that this member is heard, and hears. Where there
        // is nobody else to ask, none can be had, and one observer's suspicion kills nobody.
        let heard = !probe.nacks.is_empty() && self.proved || probe.helpers.is_empty();
        let plain = !self.settings.lifeguard;
        if (heard && self.silent < DOUBT) || plain {
            self.accuse(now, &probe.target, output);
        }
    }

    pub(super) fn tell_doubt(&mut self, before: bool, output: &mut Output) {
        let doubts = self.doubts();
        if doubts != before {
            output.changes.push(super::Change::Doubt { doubts });
        }
    }

    /// Somebody answers: this member hears and is heard.
    fn hears(&mut self, output: &mut Output) {
        let doubted = self.doubts();
        self.silent = 0;
        self.proved = true;
        self.tell_doubt(doubted, output);
    }

    /// The target answers, or a helper passes its answer on.
    pub(super) fn acked(
        &mut self,
        from: &str,
        number: u32,
        output: &mut Output,
    ) -> Result<(), Dropped> {
        if let Some(probe) = self
            .probe
            .as_mut()
            .filter(|probe| probe.number == number && !probe.acked)
        {
            if probe.target != from && !probe.helpers.iter().any(|helper| helper == from) {
                return Err(Dropped::Unknown);
            }
            probe.acked = true;
            if probe.target != from {
                self.bridge = Some(from.to_string());
            }
            self.health = self.health.saturating_sub(1);
            self.hears(output);
            return Ok(());
        }
        let relay = self
            .relays
            .get(&number)
            .filter(|relay| relay.target == from);
        if relay.is_none() {
            return Err(Dropped::Unknown); // it came too late, or is nobody's
        }
        if let Some(relay) = self.relays.remove(&number) {
            let message = Message::Ack {
                number: relay.number,
            };
            self.send(relay.address, &relay.requester, message, Vec::new(), output);
        }
        Ok(())
    }

    /// A helper hears who asked, and had no answer.
    pub(super) fn nacked(
        &mut self,
        from: &str,
        number: u32,
        output: &mut Output,
    ) -> Result<(), Dropped> {
        let probe = self.probe.as_mut().filter(|probe| probe.number == number);
        let probe = probe.filter(|probe| probe.helpers.iter().any(|helper| helper == from));
        probe
            .ok_or(Dropped::Unknown)?
            .nacks
            .insert(from.to_string());
        self.hears(output);
        Ok(())
    }

    /// Probes another one on somebody's behalf.
    pub(super) fn probe_for(
        &mut self,
        now: Micros,
        source: SocketAddr,
        requester: &str,
        number: u32,
        target: String,
        output: &mut Output,
    ) -> Result<(), Dropped> {
        let address = self
            .table
            .get(&target)
            .map(|peer| peer.address)
            .ok_or(Dropped::Unknown)?;
        if self.relays.len() >= RELAYS {
            return Err(Dropped::Busy);
        }
        self.number = self.number.wrapping_add(1);
        let own = self.number;
        self.answer(
            address,
            &target,
            Message::Ping {
                number: own,
                to: target.clone(),
            },
            output,
        )?;
        let requester = requester.to_string();
        let (nack_at, ends_at) = (
            now + self.settings.period * NACK_NUM / NACK_DEN,
            now + 4 * self.settings.period,
        );
        let (address, nacked) = (source, false);
        self.relays.insert(
            own,
            Relay {
                target,
                requester,
                address,
                number,
                nack_at,
                nacked,
                ends_at,
            },
        );
        Ok(())
    }

    pub(super) fn work_relays(&mut self, now: Micros, output: &mut Output) {
        self.relays.retain(|_, relay| relay.ends_at > now);
        let due = |relay: &&mut Relay| !relay.nacked && relay.nack_at <= now;
        let mut nacks = Vec::new();
        for relay in self.relays.values_mut().filter(due) {
            // an answer that comes later is passed on all the same: the requester's period may be longer
            relay.nacked = true;
            nacks.push((
                relay.address,
                relay.requester.clone(),
                Message::Nack {
                    number: relay.number,
                },
            ));
        }
        for (address, requester, message) in nacks {
            self.send(address, &requester, message, Vec::new(), output);
        }
    }
}
