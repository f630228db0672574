//! Messages to the driver from the other tasks and from operators, and those between the two processes of a handover:
//! data alone, known to all tasks.

use super::end_proof::{DepartedClient, EndProof, in_frame};
use super::freeze::settings::FreezeSettings;
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

/// Longest body of a message, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// What the other tasks of the process tell the driver.
#[derive(Debug)]
pub enum DriverInput {
    /// A client hands a message in.
    Submitted(Submission),
    /// A client left before it had its answer.
    ClientDisconnected(DepartedClient),
    /// The process shuts down gracefully and ends at this instant.
    ShuttingDown(Instant),
    /// An attempt to deliver one message ended.
    AttemptEnded(AttemptEnd),
    /// An answer that came after its call was given up carried a Retry-After.
    RetryAfter {
        /// The endpoint that asked for it.
        endpoint: EndpointId,
        /// How long to keep away.
        wait: Micros,
    },
    /// Discovery sent the endpoint list, or changes to it.
    EndpointList(ListUpdate),
    /// The endpoint list became stale (true) or is current again (false).
    ListStale(bool),
    /// The platform accepted outcome notifications.
    NotificationsAccepted(AcceptedNotifications),
    /// The rules on which all senders agree changed.
    AgreedRules {
        /// The rules; none while agreement is off.
        rules: Option<Box<AgreedRules>>,
        /// Notified once the rules bind all that is sent.
        applied: oneshot::Sender<()>,
    },
    /// What this sender may use of limits that hold for the whole fleet changed.
    Quotas {
        /// The quotas; none while the ledger is off.
        quotas: Option<Box<Quotas>>,
        /// Notified once the quotas bind all that is sent.
        applied: oneshot::Sender<()>,
    },
    /// The freeze calendar or its settings changed.
    Freeze(FreezeChange),
    /// A quorum of the other senders reports a destination as unavailable, or as available again.
    FleetHealth {
        /// The destination.
        destination: u64,
        /// It is unavailable.
        unavailable: bool,
    },
    /// Asks what this sender could use of the fleet's limits.
    Demand {
        /// With at most so many listed destinations the report names all of them, else those in use.
        complete_up_to: usize,
        /// Gets the report.
        reply: oneshot::Sender<DemandReport>,
    },
    /// What membership knows of the other senders; none where that is nothing.
    FleetView(Option<FleetView>),
    /// New settings, already validated.
    SettingsChanged(Box<SettingsUpdate>),
    /// A message from the other process of a handover.
    Handover(HandoverMessage),
    /// The other process of a handover is gone.
    HandoverLinkLost,
}

/// Outcome notifications that the platform has accepted.
#[derive(Debug)]
pub struct AcceptedNotifications {
    /// The numbers of their messages.
    pub numbers: Vec<u64>,
    /// The platform's answer.
    pub proof: EndProof,
}

/// What a sender could use of the fleet's limits.
#[derive(Debug, Default)]
pub struct DemandReport {
    /// Destinations that are listed.
    pub listed: usize,
    /// The demand at each reported destination.
    pub by_destination: BTreeMap<u64, Demand>,
}

/// Settings that belong together, from one configuration file.
#[derive(Debug, Clone)]
pub struct SettingsUpdate {
    /// Settings of the decision module.
    pub settings: Settings,
    /// The names that these settings number.
    pub names: Names,
    /// Settings of the connection pool.
    pub pool: PoolSettings,
}

/// A change of the freeze calendar or of its settings.
#[derive(Debug)]
pub enum FreezeChange {
    /// The freeze is switched off: nothing is held back.
    Off,
    /// The freeze is switched on, or its settings changed.
    On(FreezeSettings),
    /// The registry's answer to a poll.
    Calendar {
        /// When the poll was sent, in module time.
        asked_at: u64,
        /// How long a break-glass override counts by this answer, in microseconds.
        fresh_for: u64,
        /// What the registry answered.
        update: FreezeUpdate,
    },
}

/// Asks a task for its report, which it sends as JSON.
pub type ReportRequest = oneshot::Sender<String>;

/// A command of an operator; it overtakes all waiting input.
#[derive(Debug)]
pub enum AdminCommand {
    /// Disables an endpoint, or enables it again.
    SetDisabled {
        /// The endpoint's name in the list.
        uid: String,
        /// True to disable it.
        disabled: bool,
        /// Gets the result.
        reply: oneshot::Sender<AdminResult>,
    },
    /// Reports on the connections to endpoints.
    PoolReport {
        /// Gets the report.
        reply: ReportRequest,
    },
    /// Reports on the freeze; no answer while it is off.
    FreezeReport {
        /// Gets the report.
        reply: ReportRequest,
    },
}

