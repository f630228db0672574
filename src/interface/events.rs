//! What the host tells the sender.

use super::{
    AgreedRules, DestinationId, EndpointEntry, EndpointId, FleetView, ListScope, MessageId, Micros,
    NewMessage, Outcome, PastAttempt, Quotas, Settings,
};

/// What the host tells the sender.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Rules on which the senders agree; none: own settings alone hold.
    AgreedRules(Option<Box<AgreedRules>>),
    /// What this sender may use of limits that hold for all; none: no such limits.
    Quotas(Option<Box<Quotas>>),
    /// A quorum of senders reports that a destination is unavailable, or available again.
    FleetHealth {
        /// Which destination.
        destination: DestinationId,
        /// It is unavailable.
        unavailable: bool,
    },
    /// What is known of the other senders; none where nothing is.
    FleetView(Option<FleetView>),
    /// The endpoint list, or changes of it.
    EndpointList {
        /// How much of the list the entries are.
        scope: ListScope,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// Polling the list failed, or the subscription broke.
    EndpointListFailed,
    /// The list may be older than what counts as notified: nothing is sent by it, until it is known to be good again.
    EndpointListStale(bool),
    /// This machine can't write down what is sent, or can resubmitted: nothing is sent meanwhile. It says nothing of any
    /// endpoint.
    HostFailing(bool),
    /// A message came in.
    Accepted(NewMessage),
    /// A message accepted before a restart is back, with all attempts that it had. Its time may be up.
    MessageRestored {
        /// The message; a time left below zero says how long its time has been up.
        message: NewMessage,
        /// Its attempts, in the order of their sending; later ones are numbered on from them.
        attempts: Vec<PastAttempt>,
    },
    /// The process before this one has ended, maybe just now: calls that it had given up may still run.
    Restarted,
    /// A message that ended before a restart and whose outcome notification has not been delivered.
    NotificationPending(NewMessage),
    /// The notification of an end that the sender decided has been delivered: the message is complete.
    NotificationDelivered(MessageId),
    /// New settings. Classes, kinds, zones and tenants keep their positions, and a class that open messages may
    /// have keeps its terms: changed ones have a new position.
    SettingsChanged(Box<Settings>),
    /// Operators disable an endpoint: nothing new goes there, whatever lists say, until it is enabled.
    Disabled(EndpointId),
    /// Operators enable an endpoint, which they may have restarted meanwhile.
    Enabled(EndpointId),
    /// The process has been asked to stop: calls in flight at its end are cut off.
    ShuttingDown {
        /// When it ends.
        at: Micros,
    },
    /// A destination asked for a wait in an answer that rejected no message.
    RetryAfter {
        /// The endpoint that answered.
        endpoint: EndpointId,
        /// How long to keep away.
        wait: Micros,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Which message.
        message: MessageId,
        /// Which attempt, from 0.
        attempt: usize,
        /// Where it went.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the send.
        latency: Micros,
        /// The message is complete: nothing more is owed for it.
        complete: bool,
        /// Load report, if any.
        report: Vec<f64>,
    },
    /// The answer has started; the client owns this attempt now.
    ResponseStarted {
        /// Which message.
        message: MessageId,
        /// Which attempt.
        attempt: usize,
    },
    /// Nobody wants this message any more.
    MessageAbandoned(MessageId),
    /// A health check was answered or failed.
    HealthCheckEnded {
        /// Which endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Load report, if any.
        report: Vec<f64>,
    },
    /// Another sender wrote.
    PeerNote {
        /// Its number.
        from: u32,
        /// What it wrote.
        bytes: Vec<u8>,
    },
    /// The timer expired.
    TimerExpired,
}
