//! Data types of the messages to the driver, from other tasks and from operators, and of the
//! messages between the two processes of a handover.

use super::connection::ClientPresence;
use super::end_proof::{DepartedClient, EndProof, in_frame};
use super::freeze::settings::FreezeSettings;
use super::request_memory::SubmissionMemory;
use bytes::Bytes;
use hyper::header::HeaderValue;
use message_sender::pool::PoolSettings;
use message_sender::wire::Names;
use message_sender::{
    AgreedRules, Demand, EndpointId, EndpointStatus, FleetView, Micros, Outcome, Quotas, Settings,
};
use quota_ledger::freeze::FreezeUpdate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::oneshot;
use tokio::time::Instant;

pub use message_sender::memory::MAX_BODY_BYTES;

/// Input that the other tasks of the process send to the driver.
#[derive(Debug)]
pub enum DriverInput {
    /// A client submitted a message.
    Submitted(Submission),
    /// A client disconnected before the response to its request.
    ClientDisconnected(DepartedClient),
    /// The process has begun a graceful shutdown and will end at this instant.
    ShuttingDown(Instant),
    /// The attempt to deliver one message of a call ended.
    AttemptEnded(AttemptEnd),
    /// An answer with a Retry-After arrived after its call had been abandoned, because the call
    /// reached its time limit or the last of its unfinished messages was cancelled.
    RetryAfter {
        /// Endpoint that sent the answer.
        endpoint: EndpointId,
        /// Delay in microseconds that the Retry-After states, counted from the time at which the
        /// answer was read.
        delay: Micros,
    },
    /// Discovery sent the endpoint list, or changes to it.
    EndpointList(ListUpdate),
    /// The endpoint list became stale (true) or is current again (false).
    ListStale(bool),
    /// The platform accepted outcome notifications.
    NotificationsAccepted(AcceptedNotifications),
    /// The rules on which all senders agree changed.
    AgreedRules {
        /// Rules that are now in force; `None` while agreement is off.
        rules: Option<Box<AgreedRules>>,
        /// Notified once the decision module has handled the change.
        applied: oneshot::Sender<()>,
    },
    /// This sender's quotas of the limits for the whole fleet changed.
    Quotas {
        /// Quotas that are now in force; `None` while the ledger is off.
        quotas: Option<Box<Quotas>>,
        /// Notified once the decision module has handled the change.
        applied: oneshot::Sender<()>,
    },
    /// The freeze calendar or its settings changed.
    Freeze(FreezeChange),
    /// A quorum of the other senders reports a destination as unavailable, or as available again.
    FleetHealth {
        /// Destination that the report is about.
        destination: u64,
        /// True if it is reported as unavailable, false if it is available again.
        unavailable: bool,
    },
    /// Requests this sender's demand for the fleet's limits.
    Demand {
        /// Maximum number of listed destinations at which the report covers all of them. If more
        /// are listed, it covers only those with current demand, such as waiting messages or calls
        /// in flight, and those whose demand has changed since the last report.
        max_fully_reported: usize,
        /// Channel on which the report is sent.
        reply: oneshot::Sender<DemandReport>,
    },
    /// Membership's view of the other senders changed; `None` if membership knows nothing of them.
    FleetView(Option<FleetView>),
    /// The settings changed; the new ones are already validated.
    SettingsChanged(Box<SettingsUpdate>),
    /// The other process of a handover, successor or predecessor, sent a message.
    Handover(HandoverMessage),
    /// The link to the other process of a handover is lost.
    HandoverLinkLost,
}

/// Outcome notifications that the platform has accepted.
#[derive(Debug)]
pub struct AcceptedNotifications {
    /// Numbers of the messages whose outcomes were reported.
    pub numbers: Vec<u64>,
    /// End proof from the platform's response.
    pub proof: EndProof,
}

/// Demand of this sender for the fleet's limits.
#[derive(Debug, Default)]
pub struct DemandReport {
    /// Number of destinations in the endpoint list.
    pub listed: usize,
    /// Demand at each reported destination, by destination number.
    pub by_destination: BTreeMap<u64, Demand>,
}

/// Settings of one configuration file, which must be applied together.
#[derive(Debug, Clone)]
pub struct SettingsUpdate {
    /// Settings for the decision module.
    pub settings: Settings,
    /// Names of the classes, kinds, tenants and zones, which `settings` refers to by position.
    pub names: Names,
    /// Settings for the connection pool.
    pub pool: PoolSettings,
}

