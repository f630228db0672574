//! Pending messages and their attempts.

use crate::interface::{DestinationId, EndpointId, MessageId, Micros, PastAttempt};
use crate::message_index::{IndexEntry, IndexedMessage};
use serde::{Deserialize, Serialize};

/// The number of a call that ended with an earlier process.
const NO_CALL: u64 = u64::MAX;

/// One send of a message.
#[derive(Debug, Serialize, Deserialize)]
pub struct Attempt {
    pub endpoint: EndpointId,
    pub sent: Micros,
    /// The call that carries it.
    pub call: u64,
    /// Its outcome is not known yet.
    pub in_flight: bool,
    /// Its outcome does not prove that it never ran.
    pub may_have_run: bool,
    /// A later attempt started while this one was in flight.
    pub overlapped: bool,
    pub cancelled: bool,
}

impl Attempt {
    /// One that starts now.
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

    /// One of an earlier process, whose call has ended; nobody knows what it overlapped with.
    pub fn restored(past: &PastAttempt) -> Self {
        Attempt {
            in_flight: false,
            may_have_run: past.may_have_run,
            overlapped: true,
            ..Attempt::new(past.endpoint, past.sent, NO_CALL)
        }
    }
}

/// A message until its end and the end of its attempts.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct PendingMessage {
    /// Position of its class in the settings.
    pub class: usize,
    pub destination: DestinationId,
    /// Its key, if its class keeps order.
    pub key: Option<u64>,
    /// When the client first handed it in.
    pub created_at: Micros,
    pub deadline: Micros,
    pub priority_weight: f64,
    pub max_attempts: usize,
    /// It has no outcome yet.
    pub open: bool,
    /// It has ended, but the client has not been notified: its place in the queue of its key is not
    /// free.
    pub notification_pending: bool,
    pub attempts: Vec<Attempt>,
    /// Earliest next attempt while none is in flight, and the backoff after the one that fails
    /// then.
    pub retry_at: Micros,
    pub retry_backoff: Micros,
    /// When the next hedge is due, and the interval to the one after it.
    pub hedge_at: Micros,
    pub hedge_interval: Micros,
    /// What the index holds of it.
    #[serde(skip)]
    pub index_entry: IndexEntry,
}

impl PendingMessage {
    /// What the index is told of it once.
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

    /// How often an endpoint was tried.
    pub fn attempts_at(&self, endpoint: EndpointId) -> usize {
        let here = self
            .attempts
            .iter()
            .filter(|past| past.endpoint == endpoint);
        here.count()
    }

    /// Attempts that may run or have run. While there are any, also those that a later one
    /// overlapped: the window of an idempotency key counts from the first, even if that one turns
    /// out never to have run.
    pub fn attempts_at_risk(&self) -> impl Iterator<Item = &Attempt> {
        let may_run = |attempt: &Attempt| attempt.in_flight || attempt.may_have_run;
        let any = self.attempts.iter().any(may_run);
        self.attempts
            .iter()
            .filter(move |attempt| any && (may_run(attempt) || attempt.overlapped))
    }

    pub fn is_at_risk(&self) -> bool {
        self.attempts_at_risk().next().is_some()
    }

    /// When the first attempt that may have run leaves the window of an idempotency key; none where
    /// there is no such attempt.
    pub fn window_end(&self, window: Micros) -> Option<Micros> {
        self.attempts_at_risk()
            .map(|attempt| attempt.sent.saturating_add(window))
            .min()
    }
}
