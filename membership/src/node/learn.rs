//! What is made of records: who is held alive, suspect, dead or left, and what is said of oneself (SWIM, section
//! IV-B; Lifeguard, section IV-C).

use super::{Change, FORGET_PERIODS, Node, Output};
use crate::Micros;
use crate::record::{Record, State, rank};
use crate::table::{OBSERVERS, Peer, Suspicion, Window};
use crate::wire::INCARNATION_MOST;
use std::collections::BTreeSet;

/// Least and most observers that must agree on a death.
const AGREE_LEAST: usize = 2;
const AGREE_MOST: usize = 3;
/// Others that this member must have reached itself since a suspicion began, and twice as often as it did not reach
/// one. In a fifth of a fleet that is cut off, five in seven probes are answered by chance with 1 in 200.
const REACHED: u32 = 5;
/// Answers of another process of the own name after which it is known to live.
const RIVAL_ANSWERS: u32 = 2;

impl Node {
    /// Takes a record in, from the member that sent it.
    pub(super) fn learn(&mut self, now: Micros, record: Record, from: &str, output: &mut Output) {
        if record.name == self.settings.name {
            return self.learn_of_oneself(&record, output);
        }
        let Some(peer) = self.table.get(&record.name) else {
            return self.meet_new(now, record, output);
        };
        let new = rank(record.incarnation, record.state, record.instance);
        if new < peer.rank() {
            return;
        }
        if new == peer.rank() {
            if let Some(observer) = record.observer {
                self.confirm(&record.name, observer);
            }
            return;
        }
        match (record.state, peer.state) {
            // ours: nobody dies by another's word alone, see the crate's page
            (State::Dead, State::Alive) if self.settings.lifeguard => {
                self.suspect(now, &record, from.to_string(), true, output);
            }
            (State::Dead, State::Suspect) if self.settings.lifeguard => {
                if let Some(suspicion) = self.suspicion_of(&record.name) {
                    suspicion.told_dead = true;
                }
            }
            (State::Suspect, _) => {
                let observer = record.observer.clone().unwrap_or_default();
                self.suspect(now, &record, observer, false, output);
            }
            _ => self.settle(now, &record, output),
        }
    }

    fn meet_new(&mut self, now: Micros, record: Record, output: &mut Output) {
        if self.table.len() + 1 >= self.settings.most {
            let before = now.saturating_sub(FORGET_PERIODS * self.settings.period);
            if !self.table.forget_gone(before) {
                *self
                    .counts
                    .dropped
                    .entry(crate::wire::Dropped::Full)
                    .or_default() += 1;
                return;
            }
        }
        if record.state == State::Suspect {
            let alive = Record {
                state: State::Alive,
                observer: None,
                ..record.clone()
            };
            self.settle(now, &alive, output);
            let observer = record.observer.clone().unwrap_or_default();
            return self.suspect(now, &record, observer, false, output);
        }
        self.settle(now, &record, output);
    }

    /// The member is in this state from now on, and others are told.
    fn settle(&mut self, now: Micros, record: &Record, output: &mut Output) {
        let old = self.table.get(&record.name);
        let before = old.map(|peer| peer.state);
        let (heard, window) =
            old.map_or((None, Window::default()), |peer| (peer.heard, peer.window));
        let since = old
            .filter(|peer| peer.state == record.state)
            .map_or(now, |peer| peer.since);
        if record.state.lives() && !before.is_some_and(State::lives) {
            self.join_round(&record.name);
        }
        self.table.insert(
            &record.name,
            Peer {
                address: record.address,
                incarnation: record.incarnation,
                instance: record.instance,
                state: record.state,
                since,
                suspicion: None,
                heard,
                window,
            },
        );
        self.gossip.tell(&record.name);
        self.tell_change(&record.name, before, output);
    }

    fn tell_change(&self, name: &str, before: Option<State>, output: &mut Output) {
        let Some(peer) = self
            .table
            .get(name)
            .filter(|peer| Some(peer.state) != before)
        else {
            return;
        };
        let (name, now) = (name.to_string(), peer.state);
        let (incarnation, address) = (peer.incarnation, peer.address);
        output.changes.push(Change::State {
            name,
            before,
            now,
            incarnation,
            address,
        });
    }

    fn suspect(
        &mut self,
        now: Micros,
        record: &Record,
        observer: String,
        told_dead: bool,
        output: &mut Output,
    ) {
        let Some(old) = self.table.get(&record.name).cloned() else {
            return;
        };
        let (before, name) = (Some(old.state), &record.name);
        let since = if old.state == State::Suspect {
            old.since
        } else {
            now
        };
        if old.state == State::Alive {
            self.unrest = now;
        }
        if !old.state.lives() {
            self.join_round(name);
        }
        let observers = BTreeSet::from([observer.clone()]);
        let suspicion = Suspicion {
            since: now,
            observers,
            told_dead,
            answered: 0,
            unanswered: 0,
            not_before: 0,
        };
        let (address, incarnation, instance) =
            (record.address, record.incarnation, record.instance);
        let (state, suspicion) = (State::Suspect, Some(suspicion));
        self.table.insert(
            name,
            Peer {
                address,
                incarnation,
                instance,
                state,
                since,
                suspicion,
                ..old
            },
        );
        self.gossip.forget(name);
        self.gossip.suspect(name, &observer);
        self.tell_change(name, before, output);
    }

