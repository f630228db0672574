//! The members as one of them knows them, and how records of one member are ordered.

use crate::Micros;
use crate::record::{Record, State, rank};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

/// Datagrams that tell who holds a new view: some 25 periods' worth, where a word is with a thousand after ten.
const FRESH: u32 = 60;
/// Observers of one suspicion that are remembered: more change nothing.
pub const OBSERVERS: usize = 4;

/// A suspicion that runs.
#[derive(Debug, Clone)]
pub struct Suspicion {
    pub since: Micros,
    /// Who saw the member fail, each by itself.
    pub observers: BTreeSet<String>,
    /// Others hold it for dead already.
    pub told_dead: bool,
    /// Own probes of members that were not suspect since it began: those that were answered, and those that were not.
    pub answered: u32,
    pub unanswered: u32,
    /// Its end was put off to this time.
    pub not_before: Micros,
}

/// What is known of another member.
#[derive(Debug, Clone)]
pub struct Peer {
    pub address: SocketAddr,
    pub incarnation: u64,
    pub instance: u64,
    pub state: State,
    /// When it came to this state.
    pub since: Micros,
    pub suspicion: Option<Suspicion>,
    /// When a datagram of its own last came.
    pub heard: Option<Micros>,
    pub window: Window,
}

impl Peer {
    pub fn rank(&self) -> (u64, State, Reverse<u64>) {
        rank(self.incarnation, self.state, self.instance)
    }
}

/// Which of one life's datagrams have come, as RFC 4303 (section 3.4.3) has it: late ones pass, repeated ones not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Window {
    instance: u64,
    highest: u64,
    /// Bit n: the datagram n below the highest came.
    came: u64,
}

impl Window {
    /// Notes a datagram; false if it came before or is too old to tell.
    pub fn accept(&mut self, instance: u64, counter: u64) -> bool {
        if instance != self.instance {
            *self = Window {
                instance,
                highest: counter,
                came: 1,
            };
            return true;
        }
        if counter > self.highest {
            let step = counter - self.highest;
            self.came = if step < 64 { self.came << step | 1 } else { 1 };
            self.highest = counter;
            return true;
        }
        let bit = 1u64
            .checked_shl(u32::try_from(self.highest - counter).unwrap_or(64))
            .unwrap_or(0);
        let new = bit != 0 && self.came & bit == 0;
        self.came |= bit;
        new
    }

    /// The life whose datagrams it knows.
    pub fn instance(&self) -> u64 {
        self.instance
    }
}

/// A member for a report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// How it stands.
    pub state: State,
    /// In which incarnation.
    pub incarnation: u64,
    /// How long it has been in this state, ms.
    pub for_ms: u64,
    /// Time since a datagram of its own came, ms; none if none did.
    pub heard_ms: Option<u64>,
    /// Who saw it fail, where it is suspect.
    pub observers: Vec<String>,
}

/// All other members, and the view that follows.
#[derive(Debug, Clone)]
pub struct Table {
    peers: BTreeMap<String, Peer>,
    own: String,
    suspects: BTreeSet<String>,
    /// The living, the own name among them, in the order of their names, and its hash.
    living: Vec<String>,
    view: u64,
    /// Those known to hold the same view, by place among the living.
    holders: Vec<u8>,
    /// Datagrams that are still to tell them, whatever they are for.
    fresh: u32,
}

impl Table {
    pub fn new(own: &str) -> Self {
        let mut table = Table {
            peers: BTreeMap::new(),
            own: own.to_string(),
            suspects: BTreeSet::new(),
            living: Vec::new(),
            view: 0,
            holders: Vec::new(),
            fresh: 0,
        };
        table.look_again();
        table
    }

    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// For what changes no state.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Peer> {
        self.peers.get_mut(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter()
    }

    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Puts a member in. The view changes if the living do.
    pub fn insert(&mut self, name: &str, peer: Peer) {
        let lived = self.peers.get(name).is_some_and(|old| old.state.lives());
        let lives = peer.state.lives();
        if peer.state == State::Suspect {
            self.suspects.insert(name.to_string());
        } else {
            self.suspects.remove(name);
        }
        self.peers.insert(name.to_string(), peer);
        if lived != lives {
            self.look_again();
        }
    }

