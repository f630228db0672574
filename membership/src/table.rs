//! All other members as this node knows them, and the view that follows from them.

use crate::Micros;
use crate::member::Member;
use crate::record::{Record, State};
use crate::report::MemberReport;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Included, Unbounded};
use xxhash_rust::xxh3::Xxh3;

/// Datagrams that carry the holders of a new view: about 25 periods' worth, while gossip reaches a thousand members
/// within ten.
const VIEW_BROADCASTS: u32 = 60;

/// All other members, and the view that follows from them.
#[derive(Debug, Clone)]
pub struct MemberTable {
    members: BTreeMap<String, Member>,
    local_name: String,
    suspects: BTreeSet<String>,
    /// Names of the members that are alive or suspect, the own name among them, sorted.
    present: Vec<String>,
    /// The hash of these names.
    view_hash: u64,
    /// A bitmap over `present`: the members known to have the same view.
    view_holders: Vec<u8>,
    /// Datagrams that are still to carry that bitmap, whatever they are for.
    view_broadcasts_left: u32,
}

impl MemberTable {
    /// A table without other members.
    pub fn new(local_name: &str) -> Self {
        let mut table = MemberTable {
            members: BTreeMap::new(),
            local_name: local_name.to_string(),
            suspects: BTreeSet::new(),
            present: Vec::new(),
            view_hash: 0,
            view_holders: Vec::new(),
            view_broadcasts_left: 0,
        };
        table.rebuild_view();
        table
    }

    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// For changes that leave the member's state as it is.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.members.get_mut(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.members.iter()
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Inserts or replaces a member. The view changes if its presence does.
    pub fn insert(&mut self, name: &str, member: Member) {
        let was_present = self
            .members
            .get(name)
            .is_some_and(|old| old.state.is_present());
        let is_present = member.state.is_present();
        if member.state == State::Suspect {
            self.suspects.insert(name.to_string());
        } else {
            self.suspects.remove(name);
        }
        self.members.insert(name.to_string(), member);
        if was_present != is_present {
            self.rebuild_view();
        }
    }

    /// Removes the member that departed the longest ago, if that was no later than `before`; whether there was one.
    pub fn evict_departed(&mut self, before: Micros) -> bool {
        let departed =
            |(_, member): &(&String, &Member)| !member.state.is_present() && member.since <= before;
        let oldest = self
            .members
            .iter()
            .filter(departed)
            .min_by_key(|(_, member)| member.since);
        let Some(name) = oldest.map(|(name, _)| name.clone()) else {
            return false;
        };
        self.members.remove(&name).is_some()
    }

    fn rebuild_view(&mut self) {
        let others = self
            .members
            .iter()
            .filter(|(_, member)| member.state.is_present())
            .map(|(name, _)| name);
        self.present = others.chain([&self.local_name]).cloned().collect();
        self.present.sort_unstable();
        let mut hash = Xxh3::new();
        for name in &self.present {
            hash.update(name.as_bytes());
            hash.update(b" ");
        }
        self.view_hash = hash.digest();
        self.view_holders = vec![0; self.present.len().div_ceil(8)];
        self.view_broadcasts_left = VIEW_BROADCASTS;
        let local_name = self.local_name.clone();
        self.mark_holder(&local_name);
    }

    /// The member is known to have this view.
    fn mark_holder(&mut self, name: &str) {
        let position = self
            .present
            .binary_search_by(|known| known.as_str().cmp(name));
        if let Ok(position) = position {
            self.view_holders[position / 8] |= 1 << (position % 8);
        }
    }

    /// Merges what another member knows of the holders of its view, if that is this node's view too.
    pub fn merge_holders(&mut self, name: &str, view_hash: u64, holders: &[u8]) {
        if view_hash != self.view_hash {
            return;
        }
        self.mark_holder(name);
        if holders.len() != self.view_holders.len() {
            return;
        }
        let spare_bits = self.view_holders.len() * 8 - self.present.len();
        for (known, new) in self.view_holders.iter_mut().zip(holders) {
            *known |= new;
        }
        if let Some(last) = self.view_holders.last_mut() {
            *last &= 0xff >> spare_bits; // positions beyond the last member
        }
    }

