//! What the parts tell the driver, and what operators order: data alone, known to all parts.

use super::freeze::settings::FreezeSettings;
use bytes::Bytes;
use hyper::header::HeaderValue;
use message_sender::pool::PoolSettings;
use message_sender::wire::Names;
use message_sender::{
    Agreed, Demand, EndpointId, FleetView, Micros, Outcome, Quotas, Settings, Status,
};
use quota_ledger::gate::News;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Bodies hold at most this.
pub const BODY_MOST: usize = 64 * 1024;

/// What the rest of the program tells the driver.
#[derive(Debug)]
pub enum Input {
    Arrived(Arrival),
    ClientLeft(HeaderValue),
    /// The process ends at this time.
    Stopping(Instant),
    Ended(Ended),
    /// An answer that came after its call was given up told to wait.
    ToldWait {
        endpoint: EndpointId,
        wait: Micros,
    },
    Listed(ListUpdate),
    /// The list may be older than what counts as told, or is good again.
    Stale(bool),
    /// Notices that the platform has taken, by number of message.
    Noticed(Vec<u64>),
    /// Rules on which the senders agree, and who is to be told once they bind all that is sent.
    Agreed(Option<Box<Agreed>>, oneshot::Sender<()>),
    /// What this sender may use of limits that hold for all, and who is told once it binds.
    Shared(Option<Box<Quotas>>, oneshot::Sender<()>),
    /// Of the freeze calendar.
    Freezing(Freezing),
    /// Enough other senders agree that a destination is out, or back.
    Word {
        destination: u64,
        out: bool,
    },
    /// Tells how many destinations are listed and what could be used: at each of them if they are `whole` at most, else at
    /// those that are in use.
    Wanted {
        whole: usize,
        reply: oneshot::Sender<(usize, BTreeMap<u64, Demand>)>,
    },
    /// What is seen of the other senders; none where nothing is.
    Fleet(Option<FleetView>),
    /// New settings, checked.
    Retuned(Box<(Settings, Names, PoolSettings)>),
    /// What the other process of an upgrade says, and that it says no more.
    Linked(Word),
    LinkLost,
}

/// What the driver's gate is told of the freeze.
#[derive(Debug)]
pub enum Freezing {
    /// It is off: nothing is held.
    Off,
    /// It is on, by these settings.
    On(FreezeSettings),
    /// What the registry answered to a question that was asked then, and for how long a broken glass counts by it.
    Told { asked: u64, fresh: u64, news: News },
}

/// Asks a part for its report, as JSON.
pub type Query = oneshot::Sender<String>;

/// What operators order; it overtakes all that waits.
#[derive(Debug)]
pub enum Order {
    /// Take an endpoint out, or put it back.
    SetOut {
        uid: String,
        out: bool,
        reply: oneshot::Sender<Verdict>,
    },
    /// Tell how the connections to endpoints stand, as JSON.
    Pools { reply: Query },
    /// Tell what the freeze holds, as JSON.
    Frozen { reply: Query },
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Done,
    /// No list has this endpoint.
    Unknown,
    /// It could not be written down.
    Unwritten,
}

/// A message that is handed in.
#[derive(Debug)]
pub struct Arrival {
    pub id: HeaderValue,
    pub key: Option<HeaderValue>,
    /// What the message is about; messages of one subject take turns in classes that keep order.
    pub subject: Option<String>,
    /// Whose message it is, for the shares of the tenants.
    pub tenant: Option<String>,
    pub class: usize,
    pub destination: u64,
    pub time: Micros,
    pub began: Instant,
    pub again: bool,
    pub orphan: bool,
    pub body: Bytes,
    pub reply: oneshot::Sender<Answer>,
}

/// The answer to a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    Taken,
    Delivered,
    Refused { wait: Option<Micros> },
    NoRoom,
    Failed,
}

/// How one message of a call ended.
#[derive(Debug, Serialize, Deserialize)]
pub struct Ended {
    pub call: u64,
    /// Its position in the call.
    pub item: usize,
    pub outcome: Outcome,
    /// Nothing more is owed for it.
    pub closed: bool,
    pub report: Vec<f64>,
    /// A wait that the answer told and that no outcome carries.
    pub wait: Option<Micros>,
}

/// One endpoint as the list has it.
#[derive(Debug, Clone)]
pub struct Listed {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub destination: u64,
    pub status: Status,
    pub weight: f64,
}

/// A list, or changes to one.
#[derive(Debug, Clone)]
pub struct ListUpdate {
    pub version: u64,
    pub full: bool,
    pub targets: Vec<Listed>,
}

/// What the two processes of an upgrade say to each other once all is handed over.
#[derive(Debug, Serialize, Deserialize)]
pub enum Word {
    /// Call off one message of a call that the old one still has out.
    Cancel {
        call: u64,
        item: usize,
    },
    /// How one message of such a call ended.
    Ended(Ended),
    /// A message that came in on one of the old one's connections, and its answer.
    Arrived {
        number: u64,
        arrival: Box<Passed>,
    },
    Answered {
        number: u64,
        answer: Answer,
    },
    /// The client of a message left before its answer.
    Left(String),
    /// An order that came to the old one's operators' address, and what came of it.
    Ordered {
        number: u64,
        uid: String,
        out: bool,
    },
    Judged {
        number: u64,
        verdict: Verdict,
    },
}

/// A message that is handed in, passed on.
#[derive(Debug, Serialize, Deserialize)]
pub struct Passed {
    pub id: String,
    pub key: Option<String>,
    pub subject: Option<String>,
    pub tenant: Option<String>,
    pub class: usize,
    pub destination: u64,
    pub time: Micros,
    /// Unix time in microseconds.
    pub began: Micros,
    pub again: bool,
    pub orphan: bool,
    pub body: Vec<u8>,
}
