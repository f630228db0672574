//! Keeps the index of pending messages consistent with the messages. Nothing is decided here.

use super::Sender;
use super::state::{Endpoint, PendingMessage};
use crate::interface::{DestinationId, Effect, EndpointId, MessageId, Micros};
use crate::message_index::{Eligibility, Group, IndexEntry, MessageIndex};

impl Sender {
    /// Returns the number of messages for which the last turn looked for an endpoint. The CPU time
    /// of a turn grows with this number.
    pub fn candidates_examined(&self) -> usize {
        self.candidates_examined
    }

    /// Makes every turn look at each due message separately, instead of holding back a whole group
    /// for the reason that holds back one of its messages. This is slow; tests compare its
    /// decisions with those of the grouped index.
    #[doc(hidden)]
    pub fn examine_each_message(&mut self) {
        self.index.group_per_message = true;
        self.rebuild_index();
    }

    /// Returns true if the endpoint may receive calls.
    pub(super) fn is_available(&self, id: EndpointId) -> bool {
        let endpoint = self.endpoints.get(&id);
        endpoint.is_some_and(Endpoint::is_available)
    }

    /// Returns true if at least one endpoint of the destination may receive calls.
    pub(super) fn has_available_endpoint(&self, destination: DestinationId) -> bool {
        let endpoints = self.endpoints_by_destination.get(&destination);
        endpoints.is_some_and(|ids| ids.iter().any(|id| self.is_available(*id)))
    }

    /// Removes a message that is complete and has no attempt in flight; the next message of its key
    /// may then be sent.
    pub(super) fn forget_if_done(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        if message.open || message.notification_pending || message.has_attempt_in_flight() {
            return;
        }
        let key = message.key;
        let next = key.and_then(|key| self.leave_key_queue(key, id));
        self.messages.remove(&id);
        if let Some(next) = next {
            self.reindex(next);
        }
    }

    /// Updates the index entry of a message that has changed.
    pub(super) fn reindex(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        let entry = self.index_entry(id, message);
        match &mut self.index.changed_destinations {
            Some(changed) if self.quotas.is_some() => drop(changed.insert(message.destination)),
            changed => *changed = None,
        }
        if let Some(message) = self.messages.get_mut(&id) {
            let before = std::mem::replace(&mut message.index_entry, entry);
            self.index.replace(message.indexed(id), before, entry);
        }
    }

    fn index_entry(&self, id: MessageId, message: &PendingMessage) -> IndexEntry {
        let in_flight = message.has_attempt_in_flight();
        if !message.open {
            return IndexEntry {
                in_flight,
                ..IndexEntry::default()
            };
        }
        // a message with an attempt in flight does not end for lack of further attempts: the
        // outcome of that attempt may allow another one
        let no_send_after = if in_flight {
            Micros::MAX
        } else {
            self.no_send_after(message)
        };
        IndexEntry {
            open: true,
            in_flight,
            no_send_after,
            eligibility: self.eligibility(id, message, in_flight),
        }
    }

    fn eligibility(&self, id: MessageId, message: &PendingMessage, in_flight: bool) -> Eligibility {
        if !self.is_first_of_key(id, message.key) {
            return Eligibility::Blocked;
        }
        let next_send_at = if in_flight {
            message.hedge_at
        } else {
            message.retry_at
        };
        if next_send_at > self.now {
            return Eligibility::At(next_send_at);
        }
        Eligibility::Ready(self.group(id, message, in_flight))
    }

    fn group(&self, id: MessageId, message: &PendingMessage, in_flight: bool) -> Group {
        let at_risk = message.is_at_risk();
        let is_idempotent = self.configured_effect(message.class) == Effect::Idempotent;
        // a hedge, the backoff of a key and the window of an idempotency key concern only one
        // message, which then forms a group of its own
        let is_sole_member = self.index.group_per_message
            || in_flight
            || message.key.is_some()
            || at_risk && !is_idempotent;
        Group {
            class: message.class,
            priority_weight: message.priority_weight.to_bits(),
            attempts: message.attempts.len(),
            at_risk,
            sole_member: is_sole_member.then_some(id),
        }
    }

    /// Builds the index if the sender was deserialized: the index is not part of the serialized
    /// state.
    pub(super) fn build_index_once(&mut self) {
        if !self.index.is_built() {
            self.rebuild_index();
        }
    }

    pub(super) fn rebuild_index(&mut self) {
        let messages = self.messages.iter();
        let entries: Vec<IndexEntry> = messages
            .map(|(&id, message)| self.index_entry(id, message))
            .collect();
        let changed = self.index.changed_destinations.take();
        let messages = self.messages.iter_mut().zip(entries);
        let indexed = messages.map(|((&id, message), entry)| {
            message.index_entry = entry;
            (message.indexed(id), entry)
        });
        self.index = MessageIndex::build(self.index.group_per_message, indexed);
        self.index.changed_destinations = changed;
    }

    /// Panics if the index differs from one that is built anew from the pending messages.
    #[cfg(debug_assertions)]
    pub(super) fn check_index(&mut self) {
        let index = std::mem::take(&mut self.index);
        self.index.group_per_message = index.group_per_message;
        self.index
            .changed_destinations
            .clone_from(&index.changed_destinations);
        self.rebuild_index();
        assert_eq!(
            index, self.index,
            "the index was not updated after a change of a message"
        );
    }
}