    /// The bitmap of holders for a datagram. Every datagram carries it while the view is new, later only push-pull
    /// sync does, so that the size of a datagram in steady state does not grow with the fleet.
    pub fn holders_to_send(&mut self, is_sync: bool) -> Vec<u8> {
        let wanted = self.view_broadcasts_left > 0 || is_sync;
        self.view_broadcasts_left = self.view_broadcasts_left.saturating_sub(1);
        if wanted {
            self.view_holders.clone()
        } else {
            Vec::new()
        }
    }

    /// The hash of the names of the members present.
    pub fn view_hash(&self) -> u64 {
        self.view_hash
    }

    /// The bitmap of the members known to have the same view.
    pub fn view_holders(&self) -> &[u8] {
        &self.view_holders
    }

    /// How many members are known to have the same view, this node counted.
    pub fn view_holder_count(&self) -> u32 {
        self.view_holders.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Names of the members that are alive or suspect, this node among them, sorted.
    pub fn present(&self) -> &[String] {
        &self.present
    }

    pub fn suspects(&self) -> &BTreeSet<String> {
        &self.suspects
    }

    /// Members that are alive and not suspect, this node counted.
    pub fn unsuspected_count(&self) -> usize {
        self.present.len() - self.suspects.len()
    }

    /// Members that died or left.
    pub fn departed_count(&self) -> usize {
        self.members.len() + 1 - self.present.len()
    }

    /// The record to send of a member: for a suspect that of one observer, or of the first one.
    pub fn record(&self, name: &str, observer: Option<&str>) -> Option<Record> {
        let member = self.members.get(name)?;
        let observers = member
            .suspicion
            .as_ref()
            .map(|suspicion| &suspicion.observers);
        let observer = match (member.state, observer) {
            (State::Suspect, Some(observer)) => observers?.get(observer).cloned(),
            (State::Suspect, None) => observers?.first().cloned(),
            _ => None,
        };
        Some(Record {
            name: name.to_string(),
            address: member.address,
            incarnation: member.incarnation,
            instance: member.instance,
            state: member.state,
            observer,
        })
        .filter(|record| (record.state == State::Suspect) == record.observer.is_some())
    }

    /// The members after a name and up to another or to the end; an end before the begin counts as none.
    pub fn range(
        &self,
        after: &str,
        until: Option<&str>,
    ) -> impl Iterator<Item = (&String, &Member)> {
        let until = until
            .filter(|until| *until >= after)
            .map_or(Unbounded, Included);
        self.members.range::<str, _>((Excluded(after), until))
    }

    /// A digest of the records of these members without one of them: of two nodes that compare, neither has a record
    /// of itself.
    pub fn digest(&self, after: &str, until: Option<&str>, without: &str) -> u64 {
        let mut hash = Xxh3::new();
        for (name, member) in self
            .range(after, until)
            .filter(|(name, _)| *name != without)
        {
            hash.update(name.as_bytes());
            hash.update(&[member.state as u8]);
            hash.update(&member.incarnation.to_le_bytes());
            hash.update(&member.instance.to_le_bytes());
        }
        hash.digest()
    }

    /// All members, for a report.
    pub fn reports(&self, now: Micros) -> Vec<MemberReport> {
        let millis_since = |then: Micros| now.saturating_sub(then) / 1000;
        let report = |(name, member): (&String, &Member)| MemberReport {
            name: name.clone(),
            address: member.address,
            state: member.state,
            incarnation: member.incarnation,
            in_state_ms: millis_since(member.since),
            since_heard_ms: member.last_heard.map(millis_since),
            observers: member
                .suspicion
                .iter()
                .flat_map(|suspicion| suspicion.observers.iter().cloned())
                .collect(),
        };
        self.members.iter().map(report).collect()
    }
}

#[cfg(test)]
mod tests;
