//! One member: what it is handed, what it says, and when it wants to be woken. Its jobs are a file each: `probe`
//! finds who fails, `learn` makes of records what is known, `sync` exchanges the state now and then.

mod learn;
mod probe;
mod sync;

use crate::Micros;
use crate::gossip::Gossip;
use crate::record::{Record, State};
use crate::settings::{Settings, SettingsError};
use crate::table::{Listed, Peer, Table};
use crate::wire::{self, Dropped, Message, Packet};
use probe::{Probe, Relay};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use sync::Sync;

/// Lifeguard's greatest local health score S: periods and time-outs grow to at most nine times (section IV-A).
pub const HEALTH_MOST: u32 = 8;
/// A wake that comes this part of a period too late was a pause of the process.
const PAUSE: Micros = 2;
/// Datagrams that are answered in a period. Each member is probed once a period on average, and asked little more.
const ANSWERS: u32 = 64;
/// Probes without any answer after which a member doubts itself.
const DOUBT: u32 = 3;
/// Told directly at leaving: the rest hear from these.
const TOLD_AT_LEAVING: usize = 8;
/// Addresses that are remembered over a restart.
const REMEMBERED: usize = 64;
/// Members that are gone make room for new ones after this many periods, and never before.
const FORGET_PERIODS: Micros = 3600;

/// What comes of an event.
#[derive(Debug, Default)]
pub struct Output {
    /// To be sent, in this order.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// To be told, in this order.
    pub changes: Vec<Change>,
}

/// A member's state has changed, or something about the names is to be known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Another member; none before: it was not known.
    State {
        /// Who it is, and where.
        name: String,
        /// How it stood, and how it stands.
        before: Option<State>,
        /// See `before`.
        now: State,
        /// The one in which it stands so.
        incarnation: u64,
        /// Where it is reached.
        address: SocketAddr,
    },
    /// Others held this one for suspect, dead or left; it says that it is not.
    Refuted {
        /// How it was held.
        held: State,
        /// The greater incarnation that says otherwise.
        incarnation: u64,
    },
    /// Another process bears the own name; whether this one gives way to it.
    Rival {
        /// Where the other one is.
        address: SocketAddr,
        /// This one takes part no more while the other lives.
        yields: bool,
    },
    /// The process or the machine stood still for so long.
    Paused {
        /// How long, beyond the moment at which it wanted to be woken.
        micros: Micros,
    },
    /// No answer has come for some probes, or one has again.
    Doubt {
        /// Whether it has reason to doubt itself.
        doubts: bool,
    },
}

/// What the fleet looks like from here; all that others may act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct View {
    /// Members that live, suspects and this one counted.
    pub living: u32,
    /// Those of them that some observer had no answer from.
    pub suspects: u32,
    /// Members known to have died or left.
    pub gone: u32,
    /// Members known to see just the same living ones, this one counted.
    pub holders: u32,
    /// This member has reason to doubt what it sees.
    pub doubt: bool,
}

/// What outlasts the process.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Remembered {
    /// The greatest own incarnation that was in force.
    pub incarnation: u64,
    /// Where members were last reached.
    pub contacts: Vec<SocketAddr>,
}

/// Datagrams since the start.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counts {
    /// Those that came, whatever they were.
    pub datagrams_in: u64,
    /// Those that were sent.
    pub datagrams_out: u64,
    /// Their lengths together.
    pub bytes_in: u64,
    /// Their lengths together.
    pub bytes_out: u64,
    /// Those that counted for nothing, by cause.
    pub dropped: BTreeMap<Dropped, u64>,
}

/// A member of a fleet.
#[derive(Debug, Clone)]
pub struct Node {
    settings: Settings,
    random: Pcg64,
    incarnation: u64,
    instance: u64,
    counter: u64,
    left: bool,
    /// Another process is held to be the member of this name.
    yielded: bool,
    /// The life of the rival that has answered, the incarnation that it was told, and how often it has.
    rival: Option<(u64, u64, u32)>,
    table: Table,
    gossip: Gossip,
    health: u32,
    /// Probes in a row that had no answer of anybody.
    silent: u32,
    /// An answer has come since the start or the last pause.
    proved: bool,
    /// Since when this member may declare deaths, and when it last came to suspect another one.
    stands: Option<Micros>,
    unrest: Micros,
    probe: Option<Probe>,
    next_probe: Micros,
    number: u32,
    /// Targets in the order of this round, and whether the last one was a suspect out of turn.
    round: Vec<String>,
    turn: bool,
    relays: BTreeMap<u32, Relay>,
    /// The helper that last brought an answer.
    bridge: Option<String>,
    sync: Sync,
    contacts: Vec<SocketAddr>,
    /// A refutation is to go out, and no sooner than this.
    outcry: bool,
    next_outcry: Micros,
    /// Answers left in this period, and when it ends.
    answers: (u32, Micros),
    /// When it asked to be woken.
    wake: Micros,
    counts: Counts,
}

