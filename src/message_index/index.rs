//! The index of pending messages: by deadline, by the time of their next attempt, and by group.

use super::candidates::Candidate;
use super::entry::{Eligibility, Group, IndexEntry, IndexedMessage};
use super::group_order::{GroupOrder, Members, Rank, Side};
use crate::interface::{DestinationId, MessageId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// A group of messages for one destination, restricted to the messages on one side of the peak of
/// urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupSide {
    pub destination: DestinationId,
    pub group: Group,
    pub side: Side,
}

/// The index of the pending messages. It is derived from the messages and can be rebuilt from them.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MessageIndex {
    built: bool,
    /// True if each message is a group of its own, so that turns examine every message. Tests check
    /// that the sender then takes the same actions as with shared groups.
    pub group_per_message: bool,
    /// Number of messages that have not ended.
    open: usize,
    in_flight: BTreeSet<MessageId>,
    by_deadline: BTreeSet<(Micros, MessageId)>,
    by_no_send_after: BTreeSet<(Micros, MessageId)>,
    by_next_send: BTreeSet<(Micros, MessageId)>,
    ready: BTreeMap<DestinationId, BTreeMap<Group, Members>>,
    /// Number of open messages without an attempt in flight, for each destination that has any.
    waiting: BTreeMap<DestinationId, u64>,
    /// Destinations whose demand may have changed since it was last read. `None`: changes are not
    /// recorded, and every destination has to be read.
    pub changed_destinations: Option<BTreeSet<DestinationId>>,
}

impl MessageIndex {
    /// Creates an index of `messages`.
    pub fn build(
        group_per_message: bool,
        messages: impl Iterator<Item = (IndexedMessage, IndexEntry)>,
    ) -> Self {
        let mut index = MessageIndex {
            built: true,
            group_per_message,
            ..MessageIndex::default()
        };
        for (message, entry) in messages {
            index.insert(message, entry);
        }
        index
    }

    /// Returns false for the default index, which has not been built from the pending messages yet.
    pub fn is_built(&self) -> bool {
        self.built
    }

    /// Returns the number of messages that have not ended.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Returns the number of open messages without an attempt in flight, for each destination that
    /// has any.
    pub fn waiting(&self) -> &BTreeMap<DestinationId, u64> {
        &self.waiting
    }

    /// Returns the messages with an attempt in flight.
    pub fn in_flight(&self) -> &BTreeSet<MessageId> {
        &self.in_flight
    }

