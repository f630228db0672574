//! The journal as the driver uses it: failures are logged, and the decision module learns whether records are taken.

use crate::net::RateLimitedLog;
use crate::net::end_proof::EndProof;
use crate::net::journal::{
    AcceptedMessage, ClassTerms, Journal, JournalError, MessageOrigin, UndeliveredOutcome,
    UnfinishedMessage,
};
use crate::net::startup::retry_while;
use message_sender::{MessageId, Micros};
use std::collections::BTreeMap;

/// The journal and what the decision module knows of it.
pub(super) struct JournalState {
    journal: Journal,
    log: RateLimitedLog,
    /// The decision module knows that the journal can't be written.
    reported_failing: bool,
}

impl JournalState {
    pub fn new(journal: Journal) -> Self {
        JournalState {
            journal,
            log: RateLimitedLog::default(),
            reported_failing: false,
        }
    }

    /// Reads the journal anew, as soon as the disk lets it be read: another process had it meanwhile.
    pub async fn reopen(&mut self) -> Result<(), JournalError> {
        let JournalState { journal, log, .. } = self;
        retry_while(
            || journal.reopen(),
            |error| matches!(error, JournalError::Io(_)),
            |error| log.log(format_args!("journal: {error}")),
        )
        .await
    }

    fn log_error<T>(&self, written: Result<T, JournalError>) -> Option<T> {
        written
            .inspect_err(|error| self.log.log(format_args!("journal: {error}")))
            .ok()
    }

    /// Whether the decision module is to learn of a change: true if the journal fails now, false if it no longer does.
    pub fn take_change(&mut self) -> Option<bool> {
        let failing = self.journal.is_failing();
        if failing == self.reported_failing {
            return None;
        }
        self.reported_failing = failing;
        Some(failing)
    }

    /// The decision module knows that the journal can't be written.
    pub fn is_reported_failing(&self) -> bool {
        self.reported_failing
    }

    /// Tries again what failed; true if the journal takes records again and the decision module is to learn of it.
    pub fn retry(&mut self) -> bool {
        let written = self.journal.retry_pending();
        self.log_error(written);
        self.reported_failing && !self.journal.is_failing()
    }

    /// Writes a new message down; false if it is not written.
    pub fn accept(
        &mut self,
        message: MessageId,
        accepted: AcceptedMessage,
        origin: MessageOrigin,
        terms: ClassTerms,
    ) -> bool {
        let written = self.journal.accept(message.0, accepted, origin, terms);
        self.log_error(written).is_some()
    }

    /// Writes an attempt down; its position in the journal, or none if it is not written.
    pub fn start_attempt(&mut self, message: MessageId, uid: &str, now: Micros) -> Option<usize> {
        let written = self.journal.start_attempt(message.0, uid, now);
        self.log_error(written)
    }

    /// The attempt at this position has proved that it never ran.
    pub fn attempt_never_ran(&mut self, message: MessageId, position: usize) {
        let written = self.journal.attempt_never_ran(message.0, position);
        self.log_error(written);
    }

    /// The message ended undelivered, and a notification is pending.
    pub fn end_undelivered(&mut self, message: MessageId, outcome: UndeliveredOutcome) {
        let written = self.journal.end_undelivered(message.0, outcome);
        self.log_error(written);
    }

    /// Nothing more is owed for the message, as the proof shows.
    pub fn complete(&mut self, message: MessageId, proof: EndProof) {
        let written = self.journal.complete(message.0, proof);
        self.log_error(written);
    }

    /// Writes down that an endpoint is disabled or enabled; false if it is not written.
    pub fn set_disabled(&mut self, uid: &str, disabled: bool) -> bool {
        let written = self.journal.set_disabled(uid, disabled);
        self.log_error(written).is_some()
    }

    pub fn disabled_endpoints(&self) -> impl Iterator<Item = &str> {
        self.journal.disabled_endpoints()
    }

    pub fn is_disabled(&self, uid: &str) -> bool {
        self.journal.is_disabled(uid)
    }

    pub fn unfinished(&self) -> &BTreeMap<u64, UnfinishedMessage> {
        self.journal.unfinished()
    }

    pub fn has_records(&self) -> bool {
        self.journal.has_records()
    }

    pub fn has_pending(&self) -> bool {
        self.journal.has_pending()
    }
}