impl Node {
    /// A member that begins now. `instance` is the process's start on the common clock, Unix microseconds.
    ///
    /// # Errors
    /// A setting makes no sense.
    pub fn new(
        settings: Settings,
        remembered: Remembered,
        seed: u64,
        instance: u64,
        now: Micros,
    ) -> Result<Self, SettingsError> {
        settings.validate()?;
        let mut random = Pcg64::seed_from_u64(seed);
        // members that start together do not probe together
        let first = now + random.random_range(0..settings.period);
        let own = settings.advertise;
        let mut contacts: Vec<SocketAddr> = settings
            .seeds
            .iter()
            .chain(&remembered.contacts)
            .copied()
            .filter(|address| *address != own)
            .collect();
        contacts.sort_unstable();
        contacts.dedup();
        Ok(Node {
            // what an earlier life said of itself is older than anything this one says
            incarnation: if remembered == Remembered::default() {
                0
            } else {
                remembered.incarnation + 1
            },
            instance,
            counter: 0,
            left: false,
            yielded: false,
            rival: None,
            table: Table::new(&settings.name),
            gossip: Gossip::default(),
            health: 0,
            silent: 0,
            proved: false,
            stands: None,
            unrest: now,
            turn: false,
            probe: None,
            next_probe: first,
            number: random.random(),
            round: Vec::new(),
            relays: BTreeMap::new(),
            bridge: None,
            sync: Sync::new(now),
            contacts,
            outcry: false,
            next_outcry: now,
            answers: (ANSWERS, now),
            wake: now,
            counts: Counts::default(),
            random,
            settings,
        })
    }

    /// Another number of members that the fleet is to have.
    pub fn set_configured(&mut self, configured: u32) {
        self.settings.configured = configured.max(1);
    }

    /// The settings as they are now.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// When it wants [`Node::tick`] next.
    pub fn wake_at(&self) -> Micros {
        self.wake
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros, output: &mut Output) {
        if self.left {
            return;
        }
        self.notice_pause(now, output);
        self.work(now, output);
        self.wake = self.next_wake(now);
    }

    fn work(&mut self, now: Micros, output: &mut Output) {
        if now >= self.answers.1 {
            self.answers = (ANSWERS, now + self.settings.period);
        }
        if !self.yielded {
            self.work_outcry(now, output);
            self.work_probe(now, output);
            self.work_relays(now, output);
            self.work_suspicions(now, output);
        }
        self.work_sync(now, output);
    }

    fn next_wake(&self, now: Micros) -> Micros {
        let probe = self
            .probe
            .as_ref()
            .filter(|probe| !probe.asked && !probe.acked)
            .map(|probe| probe.ask_at);
        let relay = self
            .relays
            .values()
            .filter(|relay| !relay.nacked)
            .map(|relay| relay.nack_at)
            .min();
        let suspicion = self.next_suspicion();
        let outcry = self.outcry.then_some(self.next_outcry);
        let due = [probe, relay, suspicion, outcry, Some(self.next_probe)]
            .into_iter()
            .flatten()
            .min();
        let due = if self.yielded { None } else { due };
        due.unwrap_or(Micros::MAX).min(self.sync.at).max(now + 1)
    }

    /// What refutes goes out at once, at most once a period. Ours.
    fn work_outcry(&mut self, now: Micros, output: &mut Output) {
        if !self.outcry || now < self.next_outcry {
            return;
        }
        self.outcry = false;
        self.next_outcry = now + self.settings.period;
        let record = self.own_record();
        for name in self.some_living(self.settings.helpers, &[]) {
            let Some(address) = self.table.get(&name).map(|peer| peer.address) else {
                continue;
            };
            self.send(address, &name, Message::News, vec![record.clone()], output);
        }
    }

    /// A process that stood still missed answers, not members: nothing that ran out meanwhile counts. Ours, in the
    /// spirit of Lifeguard's local health, which is at its worst after a pause.
    fn notice_pause(&mut self, now: Micros, output: &mut Output) {
        let micros = now.saturating_sub(self.wake);
        if micros <= self.settings.period / PAUSE {
            return;
        }
        output.changes.push(Change::Paused { micros });
        self.probe = None;
        self.relays.clear();
        self.next_probe = now;
        self.sync.at = self.sync.at.max(now);
        self.put_off_suspicions(now, micros);
        self.proved = false;
        if self.settings.lifeguard {
            self.health = HEALTH_MOST / 2;
        }
        // the clock goes on from here: no second pause is seen in the same one
        self.wake = now;
    }