    /// Returns the earliest deadline of an open message, in microseconds.
    pub fn first_deadline(&self) -> Option<Micros> {
        self.by_deadline.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the open messages that can no longer be delivered: their deadline is at or before
    /// `deadline`, or no attempt can be allowed from `now` on. Both are times in microseconds.
    pub fn undeliverable(&self, deadline: Micros, now: Micros) -> BTreeSet<MessageId> {
        let last = MessageId(u64::MAX);
        let late = self.by_deadline.range(..=(deadline, last));
        let unsendable = self.by_no_send_after.range(..=(now, last));
        late.chain(unsendable).map(|(_, id)| *id).collect()
    }

    /// Returns the messages whose next attempt may be sent at a known time, with this time in
    /// microseconds, the earliest first.
    pub fn upcoming(&self) -> impl Iterator<Item = (Micros, MessageId)> {
        self.by_next_send.iter().copied()
    }

    /// Returns a message whose next attempt may be sent now, but whose entry is still
    /// [`Eligibility::At`] and has to be replaced.
    pub fn next_due(&self, now: Micros) -> Option<MessageId> {
        let first = self.by_next_send.first();
        first.filter(|(at, _)| *at <= now).map(|(_, id)| *id)
    }

    /// Returns both sides of each group that has messages ready to be sent.
    pub fn ready(&self) -> impl Iterator<Item = GroupSide> {
        let sides = |destination, group| {
            [Side::Rising, Side::Falling].map(|side| GroupSide {
                destination,
                group,
                side,
            })
        };
        self.ready.iter().flat_map(move |(&destination, groups)| {
            groups
                .keys()
                .flat_map(move |&group| sides(destination, group))
        })
    }

    /// Replaces the entry of a message; `before` must be the entry that the index holds.
    pub fn replace(&mut self, message: IndexedMessage, before: IndexEntry, after: IndexEntry) {
        if before == after {
            return;
        }
        self.remove(message, before);
        self.insert(message, after);
    }

    /// Returns the most urgent message on one side of a group.
    pub fn first(
        &self,
        group_side: GroupSide,
        order: &GroupOrder<impl Fn(Micros) -> f64>,
    ) -> Option<Candidate> {
        let rank = order.first_of(self.members(group_side)?, group_side.side)?;
        Some(Candidate { rank, group_side })
    }

    /// Returns the candidate that follows `last` on the same side of its group.
    pub fn next(
        &self,
        last: Candidate,
        order: &GroupOrder<impl Fn(Micros) -> f64>,
    ) -> Option<Candidate> {
        let group_side = last.group_side;
        let rank = order.next_of(self.members(group_side)?, group_side.side, last.rank)?;
        Some(Candidate { rank, group_side })
    }

    /// Returns the first candidate on a side of a group that ranks after `rank`, which may be the
    /// rank of a message of another group.
    pub fn after(
        &self,
        group_side: GroupSide,
        order: &GroupOrder<impl Fn(Micros) -> f64>,
        rank: Rank,
    ) -> Option<Candidate> {
        let rank = order.search(self.members(group_side)?, group_side.side, Some(rank))?;
        Some(Candidate { rank, group_side })
    }

    fn members(&self, group_side: GroupSide) -> Option<&Members> {
        self.ready
            .get(&group_side.destination)?
            .get(&group_side.group)
    }

    fn insert(&mut self, message: IndexedMessage, entry: IndexEntry) {
        let id = message.id;
        if entry.open {
            self.open += 1;
            self.by_deadline.insert((message.deadline, id));
        }
        if entry.open && !entry.in_flight {
            *self.waiting.entry(message.destination).or_default() += 1;
        }
        if entry.in_flight {
            self.in_flight.insert(id);
        }
        if entry.no_send_after < Micros::MAX {
            self.by_no_send_after.insert((entry.no_send_after, id));
        }
        match entry.eligibility {
            Eligibility::Blocked => {}
            Eligibility::At(at) => drop(self.by_next_send.insert((at, id))),
            Eligibility::Ready(group) => {
                let groups = self.ready.entry(message.destination).or_default();
                let members = groups.entry(group).or_default();
                members.insert((message.created_at, id));
            }
        }
    }

    fn remove(&mut self, message: IndexedMessage, entry: IndexEntry) {
        let id = message.id;
        if entry.open {
            self.open -= 1;
            self.by_deadline.remove(&(message.deadline, id));
        }
        if entry.open && !entry.in_flight {
            self.remove_waiting(message.destination);
        }
        self.in_flight.remove(&id);
        self.by_no_send_after.remove(&(entry.no_send_after, id));
        match entry.eligibility {
            Eligibility::Blocked => {}
            Eligibility::At(at) => drop(self.by_next_send.remove(&(at, id))),
            Eligibility::Ready(group) => self.remove_ready(message, group),
        }
    }

    fn remove_waiting(&mut self, destination: DestinationId) {
        let Some(waiting) = self.waiting.get_mut(&destination) else {
            return;
        };
        *waiting -= 1;
        if *waiting == 0 {
            self.waiting.remove(&destination);
        }
    }

    fn remove_ready(&mut self, message: IndexedMessage, group: Group) {
        let Some(groups) = self.ready.get_mut(&message.destination) else {
            return;
        };
        let Some(members) = groups.get_mut(&group) else {
            return;
        };
        members.remove(&(message.created_at, message.id));
        if members.is_empty() {
            groups.remove(&group);
        }
        if groups.is_empty() {
            self.ready.remove(&message.destination);
        }
    }
}