    /// The own probe of a member has failed.
    pub(super) fn accuse(&mut self, now: Micros, name: &str, output: &mut Output) {
        let Some(peer) = self.table.get(name) else {
            return;
        };
        let own = self.settings.name.clone();
        match peer.state {
            State::Alive => {
                if let Some(record) = self.table.record(name, None) {
                    self.suspect(
                        now,
                        &Record {
                            state: State::Suspect,
                            ..record
                        },
                        own,
                        false,
                        output,
                    );
                }
            }
            State::Suspect => self.confirm(name, own),
            State::Dead | State::Left => {}
        }
    }

    /// A further observer agrees; its word is passed on, as far as it changes anything (Lifeguard, section IV-C).
    fn confirm(&mut self, name: &str, observer: String) {
        let Some(suspicion) = self.suspicion_of(name) else {
            return;
        };
        if suspicion.observers.len() < OBSERVERS && suspicion.observers.insert(observer.clone()) {
            self.gossip.suspect(name, &observer);
        }
    }

    fn suspicion_of(&mut self, name: &str) -> Option<&mut Suspicion> {
        self.table.get_mut(name)?.suspicion.as_mut()
    }

    /// How many must have seen a member fail before it counts as dead.
    fn agree(&self) -> usize {
        (self.table.unsuspected() / 2).clamp(AGREE_LEAST, AGREE_MOST)
    }

    /// The end of a suspicion: from the most to the least time as observers agree (Lifeguard, section IV-C).
    fn ends(&self, suspicion: &Suspicion) -> Micros {
        let least = self.settings.suspicion * self.scale() * self.settings.period as f64;
        if !self.settings.lifeguard {
            return suspicion.since + least as Micros;
        }
        let most = least * self.settings.suspicion_most;
        let agreed = if suspicion.told_dead {
            OBSERVERS
        } else {
            suspicion.observers.len()
        };
        // the first observer opens the suspicion, the others confirm it
        let others = agreed.saturating_sub(1) as f64;
        let wanted = f64::from(self.settings.confirmations);
        let time = most - (most - least) * (others + 1.0).ln() / (wanted + 1.0).ln();
        // ours: the own health stretches this as it does the period, for where helpers fall silent too the others
        // have not all been tried yet, and what looks like a majority may be none
        let worse = f64::from(self.health + 1);
        let time = time.max(least) * worse;
        // once a majority stands again, those that can be heard again must have the time to say so
        let Some(stands) = self.stands else {
            return Micros::MAX;
        };
        // where as many again would leave no majority, all must have been tried first. In a half of a split fleet a
        // member of the other half that nobody suspects yet is found with a chance of 0.4 a period (half of the
        // probes, of half of the fleet; seen with 12 members), so that none is left after so long without a new
        // suspicion, but for one in 5,000 of the splits
        let (sure, suspects) = (self.table.unsuspected(), self.table.suspects().len());
        let margin = 2 * sure.saturating_sub(suspects) > self.settings.configured as usize;
        let calm = if margin {
            0
        } else {
            self.unrest.max(stands) + 4 * (least * worse) as Micros
        };
        (suspicion.since.max(stands) + time as Micros)
            .max(suspicion.not_before)
            .max(calm)
    }

    /// An own probe of a member that was not suspect is over: what it tells of the own reach bears on all suspicions.
    pub(super) fn weigh(&mut self, answered: bool) {
        for name in self.table.suspects().clone() {
            let Some(suspicion) = self.suspicion_of(&name) else {
                continue;
            };
            let count = if answered {
                &mut suspicion.answered
            } else {
                &mut suspicion.unanswered
            };
            *count += 1;
        }
    }

    /// Ours: a majority of the configured fleet must stand behind a death, and none that doubts itself.
    pub(super) fn look_who_stands(&mut self, now: Micros) {
        let majority = 2 * self.table.unsuspected() > self.settings.configured as usize;
        let stands = majority && !self.doubts() && self.proved;
        if stands && self.stands.is_none() {
            // those that were cut off meanwhile did not hear what they are accused of
            for name in self.table.suspects().clone() {
                let Some(suspicion) = self.suspicion_of(&name) else {
                    continue;
                };
                (suspicion.answered, suspicion.unanswered) = (0, 0);
                let observers = suspicion.observers.clone();
                observers
                    .iter()
                    .for_each(|observer| self.gossip.suspect(&name, observer));
            }
        }
        self.stands = if stands {
            self.stands.or(Some(now))
        } else {
            None
        };
    }