    /// Takes a datagram in.
    pub fn handle(&mut self, now: Micros, source: SocketAddr, bytes: &[u8], output: &mut Output) {
        if self.left {
            return;
        }
        self.notice_pause(now, output);
        self.counts.datagrams_in += 1;
        self.counts.bytes_in += bytes.len() as u64;
        let read = wire::decode(bytes, &self.settings.fleet, self.settings.key.as_deref());
        if let Err(cause) = read.and_then(|packet| self.take(now, source, packet, output)) {
            *self.counts.dropped.entry(cause).or_default() += 1;
        }
        self.look_who_stands(now);
        // what came may make something due sooner, never later
        self.wake = self.wake.min(self.next_wake(now));
    }

    fn take(
        &mut self,
        now: Micros,
        source: SocketAddr,
        packet: Packet,
        output: &mut Output,
    ) -> Result<(), Dropped> {
        if packet.from == self.settings.name {
            return Err(Dropped::OwnName);
        }
        if !packet.listener {
            self.meet(now, &packet, output)?;
            self.table
                .learn_holders(&packet.from, packet.view, &packet.holders);
        }
        for record in packet.records {
            self.learn(now, record, &packet.from, output);
        }
        match packet.message {
            Message::News => Ok(()),
            Message::Part { after, until } => self.take_part(now, &packet.from, after, until),
            Message::Ack { number } => self.acked(&packet.from, number, output),
            Message::Nack { number } => self.nacked(&packet.from, number, output),
            _ if self.yielded => Ok(()),
            Message::Ping { number, to } => {
                if to != self.settings.name {
                    return Err(Dropped::Misdirected);
                }
                self.answer(source, &packet.from, Message::Ack { number }, output)
            }
            Message::PingFor { number, target } => {
                self.probe_for(now, source, &packet.from, number, target, output)
            }
            Message::Pull {
                after,
                until,
                digest,
            } => self.give_part(source, &packet.from, after, until, digest, output),
        }
    }

    /// What a datagram itself says of its sender: that it is there, in this life, and that this is a new word of it.
    fn meet(&mut self, now: Micros, packet: &Packet, output: &mut Output) -> Result<(), Dropped> {
        if let Some(peer) = self.table.get_mut(&packet.from) {
            let older =
                packet.instance != peer.window.instance() && packet.incarnation < peer.incarnation;
            if older && peer.window.instance() != 0
                || !peer.window.accept(packet.instance, packet.counter)
            {
                return Err(Dropped::Replayed);
            }
            peer.heard = Some(now);
        }
        let record = Record {
            name: packet.from.clone(),
            address: packet.address,
            incarnation: packet.incarnation,
            instance: packet.instance,
            state: State::Alive,
            observer: None,
        };
        self.learn(now, record, &packet.from, output);
        match self.table.get_mut(&packet.from) {
            Some(peer) => {
                if peer.heard.is_none() {
                    peer.window.accept(packet.instance, packet.counter);
                    peer.heard = Some(now);
                }
                Ok(())
            }
            None => Err(Dropped::Full),
        }
    }

    /// Answers within the bound of a period.
    fn answer(
        &mut self,
        to: SocketAddr,
        name: &str,
        message: Message,
        output: &mut Output,
    ) -> Result<(), Dropped> {
        self.answers.0 = self.answers.0.checked_sub(1).ok_or(Dropped::Busy)?;
        self.send(to, name, message, Vec::new(), output);
        Ok(())
    }

    /// Sends a datagram with the records given, and with as much news as has room.
    fn send(
        &mut self,
        to: SocketAddr,
        name: &str,
        message: Message,
        records: Vec<Record>,
        output: &mut Output,
    ) {
        self.counter += 1;
        let compares = matches!(message, Message::Pull { .. } | Message::Part { .. });
        let holders = self.table.tell_holders(compares);
        let mut packet = self.packet(self.counter, holders, message, records);
        // one byte more where there are more than 127 records
        let mut room = self.room(&packet);
        if !self.yielded {
            self.add_news(name, &mut packet.records, &mut room);
        }
        let bytes = wire::encode(&packet, self.settings.key.as_deref());
        self.counts.datagrams_out += 1;
        self.counts.bytes_out += bytes.len() as u64;
        output.datagrams.push((to, bytes));
    }