/// Change of the freeze calendar or of its settings.
#[derive(Debug)]
pub enum FreezeChange {
    /// The freeze was switched off, and all entries held back are admitted.
    Off,
    /// The freeze was switched on, or its settings changed.
    On(FreezeSettings),
    /// The registry answered a poll of the freeze calendar.
    Calendar {
        /// Time in microseconds at which the poll was sent.
        polled_at: u64,
        /// Maximum time in microseconds, from `polled_at`, for which a break-glass override in this
        /// answer is valid unless a later answer extends it.
        override_valid_for: u64,
        /// Content of the answer, which the freeze check applies.
        update: FreezeUpdate,
    },
}

/// Channel on which a task sends a requested report as JSON.
pub type ReportRequest = oneshot::Sender<String>;

/// Command of an operator. The driver handles waiting commands before input that waits in its
/// queue.
#[derive(Debug)]
pub enum AdminCommand {
    /// Disables an endpoint, or enables it again.
    SetDisabled {
        /// Name of the endpoint in the endpoint list.
        uid: String,
        /// True to disable the endpoint, false to enable it.
        disabled: bool,
        /// Channel on which the result is sent.
        reply: oneshot::Sender<AdminResult>,
    },
    /// Requests a report on the connections to endpoints.
    PoolReport {
        /// Channel on which the report is sent.
        reply: ReportRequest,
    },
    /// Requests a report on the freeze.
    FreezeReport {
        /// Channel on which the report is sent; dropped without a report while the freeze is off.
        reply: ReportRequest,
    },
}

/// Result of [`AdminCommand::SetDisabled`].
///
/// Sent between the processes of a handover. The encoding depends on the order of the variants, so
/// it must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminResult {
    /// The endpoint is in the requested state. It stays so after a restart, because the journal
    /// records which endpoints are disabled.
    Done,
    /// The endpoint is neither listed nor disabled, so nothing was changed.
    UnknownEndpoint,
    /// The journal could not be written, so nothing was changed.
    NotWritten,
}

/// Message that a client submits.
#[derive(Debug)]
pub struct Submission {
    /// Id that the client gave the message.
    pub id: HeaderValue,
    /// Idempotency key of the message, if the client sent one.
    pub key: Option<HeaderValue>,
    /// Subject of the message; messages of one subject in an ordered class are delivered one at a
    /// time.
    pub subject: Option<String>,
    /// Name of the tenant against whose limits the message counts.
    pub tenant: Option<String>,
    /// Position of the message's class in the settings.
    pub class: usize,
    /// Number of the destination to deliver to.
    pub destination: u64,
    /// Time in microseconds, from `received_at`, within which the message must be delivered.
    pub time_limit: Micros,
    /// Time at which the client's request began.
    pub received_at: Instant,
    /// True if the client marked the message as submitted before.
    pub resubmitted: bool,
    /// True if the client submits the message again because the sender to which it had submitted the
    /// message before failed or did not answer.
    pub previous_sender_failed: bool,
    /// Message body as received from the client, at most [`MAX_BODY_BYTES`].
    pub body: Bytes,
    /// Connection of the client; `None` if the client is connected to the predecessor of a handover.
    pub client: Option<ClientPresence>,
    /// Memory reserved for the submission until the driver has decided on it; `None` if the predecessor of a handover
    /// forwarded it.
    #[expect(dead_code, reason = "held until the driver has decided")]
    pub memory: Option<SubmissionMemory>,
    /// Channel on which the client's response is sent. Dropped without a response if the client has left.
    pub reply: oneshot::Sender<SubmissionResult>,
}

impl Submission {
    /// Returns whether the client can no longer hear of the result.
    pub fn has_client_left(&self) -> bool {
        self.client.as_ref().is_some_and(ClientPresence::has_left)
    }
}

/// Result of a submission, from which the client's response follows.
///
/// Sent between the processes of a handover. The encoding depends on the order of the variants, so
/// it must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionResult {
    /// The message is durable, and will be delivered or reported as undelivered.
    Accepted,
    /// A message with this id was delivered before.
    AlreadyDelivered,
    /// The message was rejected, for example because of a limit.
    Rejected {
        /// Delay in microseconds after which the client may submit again, if known.
        retry_after: Option<Micros>,
    },
    /// The message was not accepted, because the journal could not record it or the driver ended
    /// without a result.
    NotStored,
    /// The message was not accepted, because the decision module failed it at once.
    Failed,
}

