//! Pending messages and their attempts.

use crate::interface::{DestinationId, EndpointId, MessageId, Micros, PastAttempt};
use crate::message_index::{IndexEntry, IndexedMessage};
use serde::{Deserialize, Serialize};

/// Call number of attempts made by an earlier process; no call in flight has this number.
const NO_CALL: u64 = u64::MAX;

/// One attempt to deliver a message, kept until the message is complete.
#[derive(Debug, Serialize, Deserialize)]
pub struct Attempt {
    pub endpoint: EndpointId,
    /// Time at which the attempt was sent.
    pub sent: Micros,
    /// Number of the call that carries the attempt.
    pub call: u64,
    /// True while the outcome of the attempt is not known.
    pub in_flight: bool,
    /// True once the attempt has an outcome that does not prove that the destination never
    /// processed the message.
    pub may_have_run: bool,
    /// True if a later attempt of the message started while this one was in flight, or may have.
    pub overlapped: bool,
    /// True once the driver was asked to cancel the attempt because it seemed lost.
    pub cancelled: bool,
}

impl Attempt {
    /// Creates an attempt that starts at `sent`.
    pub fn new(endpoint: EndpointId, sent: Micros, call: u64) -> Self {
        Attempt {
            endpoint,
            sent,
            call,
            in_flight: true,
            may_have_run: false,
            overlapped: false,
            cancelled: false,
        }
    }

    /// Restores an attempt of an earlier process, whose call has ended. It counts as overlapped,
    /// because it is not known which other attempts were in flight at the same time.
    pub fn restored(past: &PastAttempt) -> Self {
        Attempt {
            in_flight: false,
            may_have_run: past.may_have_run,
            overlapped: true,
            ..Attempt::new(past.endpoint, past.sent, NO_CALL)
        }
    }
}

/// A message that is not complete, or that still has attempts in flight.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct PendingMessage {
    /// Position of the message's class in the settings.
    pub class: usize,
    pub destination: DestinationId,
    /// Key of the message, if its class is sent in order.
    pub key: Option<u64>,
    /// Time at which the client first submitted the message.
    pub created_at: Micros,
    pub deadline: Micros,
    pub priority_weight: f64,
    pub max_attempts: usize,
    /// True while the message has no outcome.
    pub open: bool,
    /// True while the client must still be notified of the outcome of the message; never set for
    /// outcomes that need no notification. While it is true, the message keeps its place in the
    /// queue of its key.
    pub notification_pending: bool,
    pub attempts: Vec<Attempt>,
    /// Earliest time of the next attempt while none is in flight.
    pub retry_at: Micros,
    /// Backoff in microseconds after the next attempt that fails.
    pub retry_backoff: Micros,
    /// Time at which the next hedge is due.
    pub hedge_at: Micros,
    /// Interval in microseconds from the next hedge to the one after it.
    pub hedge_interval: Micros,
    /// Entry of the message in the index of pending messages.
    #[serde(skip)]
    pub index_entry: IndexEntry,
}

impl PendingMessage {
    /// Returns the properties of the message that the index needs and that do not change.
    pub fn indexed(&self, id: MessageId) -> IndexedMessage {
        IndexedMessage {
            id,
            destination: self.destination,
            created_at: self.created_at,
            deadline: self.deadline,
        }
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Returns how many attempts of the message were sent to `endpoint`.
    pub fn attempts_at(&self, endpoint: EndpointId) -> usize {
        let at_endpoint = self
            .attempts
            .iter()
            .filter(|past| past.endpoint == endpoint);
        at_endpoint.count()
    }

    /// Returns the attempts that the destination may be processing or may have processed. If there
    /// are any, also returns the attempts that were in flight when a later one started: the window
    /// of an idempotency key counts from the first of all these attempts, even if the destination
    /// turns out never to have processed that one.
    pub fn attempts_at_risk(&self) -> impl Iterator<Item = &Attempt> {
        let may_run = |attempt: &Attempt| attempt.in_flight || attempt.may_have_run;
        let any = self.attempts.iter().any(may_run);
        self.attempts
            .iter()
            .filter(move |attempt| any && (may_run(attempt) || attempt.overlapped))
    }

    /// Returns true if the destination may be processing or may have processed the message.
    pub fn is_at_risk(&self) -> bool {
        self.attempts_at_risk().next().is_some()
    }

    /// Returns the time at which the window of an idempotency key ends, counted from the first
    /// attempt at risk; `None` if the destination can't have processed any attempt.
    pub fn window_end(&self, window: Micros) -> Option<Micros> {
        self.attempts_at_risk()
            .map(|attempt| attempt.sent.saturating_add(window))
            .min()
    }
}