    pub(super) fn next_suspicion(&self) -> Option<Micros> {
        let suspicions = self
            .table
            .suspects()
            .iter()
            .filter_map(|name| self.table.get(name)?.suspicion.as_ref());
        suspicions.map(|suspicion| self.ends(suspicion)).min()
    }

    pub(super) fn put_off_suspicions(&mut self, now: Micros, by: Micros) {
        for name in self.table.suspects().clone() {
            let Some(suspicion) = self.suspicion_of(&name) else {
                continue;
            };
            suspicion.since += by;
            (suspicion.answered, suspicion.unanswered) = (0, 0);
            suspicion.not_before = suspicion.not_before.max(now + by.min(1));
        }
    }

    /// Suspicions whose time is over become deaths, or wait on where that may not be said.
    pub(super) fn work_suspicions(&mut self, now: Micros, output: &mut Output) {
        self.look_who_stands(now);
        let due = |name: &&String| {
            let suspicion = self
                .table
                .get(name)
                .and_then(|peer| peer.suspicion.as_ref());
            suspicion.is_some_and(|suspicion| self.ends(suspicion) <= now)
        };
        let due: Vec<String> = self.table.suspects().iter().filter(due).cloned().collect();
        for name in due {
            let agree = self.agree();
            // one that is doubted itself, or gone, is no witness
            let witness = |observer: &&String| {
                **observer == self.settings.name
                    || self
                        .table
                        .get(observer)
                        .is_some_and(|peer| peer.state == State::Alive)
            };
            let observers = self
                .table
                .get(&name)
                .and_then(|peer| Some(&peer.suspicion.as_ref()?.observers));
            let witnesses =
                observers.map_or(0, |observers| observers.iter().filter(witness).count());
            let Some(peer) = self.table.get_mut(&name) else {
                continue;
            };
            let (incarnation, instance, address) = (peer.incarnation, peer.instance, peer.address);
            let Some(suspicion) = peer.suspicion.as_mut() else {
                continue;
            };
            // what is not suspect may only not have been tried: in the smaller part of a split most probes fail
            let reaches =
                suspicion.answered >= REACHED && suspicion.answered > 2 * suspicion.unanswered;
            let agreed = (suspicion.told_dead || witnesses >= agree) && reaches;
            if agreed || !self.settings.lifeguard {
                let (state, observer) = (State::Dead, None);
                let record = Record {
                    name,
                    address,
                    incarnation,
                    instance,
                    state,
                    observer,
                };
                self.settle(now, &record, output);
            } else {
                suspicion.not_before = now + self.settings.period;
            }
        }
    }

    /// Others speak of this member: what is wrong is refuted by a greater incarnation (SWIM, section IV-B).
    fn learn_of_oneself(&mut self, record: &Record, output: &mut Output) {
        let same = record.instance == self.instance;
        if record.incarnation < self.incarnation || record.incarnation >= INCARNATION_MOST {
            return;
        }
        if self.yielded {
            // the other one has gone: this one may have its name again
            if matches!(record.state, State::Dead | State::Left) && !same {
                self.yielded = false;
                self.rival = None;
                self.refute(record, output);
            }
            return;
        }
        if record.state == State::Alive && same && record.incarnation == self.incarnation {
            return;
        }
        if !same && record.state == State::Alive {
            let answers = match self.rival {
                Some((instance, told, answers)) if instance == record.instance => {
                    answers + u32::from(record.incarnation > told)
                }
                _ => 0,
            };
            // both live, and all others would see first one and then the other: the elder is the member. A younger
            // one that claims the name lives; an elder may be this one's own earlier life until it answers
            let (elder, address) = (record.instance < self.instance, record.address);
            if !elder
                && self
                    .rival
                    .is_none_or(|(instance, ..)| instance != record.instance)
            {
                output.changes.push(Change::Rival {
                    address,
                    yields: false,
                });
            }
            if elder && answers >= RIVAL_ANSWERS {
                let doubted = self.doubts();
                output.changes.push(Change::Rival {
                    address,
                    yields: true,
                });
                self.yielded = true;
                self.probe = None;
                self.relays.clear();
                return self.tell_doubt(doubted, output);
            }
            self.rival = Some((record.instance, record.incarnation + 1, answers));
        }
        self.refute(record, output);
    }

    fn refute(&mut self, record: &Record, output: &mut Output) {
        self.incarnation = record.incarnation + 1;
        self.gossip.tell(&self.settings.name);
        self.outcry = true;
        if matches!(record.state, State::Suspect | State::Dead) && record.instance == self.instance
        {
            // it was too slow for others (Lifeguard, section IV-A)
            self.worsen(1);
        }
        output.changes.push(Change::Refuted {
            held: record.state,
            incarnation: self.incarnation,
        });
    }
}
