//! Keeps the index of the pending messages in step with them. No decision is here.

use super::Sender;
use super::state::{Endpoint, PendingMessage};
use crate::backlog::{Index, Standing};
use crate::interface::{DestinationId, Effect, EndpointId, MessageId};

impl Sender {
    /// For how many messages the last turn looked for an endpoint: what its CPU time grows with.
    pub fn candidates_examined(&self) -> usize {
        self.candidates_examined
    }

    /// Has every turn look at each message that is due, as if none were held back for the reasons
    /// of another: slow, and what tests compare with.
    #[doc(hidden)]
    pub fn examine_each_message(&mut self) {
        self.index.apart = true;
        self.rebuild_index();
    }

    /// True if an endpoint takes calls.
    pub(super) fn is_available(&self, id: EndpointId) -> bool {
        let endpoint = self.endpoints.get(&id);
        endpoint.is_some_and(Endpoint::is_available)
    }

    /// True if an endpoint of the destination takes calls.
    pub(super) fn is_served(&self, destination: DestinationId) -> bool {
        let endpoints = self.endpoints_by_destination.get(&destination);
        endpoints.is_some_and(|ids| ids.iter().any(|id| self.is_available(*id)))
    }

    /// Forgets a message of which nothing more can come; the next of its key may go.
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

    /// Tells the index of a message that has changed.
    pub(super) fn reindex(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        let entry = self.index_entry(id, message);
        match &mut self.index.used {
            Some(used) if self.quotas.is_some() => drop(used.insert(message.destination)),
            used => *used = None,
        }
        if let Some(message) = self.messages.get_mut(&id) {
            self.index.set(id, message, entry);
        }
    }

    fn index_entry(&self, id: MessageId, message: &PendingMessage) -> Standing {
        let is_first = self.is_first_of_key(id, message.key);
        let is_idempotent = self.configured_effect(message.class) == Effect::Idempotent;
        let no_send_after = self.no_send_after(message);
        Standing::of(
            id,
            message,
            self.now,
            is_first,
            is_idempotent,
            no_send_after,
        )
        .apart(id, self.index.apart)
    }

    /// Builds the index if the messages were read back without it.
    pub(super) fn build_index_once(&mut self) {
        if !self.index.is_built() {
            self.rebuild_index();
        }
    }

    pub(super) fn rebuild_index(&mut self) {
        let messages = self.messages.iter();
        let entries: Vec<Standing> = messages
            .map(|(&id, message)| self.index_entry(id, message))
            .collect();
        let used = self.index.used.take();
        let messages = self.messages.iter_mut().zip(entries);
        let indexed = messages.map(|((&id, message), entry)| (id, message, entry));
        self.index = Index::of(self.index.apart, indexed);
        self.index.used = used;
    }

    /// Checks that the index holds each message as it is.
    #[cfg(debug_assertions)]
    pub(super) fn check_index(&mut self) {
        let index = std::mem::take(&mut self.index);
        self.index.apart = index.apart;
        self.index.used.clone_from(&index.used);
        self.rebuild_index();
        assert_eq!(
            index, self.index,
            "a change of a message was not told to the index"
        );
    }
}
