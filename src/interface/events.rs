//! Events: what the driver reports to the sender.

use super::{
    AgreedRules, DestinationId, EndpointEntry, EndpointId, FleetView, ListScope, MessageId, Micros,
    NewMessage, Outcome, PastAttempt, Quotas, Settings,
};

/// Something that has happened, reported by the driver to the sender.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The rules on which all senders agree have changed. `None`: there are none, and only this
    /// sender's settings apply.
    AgreedRules(Option<Box<AgreedRules>>),
    /// This sender's quotas, its allocations of the limits that hold for the whole fleet, have
    /// changed. `None`: there are no such limits.
    Quotas(Option<Box<Quotas>>),
    /// A quorum of senders reports that a destination is unavailable, or available again.
    FleetHealth {
        /// Destination that the reports are about.
        destination: DestinationId,
        /// True if the destination is unavailable, false once it is available again.
        unavailable: bool,
    },
    /// The membership counts of the fleet have changed. `None`: nothing is known of the other
    /// senders.
    FleetView(Option<FleetView>),
    /// The complete endpoint list, or changes of it, have come in.
    EndpointList {
        /// Whether the entries are the complete list, the complete list as it was stored before a
        /// restart, or only the entries that have changed.
        scope: ListScope,
        /// Entries of the list, one for each endpoint.
        entries: Vec<EndpointEntry>,
    },
    /// A poll of the endpoint list failed, or the subscription broke. The sender subscribes again
    /// after a backoff.
    EndpointListFailed,
    /// `true`: the endpoint list may lack a change that every sender is required to know by now, so
    /// nothing is sent. `false`: the list is known to be up to date again.
    EndpointListStale(bool),
    /// `true`: the local host cannot record attempts in the journal, so nothing is sent. `false`:
    /// the local host can record attempts again. The event says nothing about the health of any
    /// endpoint.
    HostFailing(bool),
    /// The driver has accepted this new message from a client.
    Accepted(NewMessage),
    /// A message accepted before a restart has been read back from the journal, with all its
    /// attempts. Its deadline may have passed.
    MessageRestored {
        /// The message. A negative [`NewMessage::time_left`] is the time since its deadline, in
        /// microseconds.
        message: NewMessage,
        /// Attempts before the restart, in the order of sending. The position of an attempt is its
        /// number; new attempts continue the numbering.
        attempts: Vec<PastAttempt>,
    },
    /// The predecessor of this process has ended, perhaps only just now. Destinations may
    /// still be processing calls that it abandoned.
    Restarted,
    /// This message ended before a restart, but its outcome notification has not been delivered
    /// yet.
    NotificationPending(NewMessage),
    /// The outcome notification of this message, which the sender ended with
    /// [`Action::Reject`](super::Action::Reject) or [`Action::Fail`](super::Action::Fail), has been
    /// delivered: the message is complete.
    NotificationDelivered(MessageId),
    /// The settings have changed. Classes, kinds, zones and tenants keep their positions. A class
    /// with changed terms gets a new position, because pending messages keep the terms under which
    /// they were accepted.
    SettingsChanged(Box<Settings>),
    /// Operators have disabled this endpoint: no new call goes to it until it is enabled again,
    /// whatever its status in the endpoint list.
    Disabled(EndpointId),
    /// Operators have enabled this endpoint again; they may have restarted it in the meantime.
    Enabled(EndpointId),
    /// The process has been asked to stop. Calls that are still in flight when it ends are cut
    /// off.
    ShuttingDown {
        /// Time in microseconds at which the process ends.
        at: Micros,
    },
    /// A destination sent a Retry-After in an answer that rejected no message.
    RetryAfter {
        /// The endpoint that answered.
        endpoint: EndpointId,
        /// Retry-After delay in microseconds, during which no further call goes to the endpoint's
        /// route.
        delay: Micros,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Message that the attempt belongs to.
        message: MessageId,
        /// Number of the attempt, counted from 0 for each message.
        attempt: usize,
        /// Endpoint that the attempt was sent to.
        endpoint: EndpointId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time in microseconds from the start of the attempt to its outcome.
        latency: Micros,
        /// True if this outcome completes the message: it needs no further attempt and no outcome
        /// notification.
        complete: bool,
        /// Values of the load report in the answer; empty if there was none.
        report: Vec<f64>,
    },
    /// The answer to an attempt has started to arrive and is passed on to the client. From now on
    /// the client decides whether the attempt goes on; the sender takes no action.
    ResponseStarted {
        /// Message that is answered.
        message: MessageId,
        /// Number of the answered attempt, counted from 0 for each message.
        attempt: usize,
    },
    /// The client no longer waits for this message: no further attempt is needed.
    MessageAbandoned(MessageId),
    /// A health check has ended.
    HealthCheckEnded {
        /// Endpoint that was checked.
        endpoint: EndpointId,
        /// How the health check ended.
        outcome: Outcome,
        /// Values of the load report in the answer; empty if there was none.
        report: Vec<f64>,
    },
    /// Another sender has sent a note.
    PeerNote {
        /// Number of the sender that wrote the note.
        from: u32,
        /// Content of the note.
        bytes: Vec<u8>,
    },
    /// The timer set by [`Action::SetTimer`](super::Action::SetTimer) has expired.
    TimerExpired,
}