/// The result of [`AdminCommand::SetDisabled`].
///
/// Sent between the processes of a handover: the order of the variants is their encoding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminResult {
    /// It holds, also after a restart.
    Done,
    /// No list has this endpoint.
    UnknownEndpoint,
    /// The journal could not be written.
    NotWritten,
}

/// A message that a client hands in.
#[derive(Debug)]
pub struct Submission {
    /// The client's id of the message.
    pub id: HeaderValue,
    /// Its idempotency key.
    pub key: Option<HeaderValue>,
    /// What the message is about; ordered classes deliver messages of one subject one at a time.
    pub subject: Option<String>,
    /// The tenant that it counts for.
    pub tenant: Option<String>,
    /// Its class, by position in the settings.
    pub class: usize,
    /// Where it goes.
    pub destination: u64,
    /// The time that the client gave it, counted from `received_at`.
    pub time_limit: Micros,
    /// When its request began.
    pub received_at: Instant,
    /// The client hands it in once more.
    pub resubmitted: bool,
    /// The client that first handed it in is gone.
    pub orphan: bool,
    /// Its body.
    pub body: Bytes,
    /// Gets the answer.
    pub reply: oneshot::Sender<SubmissionResult>,
}

/// The answer to a client.
///
/// Sent between the processes of a handover: the order of the variants is their encoding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionResult {
    /// The message is durable and will be delivered or reported as undelivered.
    Accepted,
    /// A message of this id has been delivered.
    AlreadyDelivered,
    /// It was rejected.
    Rejected {
        /// When the client may try again, if that is known.
        retry_after: Option<Micros>,
    },
    /// The journal could not take it.
    NotStored,
    /// It could not be delivered.
    Failed,
}

/// How an attempt to deliver one message of a call ended.
///
/// Sent between the processes of a handover: the order of the fields is their encoding.
#[derive(Debug, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The number of the call.
    pub call: u64,
    /// The message's position in the call.
    pub item: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Where nothing more is owed for the message: what proves that.
    #[serde(with = "in_frame")]
    pub proof: Option<EndProof>,
    /// The fields of the endpoint's load report.
    pub report: Vec<f64>,
    /// A Retry-After that the outcome does not carry.
    pub retry_after: Option<Micros>,
}

/// One endpoint of the list.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    /// Its name, which stays the same over changes of its address.
    pub uid: String,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind.
    pub kind: String,
    /// The destination that it belongs to.
    pub destination: u64,
    /// Whether it takes calls.
    pub status: EndpointStatus,
    /// Its capacity as the list has it.
    pub weight: f64,
}

/// The endpoint list, or changes to it.
#[derive(Debug, Clone)]
pub struct ListUpdate {
    /// The version of the list.
    pub version: u64,
    /// True if it names every endpoint.
    pub full: bool,
    /// The endpoints that it names.
    pub targets: Vec<ListedEndpoint>,
}

/// What the two processes of a handover tell each other once all state is handed over.
///
/// The order of variants and fields is their encoding.
#[derive(Debug, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// The successor cancels one message of a call that the predecessor has in flight.
    CancelAttempt {
        /// The number of the call.
        call: u64,
        /// The message's position in it.
        item: usize,
    },
    /// How one message of such a call ended.
    AttemptEnded(AttemptEnd),
    /// A message that a client handed in on a connection of the predecessor.
    Submitted {
        /// The predecessor's number for the answer.
        number: u64,
        /// The message.
        submission: Box<ForwardedSubmission>,
    },
    /// The answer to such a message.
    Answered {
        /// The number of the submission.
        number: u64,
        /// The answer.
        result: SubmissionResult,
    },
    /// The client of such a message left before its answer; the message's id.
    ClientDisconnected(String),
    /// A command that an operator gave the predecessor.
    AdminCommand {
        /// The predecessor's number for the result.
        number: u64,
        /// The endpoint's name in the list.
        uid: String,
        /// True to disable it.
        disabled: bool,
    },
    /// The result of such a command.
    AdminResult {
        /// The number of the command.
        number: u64,
        /// The result.
        result: AdminResult,
    },
}

/// A [`Submission`] that the predecessor forwards to its successor.
///
/// The order of the fields is their encoding.
#[derive(Debug, Serialize, Deserialize)]
pub struct ForwardedSubmission {
    /// The client's id of the message.
    pub id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// What the message is about.
    pub subject: Option<String>,
    /// The tenant that it counts for.
    pub tenant: Option<String>,
    /// Its class, by position in the settings.
    pub class: usize,
    /// Where it goes.
    pub destination: u64,
    /// The time that the client gave it, counted from `received_at`.
    pub time_limit: Micros,
    /// When its request began, in Unix time.
    pub received_at: Micros,
    /// The client hands it in once more.
    pub resubmitted: bool,
    /// The client that first handed it in is gone.
    pub orphan: bool,
    /// Its body.
    pub body: Vec<u8>,
}
