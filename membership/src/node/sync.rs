//! The exchange of state now and then, part by part over bounded datagrams: it brings a new member up to date, heals
//! what gossip has missed and brings halves together that were apart. Ours, after the push and pull of epidemic
//! protocols (Demers et al., PODC 1987, section 1.3: anti-entropy).

use super::{Node, Output};
use crate::Micros;
use crate::record::{Record, State};
use crate::settings::NAME_MOST;
use crate::wire::{self, Dropped, Message};
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use std::net::SocketAddr;

/// One exchange of so many goes to one that is gone, or to an address once known: so halves find one another.
const TO_THE_GONE: u32 = 4;
/// The same while no majority is known, when one exchange is made a period: a fleet that starts is a heap of islands.
const TO_THE_GONE_FEW: u32 = 2;
/// Parts asked of one member without an answer before another is asked.
const PATIENCE: u32 = 2;

/// Where the exchange stands.
#[derive(Debug, Clone)]
pub struct Sync {
    pub at: Micros,
    /// The last member whose part is known, and who is asked for the next.
    after: String,
    asked: Option<String>,
    unanswered: u32,
    /// All has been heard once.
    joined: bool,
}

impl Sync {
    pub fn new(now: Micros) -> Self {
        Sync {
            at: now,
            after: String::new(),
            asked: None,
            unanswered: 0,
            joined: false,
        }
    }
}

impl Node {
    pub(super) fn work_sync(&mut self, now: Micros, output: &mut Output) {
        if now < self.sync.at {
            return;
        }
        let period = self.settings.period;
        // each at moments of its own, as far as members that started together are concerned
        let every = match (self.sync.joined, self.is_few()) {
            (false, _) => period / 2,
            (true, true) => period,
            (true, false) => period * Micros::from(self.settings.sync),
        };
        self.sync.at = now + every / 2 + self.random.random_range(0..=every);
        let Some((name, address)) = self.partner() else {
            return;
        };
        self.sync.unanswered += 1;
        let after = self.sync.after.clone();
        // as much as an answer could hold, were all of it different
        let (_, until) = self.part(&after, None, &[]);
        let digest = self.table.digest(&after, until.as_deref(), &name);
        self.send(
            address,
            &name,
            Message::Pull {
                after,
                until,
                digest,
            },
            Vec::new(),
            output,
        );
        self.sync.asked = Some(name);
    }

    /// Whom to ask: the one that gave the last part while there are more, else a member at random, now and then one
    /// that is gone or an address once known that is no living member's. Who knows nobody asks the seeds and those last
    /// known. Without the last, members that started one after the other stay in islands, each of which thinks that
    /// it is the fleet.
    fn partner(&mut self) -> Option<(String, SocketAddr)> {
        if self.table.living().len() == 1 || !self.sync.joined && self.sync.asked.is_none() {
            return self.contact();
        }
        let asked = self
            .sync
            .asked
            .as_ref()
            .filter(|_| self.sync.unanswered < PATIENCE);
        let peer = asked.and_then(|name| Some((name.clone(), self.table.get(name)?.address)));
        if let Some(peer) = peer.filter(|_| !self.sync.after.is_empty() || !self.sync.joined) {
            return Some(peer);
        }
        if self.sync.unanswered >= PATIENCE {
            self.sync.after.clear();
            self.sync.unanswered = 0;
            if !self.sync.joined {
                return self.contact();
            }
        }
        if self.random.random_ratio(
            1,
            if self.is_few() {
                TO_THE_GONE_FEW
            } else {
                TO_THE_GONE
            },
        ) {
            let dead = |(_, peer): &(&String, &crate::table::Peer)| peer.state == State::Dead;
            let dead = self
                .table
                .iter()
                .filter(dead)
                .map(|(name, peer)| (name.clone(), peer.address));
            let mut gone: Vec<(String, SocketAddr)> = dead.collect();
            gone.extend(
                self.strangers()
                    .into_iter()
                    .map(|address| (String::new(), address)),
            );
            if let Some(gone) = gone.choose(&mut self.random) {
                return Some(gone.clone());
            }
        }
        let name = self.some_living(1, &[]).pop()?;
        let address = self.table.get(&name)?.address;
        Some((name, address))
    }

    /// A majority of the configured members is not known yet, or no more.
    fn is_few(&self) -> bool {
        2 * self.table.living().len() <= self.settings.configured as usize
    }

    /// Addresses once known that are no known member's.
    fn strangers(&self) -> Vec<SocketAddr> {
        let known =
            |address: &SocketAddr| self.table.iter().any(|(_, peer)| peer.address == *address);
        self.contacts
            .iter()
            .filter(|address| !known(address))
            .copied()
            .collect()
    }

    fn contact(&mut self) -> Option<(String, SocketAddr)> {
        let address = self.contacts.iter().choose(&mut self.random).copied();
        address.map(|address| (String::new(), address))
    }

    /// The records of the members after a name and up to another, as many as an answer has room for beside these, and
    /// the last one's name where there are more.
    fn part(
        &self,
        after: &str,
        until: Option<&str>,
        beside: &[Record],
    ) -> (Vec<Record>, Option<String>) {
        let holders = self.table.view().1.to_vec();
        let message = Message::Part {
            after: after.to_string(),
            until: None,
        };
        let frame = self.packet(u64::MAX, holders, message, beside.to_vec());
        // the answer names the last member of the part, which is not known yet
        let mut room = self.room(&frame).saturating_sub(NAME_MOST + 2);
        let mut records = Vec::new();
        let mut last = None;
        for (name, _) in self.table.between(after, until) {
            let Some(record) = self.table.record(name, None) else {
                continue;
            };
            let size = wire::size(&record);
            if size > room {
                return (records, last);
            }
            room -= size;
            last = Some(name.clone());
            records.push(record);
        }
        (records, until.map(str::to_string))
    }

    /// Tells what is held of the members after a name, if it differs.
    pub(super) fn give_part(
        &mut self,
        source: SocketAddr,
        to: &str,
        after: String,
        until: Option<String>,
        digest: u64,
        output: &mut Output,
    ) -> Result<(), Dropped> {
        self.answers.0 = self.answers.0.checked_sub(1).ok_or(Dropped::Busy)?;
        // what is held against the one that asks comes before all else
        let accused = self
            .table
            .get(to)
            .is_some_and(|peer| peer.state != State::Alive);
        let mut first: Vec<Record> = if accused {
            self.table.record(to, None).into_iter().collect()
        } else {
            Vec::new()
        };
        let same = self.table.digest(&after, until.as_deref(), to) == digest;
        let (records, until) = if same {
            (Vec::new(), until)
        } else {
            self.part(&after, until.as_deref(), &first)
        };
        first.extend(
            records
                .into_iter()
                .filter(|record| !accused || record.name != to),
        );
        self.send(source, to, Message::Part { after, until }, first, output);
        Ok(())
    }

    /// The records were learned already; this tells how far they go.
    pub(super) fn take_part(
        &mut self,
        now: Micros,
        from: &str,
        after: String,
        until: Option<String>,
    ) -> Result<(), Dropped> {
        if self.sync.after != after {
            return Err(Dropped::Unknown); // a late answer to an earlier question
        }
        self.sync.unanswered = 0;
        self.sync.asked = Some(from.to_string());
        match until {
            Some(until) if until > after => {
                self.sync.after = until;
                if !self.sync.joined {
                    self.sync.at = self.sync.at.min(now + self.settings.period / 8);
                }
            }
            _ => {
                self.sync.after.clear();
                self.sync.asked = None;
                self.sync.joined = true;
            }
        }
        Ok(())
    }
}