/// End of the attempt to deliver one message of a call.
///
/// Sent between the processes of a handover. The encoding depends on the order of the fields, so it
/// must not change.
#[derive(Debug, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// Number of the call that carried the message.
    pub call: u64,
    /// Position of the message in the call.
    pub position: usize,
    /// How the attempt ended: success, a rejection or a kind of failure.
    pub outcome: Outcome,
    /// End proof, if the answer shows that the message is complete.
    #[serde(with = "in_frame")]
    pub proof: Option<EndProof>,
    /// Values of the load report in the endpoint's answer; empty without a report.
    pub load_report: Vec<f64>,
    /// Retry-After delay in microseconds, if the answer carried one that `outcome` does not
    /// contain.
    pub retry_after: Option<Micros>,
}

/// Entry of the endpoint list.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    /// Name of the endpoint, which stays the same when its address changes.
    pub uid: String,
    /// Address to which calls are sent.
    pub address: SocketAddr,
    /// Name of the endpoint's zone.
    pub zone: String,
    /// Name of the endpoint's kind.
    pub kind: String,
    /// Number of the destination that the endpoint belongs to.
    pub destination: u64,
    /// Status of the endpoint: whether it is serving, draining or removed.
    pub status: EndpointStatus,
    /// Relative capacity of the endpoint.
    pub weight: f64,
}

/// Full endpoint list, or changes to it.
#[derive(Debug, Clone)]
pub struct ListUpdate {
    /// Version of the list, including these changes.
    pub version: u64,
    /// True if `entries` is the full list, false if it contains changes only.
    pub full: bool,
    /// Entries of the list, or those that changed.
    pub entries: Vec<ListedEndpoint>,
}

/// Message between the two processes of a handover, after all state is handed over.
///
/// The encoding depends on the order of variants and fields, so it must not change.
#[derive(Debug, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// Cancels one message of a call that the predecessor has in flight; sent by the successor.
    CancelAttempt {
        /// Number of the call that carries the message.
        call: u64,
        /// Position of the message in the call.
        position: usize,
    },
    /// Reports how one message of the predecessor's calls ended; sent by the predecessor.
    AttemptEnded(AttemptEnd),
    /// Forwards a message that a client submitted on a connection of the predecessor.
    Submitted {
        /// Number by which the predecessor matches the response to its client.
        number: u64,
        /// Message with its class, destination and time limit.
        submission: Box<ForwardedSubmission>,
    },
    /// Returns the result of a forwarded submission; sent by the successor.
    Answered {
        /// Number that the predecessor gave the forwarded submission.
        number: u64,
        /// Result from which the predecessor builds the client's response.
        result: SubmissionResult,
    },
    /// Reports that the client of a forwarded submission disconnected before its response. Contains
    /// the id of the message.
    ClientDisconnected(String),
    /// Forwards an operator's command to disable or enable an endpoint; sent by the predecessor.
    AdminCommand {
        /// Number by which the predecessor matches the result to the operator.
        number: u64,
        /// Name of the endpoint in the endpoint list.
        uid: String,
        /// True to disable the endpoint, false to enable it.
        disabled: bool,
    },
    /// Returns the result of a forwarded operator command; sent by the successor.
    AdminResult {
        /// Number that the predecessor gave the forwarded command.
        number: u64,
        /// Result that the predecessor returns to the operator.
        result: AdminResult,
    },
}

/// [`Submission`] in the form in which the predecessor forwards it to its successor.
///
/// The encoding depends on the order of the fields, so it must not change.
#[derive(Debug, Serialize, Deserialize)]
pub struct ForwardedSubmission {
    /// Id that the client gave the message.
    pub id: String,
    /// Idempotency key of the message, if the client sent one.
    pub key: Option<String>,
    /// Subject of the message; messages of one subject in an ordered class are delivered one at a
    /// time.
    pub subject: Option<String>,
    /// Name of the tenant against whose limits the message counts.
    pub tenant: Option<String>,
    /// Position of the message's class in the settings.
    pub class: usize,
    /// Number of the destination to deliver to.
    pub destination: u64,
    /// Time in microseconds, from `received_at`, within which the message must be delivered.
    pub time_limit: Micros,
    /// Time at which the client's request began, in microseconds on the clock that both processes
    /// share.
    pub received_at: Micros,
    /// True if the client marked the message as submitted before.
    pub resubmitted: bool,
    /// True if the client submits the message again because the sender to which it had submitted the
    /// message before failed or did not answer.
    pub previous_sender_failed: bool,
    /// Message body as received from the client, at most [`MAX_BODY_BYTES`].
    pub body: Vec<u8>,
}
