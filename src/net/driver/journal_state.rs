//! Journal access for the driver: failed writes are logged, and the decision module is notified
//! when writes begin to fail or succeed again.

use crate::net::RateLimitedLog;
use crate::net::end_proof::EndProof;
use crate::net::journal::{
    AcceptedMessage, ClassTerms, Journal, JournalError, MessageOrigin, UndeliveredOutcome,
    UnfinishedMessage,
};
use crate::net::startup::retry_while;
use message_sender::{MessageId, Micros};
use std::collections::BTreeMap;

/// Journal, and the state of it that was last reported to the decision module.
pub(super) struct JournalState {
    journal: Journal,
    log: RateLimitedLog,
    /// True if the decision module was last notified that the journal can't be written.
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

    /// Reads the journal again, because another process may have written to it meanwhile. Read
    /// errors are retried until the disk allows the read.
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

    /// Returns a change that the decision module must be notified of: `Some(true)` if the journal
    /// now fails, `Some(false)` if it no longer does. `None` if nothing changed since the last
    /// report.
    pub fn take_failing_change(&mut self) -> Option<bool> {
        let failing = self.journal.is_failing();
        if failing == self.reported_failing {
            return None;
        }
        self.reported_failing = failing;
        Some(failing)
    }

    /// Returns true if the decision module was last notified that the journal can't be written.
    pub fn is_reported_failing(&self) -> bool {
        self.reported_failing
    }

    /// Retries the writes that failed. Returns true if the journal can be written again and the
    /// decision module was not notified of that yet.
    pub fn retry(&mut self) -> bool {
        let written = self.journal.retry_pending();
        self.log_error(written);
        self.reported_failing && !self.journal.is_failing()
    }

    /// Records a newly accepted message; returns false if the write failed.
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

    /// Records the start of an attempt. Returns its position among the message's records, or `None`
    /// if the write failed.
    pub fn start_attempt(&mut self, message: MessageId, uid: &str, now: Micros) -> Option<usize> {
        let written = self.journal.start_attempt(message.0, uid, now);
        self.log_error(written)
    }

    /// Records that the outcome of the attempt at this position shows that it never ran at the
    /// endpoint.
    pub fn attempt_never_ran(&mut self, message: MessageId, position: usize) {
        let written = self.journal.attempt_never_ran(message.0, position);
        self.log_error(written);
    }

    /// Records that the message ended undelivered and that its notification is pending.
    pub fn end_undelivered(&mut self, message: MessageId, outcome: UndeliveredOutcome) {
        let written = self.journal.end_undelivered(message.0, outcome);
        self.log_error(written);
    }

    /// Records that a message is complete, on the evidence of `proof`.
    pub fn complete(&mut self, message: MessageId, proof: EndProof) {
        let written = self.journal.complete(message.0, proof);
        self.log_error(written);
    }

    /// Records that an operator disabled or enabled an endpoint; returns false if the write failed.
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

    pub fn compacted_bytes(&self) -> u64 {
        self.journal.compacted_bytes()
    }

    pub fn has_records(&self) -> bool {
        self.journal.has_records()
    }

    pub fn has_pending(&self) -> bool {
        self.journal.has_pending()
    }
}