    /// A packet of this member, with this number.
    fn packet(
        &self,
        counter: u64,
        holders: Vec<u8>,
        message: Message,
        records: Vec<Record>,
    ) -> Packet {
        Packet {
            fleet: self.settings.fleet.clone(),
            from: self.settings.name.clone(),
            address: self.settings.advertise,
            incarnation: self.incarnation,
            instance: self.instance,
            counter,
            listener: self.yielded,
            view: self.table.view().0,
            holders,
            message,
            records,
        }
    }

    /// Bytes that a packet leaves for further records.
    fn room(&self, packet: &Packet) -> usize {
        let used = wire::overhead(self.settings.key.as_deref()) + wire::size(packet) + 1;
        wire::LONGEST.saturating_sub(used)
    }

    /// The receiver first hears what is held against itself, so that it can refute it (Lifeguard's buddy system,
    /// section IV-B; for the dead as well, which is ours), then what is news.
    fn add_news(&mut self, to: &str, records: &mut Vec<Record>, room: &mut usize) {
        let accused = self
            .table
            .get(to)
            .is_some_and(|peer| peer.state != State::Alive);
        let buddy = if accused && self.settings.lifeguard {
            self.table.record(to, None)
        } else {
            None
        };
        let mut add = |record: Record, room: &mut usize| {
            let size = wire::size(&record);
            let fits = size <= *room && !records.contains(&record);
            if fits {
                *room -= size;
                records.push(record);
            }
            fits
        };
        if let Some(record) = buddy {
            add(record, room);
        }
        let most = self.settings.retransmit * self.scale().ceil() as u32;
        for topic in self.gossip.order() {
            let record = match &topic {
                (name, None) if *name == self.settings.name => Some(self.own_record()),
                (name, observer) => self.table.record(name, observer.as_deref()),
            };
            match record {
                Some(record) => {
                    if add(record, room) {
                        self.gossip.sent(&topic, most);
                    } else if *room < 32 {
                        return;
                    }
                }
                // it is no news any more
                None => self.gossip.sent(&topic, 0),
            }
        }
    }

    fn own_record(&self) -> Record {
        Record {
            name: self.settings.name.clone(),
            address: self.settings.advertise,
            incarnation: self.incarnation,
            instance: self.instance,
            state: if self.left { State::Left } else { State::Alive },
            observer: None,
        }
    }

    /// How times and repeats grow with the members: log10, at least 1 (Lifeguard, section IV-C).
    fn scale(&self) -> f64 {
        (self.table.living().len() as f64).log10().max(1.0)
    }

    /// The period as the own health stretches it (Lifeguard, section IV-A).
    fn stretched(&self, time: Micros) -> Micros {
        time * Micros::from(self.health + 1)
    }

    fn worsen(&mut self, by: u32) {
        if self.settings.lifeguard {
            self.health = (self.health + by).min(HEALTH_MOST);
        }
    }

    /// Whether this member has reason to doubt itself rather than the others.
    fn doubts(&self) -> bool {
        self.yielded || self.silent >= DOUBT
    }

    /// Says that it leaves; it takes part no more.
    pub fn leave(&mut self, output: &mut Output) {
        if self.left || self.yielded {
            return;
        }
        self.left = true;
        let record = self.own_record();
        for name in self.some_living(TOLD_AT_LEAVING, &[]) {
            let Some(address) = self.table.get(&name).map(|peer| peer.address) else {
                continue;
            };
            self.send(address, &name, Message::News, vec![record.clone()], output);
        }
    }

    /// What the fleet looks like from here.
    pub fn view(&self) -> View {
        View {
            living: self.table.living().len() as u32,
            suspects: self.table.suspects().len() as u32,
            gone: self.table.gone() as u32,
            holders: self.table.held_by(),
            doubt: self.doubts(),
        }
    }

    /// What to keep for the next life.
    pub fn remember(&self) -> Remembered {
        let living = self.table.iter().filter(|(_, peer)| peer.state.lives());
        let mut latest: Vec<(&String, &Peer)> = living.collect();
        latest.sort_by_key(|(_, peer)| std::cmp::Reverse(peer.heard));
        let contacts = latest
            .iter()
            .take(REMEMBERED)
            .map(|(_, peer)| peer.address)
            .collect();
        Remembered {
            incarnation: self.incarnation,
            contacts,
        }
    }

    /// The own name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// The own incarnation: how often it had to refute what was said of it.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Lifeguard's local health score: 0 well, 8 at its worst.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// Datagrams since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// All other members that are known, by name.
    pub fn members(&self, now: Micros) -> Vec<Listed> {
        self.table.listed(now)
    }

    /// How another member stands, and in which incarnation.
    pub fn state_of(&self, name: &str) -> Option<(State, u64)> {
        self.table
            .get(name)
            .map(|peer| (peer.state, peer.incarnation))
    }
}