    /// Forgets the member that has been gone longest, at least since this time; whether there was one.
    pub fn forget_gone(&mut self, before: Micros) -> bool {
        let gone = |(_, peer): &(&String, &Peer)| !peer.state.lives() && peer.since <= before;
        let oldest = self
            .peers
            .iter()
            .filter(gone)
            .min_by_key(|(_, peer)| peer.since);
        let Some(name) = oldest.map(|(name, _)| name.clone()) else {
            return false;
        };
        self.peers.remove(&name).is_some()
    }

    fn look_again(&mut self) {
        let others = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.state.lives())
            .map(|(name, _)| name);
        self.living = others.chain([&self.own]).cloned().collect();
        self.living.sort_unstable();
        let mut hash = Xxh3::new();
        for name in &self.living {
            hash.update(name.as_bytes());
            hash.update(b" ");
        }
        self.view = hash.digest();
        self.holders = vec![0; self.living.len().div_ceil(8)];
        self.fresh = FRESH;
        let own = self.own.clone();
        self.holds(&own);
    }

    /// The member is known to hold this view.
    fn holds(&mut self, name: &str) {
        if let Ok(place) = self
            .living
            .binary_search_by(|known| known.as_str().cmp(name))
        {
            self.holders[place / 8] |= 1 << (place % 8);
        }
    }

    /// Takes over what another one knows of who holds which view.
    pub fn learn_holders(&mut self, name: &str, view: u64, holders: &[u8]) {
        if view == self.view {
            self.holds(name);
        }
        if view == self.view && holders.len() == self.holders.len() {
            let spare = self.holders.len() * 8 - self.living.len();
            for (known, new) in self.holders.iter_mut().zip(holders) {
                *known |= new;
            }
            if let Some(last) = self.holders.last_mut() {
                *last &= 0xff >> spare; // places that nobody has
            }
        }
    }

    /// Those that hold the view, for a datagram: while the view is new each tells them, later those that compare the
    /// state, so that what a datagram costs at rest does not grow with the fleet.
    pub fn tell_holders(&mut self, compares: bool) -> Vec<u8> {
        let tells = self.fresh > 0 || compares;
        self.fresh = self.fresh.saturating_sub(1);
        if tells {
            self.holders.clone()
        } else {
            Vec::new()
        }
    }

    /// The view's hash and who holds it.
    pub fn view(&self) -> (u64, &[u8]) {
        (self.view, &self.holders)
    }

    /// How many hold it.
    pub fn held_by(&self) -> u32 {
        self.holders.iter().map(|byte| byte.count_ones()).sum()
    }

    /// The living in the order of their names, the own among them.
    pub fn living(&self) -> &[String] {
        &self.living
    }

    pub fn suspects(&self) -> &BTreeSet<String> {
        &self.suspects
    }

    /// Those that count as there without a doubt, the own among them.
    pub fn unsuspected(&self) -> usize {
        self.living.len() - self.suspects.len()
    }

    pub fn gone(&self) -> usize {
        self.peers.len() + 1 - self.living.len()
    }

    /// What is told of a member: its record, by one observer if it is suspect.
    pub fn record(&self, name: &str, observer: Option<&str>) -> Option<Record> {
        let peer = self.peers.get(name)?;
        let observers = peer
            .suspicion
            .as_ref()
            .map(|suspicion| &suspicion.observers);
        let observer = match (peer.state, observer) {
            (State::Suspect, Some(observer)) => observers?.get(observer).cloned(),
            (State::Suspect, None) => observers?.first().cloned(),
            _ => None,
        };
        Some(Record {
            name: name.to_string(),
            address: peer.address,
            incarnation: peer.incarnation,
            instance: peer.instance,
            state: peer.state,
            observer,
        })
        .filter(|record| (record.state == State::Suspect) == record.observer.is_some())
    }

    /// The members after a name and up to another or to the end; an end before the begin is none.
    pub fn between(
        &self,
        after: &str,
        until: Option<&str>,
    ) -> impl Iterator<Item = (&String, &Peer)> {
        use std::ops::Bound::{Excluded, Included, Unbounded};
        let until = until
            .filter(|until| *until >= after)
            .map_or(Unbounded, Included);
        self.peers.range::<str, _>((Excluded(after), until))
    }

    /// A digest of the records of these members but for one's: neither of two that compare holds itself.
    pub fn digest(&self, after: &str, until: Option<&str>, without: &str) -> u64 {
        let mut hash = Xxh3::new();
        for (name, peer) in self
            .between(after, until)
            .filter(|(name, _)| *name != without)
        {
            hash.update(name.as_bytes());
            hash.update(&[peer.state as u8]);
            hash.update(&peer.incarnation.to_le_bytes());
            hash.update(&peer.instance.to_le_bytes());
        }
        hash.digest()
    }

    /// All members, for a report.
    pub fn listed(&self, now: Micros) -> Vec<Listed> {
        let since = |then: Micros| now.saturating_sub(then) / 1000;
        let listed = |(name, peer): (&String, &Peer)| Listed {
            name: name.clone(),
            address: peer.address,
            state: peer.state,
            incarnation: peer.incarnation,
            for_ms: since(peer.since),
            heard_ms: peer.heard.map(since),
            observers: peer
                .suspicion
                .iter()
                .flat_map(|suspicion| suspicion.observers.iter().cloned())
                .collect(),
        };
        self.peers.iter().map(listed).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn peer(state: State) -> Peer {
        let address = "127.0.0.1:1".parse().expect("an address");
        let (suspicion, heard, window) = (None, None, Window::default());
        Peer {
            address,
            incarnation: 0,
            instance: 0,
            state,
            since: 0,
            suspicion,
            heard,
            window,
        }
    }

    #[test]
    fn late_datagrams_pass_and_repeated_ones_do_not() {
        let mut window = Window::default();
        assert!(window.accept(5, 10) && window.accept(5, 12) && window.accept(5, 11));
        assert!(!window.accept(5, 11) && !window.accept(5, 10) && !window.accept(5, 12));
        assert!(
            window.accept(5, 200) && !window.accept(5, 100),
            "too old to tell"
        );
        assert!(window.accept(6, 1), "another life");
    }

    #[test]
    fn a_view_is_held_by_those_that_say_so_and_by_nobody_once_it_changes() {
        let mut table = Table::new("b");
        for name in ["a", "c", "d"] {
            table.insert(name, peer(State::Alive));
        }
        assert_eq!(table.held_by(), 1);
        let (view, _) = table.view();
        table.learn_holders("a", view, &[0b1111_1000]);
        assert_eq!(table.held_by(), 3, "a and d, and no places that nobody has");
        table.learn_holders("c", view ^ 1, &[0b1111]);
        table.learn_holders("x", view, &[]);
        assert_eq!(table.held_by(), 3, "another view");
        table.insert("c", peer(State::Suspect));
        assert_eq!(
            (table.held_by(), table.unsuspected()),
            (3, 3),
            "a suspect lives"
        );
        table.insert("c", peer(State::Dead));
        assert_eq!(
            (table.held_by(), table.living().len(), table.gone()),
            (1, 3, 1)
        );
    }

    #[test]
    fn the_greatest_record_holds() {
        let order = [
            rank(1, State::Alive, 9),
            rank(1, State::Alive, 4),
            rank(1, State::Suspect, 4),
            rank(1, State::Dead, 4),
            rank(1, State::Left, 4),
            rank(2, State::Alive, 9),
        ];
        assert!(order.is_sorted());
    }
}
