//! The state that a predecessor sends to its successor. Postcard encodes the fields without their names, in the order
//! in which they are declared here. So every change of the fields or of their order needs a new version of the frames
//! (`VERSION` in the parent module).

use crate::net::calls::Item;
use hyper::header::HeaderValue;
use message_sender::Micros;
use message_sender::wire::Names;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// First character of an entry of [`HandoverState::ended_ids`] whose message may have run. No id begins with it, so a
/// process that does not know the mark never finds such an id.
pub const MAY_HAVE_RUN_MARK: char = ' ';

/// State of a predecessor: its decision module, encoded, and all data of its driver.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandoverState {
    /// The decision module, encoded with postcard.
    pub sender: Vec<u8>,
    /// Names of zones, classes, kinds and tenants, which the decision module refers to by number.
    pub names: Names,
    /// All endpoints that the driver has numbered, including those that are no longer listed.
    pub endpoints: Vec<EndpointState>,
    /// Number that the driver gives to the next new endpoint.
    pub next_endpoint: u32,
    /// The messages that the driver holds in memory.
    pub messages: Vec<MessageState>,
    /// Number that the driver gives to the next new message.
    pub next_message: u64,
    /// Calls in flight. The predecessor completes them and sends their outcomes to the successor.
    pub calls: Vec<CallState>,
    /// Number that the driver gives to the next new call.
    pub next_call: u64,
    /// Ids of messages that have ended, oldest first, by which repeated submissions are recognised: delivered ones, and
    /// after [`MAY_HAVE_RUN_MARK`] those that were abandoned after a call with them may have run.
    pub ended_ids: Vec<String>,
    /// Version of the endpoint list in force, from which discovery sends further changes. 0 requests the full list.
    pub list_version: u64,
    /// Time of the decision module's next timer event, in microseconds of module time.
    pub timer: Option<Micros>,
    /// Number of client connections that the predecessor still holds.
    pub client_connections: usize,
}

/// An endpoint of the driver, with its entry in the endpoint list.
#[derive(Debug, Serialize, Deserialize)]
pub struct EndpointState {
    /// Number by which the decision module refers to the endpoint.
    pub endpoint: u32,
    /// Uid of the endpoint in the endpoint list.
    pub uid: String,
    /// Address to which calls are sent.
    pub address: Option<SocketAddr>,
    /// Kind of the endpoint, as an index into the kinds of the settings.
    pub kind: usize,
    /// Number of the destination that the endpoint belongs to.
    pub destination: u64,
    /// True while the endpoint list contains the endpoint.
    pub listed: bool,
    /// True while the endpoint list contains the endpoint and does not report it as draining.
    pub serving: bool,
    /// Name of the zone in which the endpoint runs.
    pub zone: String,
    /// Capacity of the endpoint according to the endpoint list.
    pub weight: f64,
}

/// A call that the predecessor has in flight.
#[derive(Debug, Serialize, Deserialize)]
pub struct CallState {
    /// Number of the call.
    pub number: u64,
    /// The messages in the call.
    pub items: Vec<CallItemState>,
    /// Number of messages in the call that have no outcome yet.
    pub pending_items: usize,
}

/// A message in a call that is in flight.
#[derive(Debug, Serialize, Deserialize)]
pub struct CallItemState {
    /// Number of the message.
    pub message: u64,
    /// Index of the call's attempt among the message's attempts.
    pub attempt: usize,
}

/// A message in the predecessor's memory, with its attempts.
#[derive(Debug, Serialize, Deserialize)]
pub struct MessageState {
    /// Number of the message.
    pub number: u64,
    /// Id that the client gave the message.
    pub id: String,
    /// Idempotency key that the client sent with the message.
    pub key: Option<String>,
    /// Body that the endpoint receives.
    pub body: Vec<u8>,
    /// True until the message is delivered or has ended undelivered.
    pub open: bool,
    /// Number of clients that submitted the message and did not disconnect before their response.
    pub clients: usize,
    /// Attempts of the message, in the order of their start.
    pub attempts: Vec<AttemptState>,
}

impl MessageState {
    /// Returns the message as an item of a call, or `None` if its id or key is not a valid header value.
    pub fn item(&self) -> Option<Item> {
        let key = self.key.as_deref().map(HeaderValue::from_str);
        Some(Item {
            id: HeaderValue::from_str(&self.id).ok()?,
            key: key.transpose().ok()?,
            body: self.body.clone().into(),
        })
    }
}

/// An attempt to deliver a message, as the driver holds it in memory.
#[derive(Debug, Serialize, Deserialize)]
pub struct AttemptState {
    /// Number of the endpoint that the attempt was sent to.
    pub endpoint: u32,
    /// Time at which the attempt started, in microseconds of module time.
    pub sent_at: Micros,
    /// Number of the call that carries the attempt. `u64::MAX` if the predecessor knew no call of the attempt, for
    /// example because it restored the attempt from the journal.
    pub call: u64,
    /// Index of the message in the call.
    pub item: usize,
    /// True until the attempt has an outcome.
    pub in_flight: bool,
    /// Index of the attempt among the message's attempts in the journal. `None` if the journal does not hold the
    /// attempt, and so the attempt was never sent.
    pub journal_position: Option<usize>,
}
