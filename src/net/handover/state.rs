//! What a predecessor hands over. The order of the fields is their encoding.

use crate::net::calls::Item;
use hyper::header::HeaderValue;
use message_sender::Micros;
use message_sender::wire::Names;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What the driver holds, and the decision module.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandoverState {
    /// The decision module, encoded.
    pub sender: Vec<u8>,
    /// The names that its settings number.
    pub names: Names,
    /// The endpoints that the driver knows.
    pub endpoints: Vec<EndpointState>,
    /// The number of the next new endpoint.
    pub next_endpoint: u32,
    /// The messages that it holds.
    pub messages: Vec<MessageState>,
    /// The number of the next new message.
    pub next_message: u64,
    /// Calls in flight.
    pub calls: Vec<CallState>,
    /// The number of the next new call.
    pub next_call: u64,
    /// Ids of delivered messages, the oldest first.
    pub delivered: Vec<String>,
    /// The version of the endpoint list; 0 asks for all of it.
    pub list_version: u64,
    /// When the decision module wants its next turn.
    pub timer: Option<Micros>,
    /// Client connections that the predecessor holds.
    pub client_connections: usize,
}

/// An endpoint that the driver knows.
#[derive(Debug, Serialize, Deserialize)]
pub struct EndpointState {
    /// The decision module's number for it.
    pub endpoint: u32,
    /// Its name in the list.
    pub uid: String,
    /// Where it takes calls.
    pub address: Option<SocketAddr>,
    /// Its kind, by position in the settings.
    pub kind: usize,
    /// The destination that it belongs to.
    pub destination: u64,
    /// The last list that named it did not say that it is gone.
    pub listed: bool,
    /// That list did not say either that it drains.
    pub serving: bool,
    /// The name of its zone.
    pub zone: String,
    /// Its capacity as the list has it.
    pub weight: f64,
}

/// A call in flight.
#[derive(Debug, Serialize, Deserialize)]
pub struct CallState {
    /// Its number.
    pub number: u64,
    /// The messages that it carries.
    pub items: Vec<CallItemState>,
    /// Messages that have no outcome yet.
    pub left: usize,
}

/// A message in a call.
#[derive(Debug, Serialize, Deserialize)]
pub struct CallItemState {
    /// The message's number.
    pub message: u64,
    /// The position among its attempts.
    pub attempt: usize,
}

/// A message with its attempts.
#[derive(Debug, Serialize, Deserialize)]
pub struct MessageState {
    /// Its number.
    pub number: u64,
    /// The client's id of the message.
    pub id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
    /// It is neither delivered nor ended undelivered.
    pub open: bool,
    /// Clients that have the answer that it is accepted, or will get it.
    pub clients: usize,
    /// Its attempts.
    pub attempts: Vec<AttemptState>,
}

impl MessageState {
    /// The message as calls carry it; none if it can't be one.
    pub fn item(&self) -> Option<Item> {
        let key = self.key.as_deref().map(HeaderValue::from_str);
        Some(Item {
            id: HeaderValue::from_str(&self.id).ok()?,
            key: key.transpose().ok()?,
            body: self.body.clone().into(),
        })
    }
}

/// An attempt to deliver a message.
#[derive(Debug, Serialize, Deserialize)]
pub struct AttemptState {
    /// The endpoint's number.
    pub endpoint: u32,
    /// Module time.
    pub sent_at: Micros,
    /// The number of its call.
    pub call: u64,
    /// The message's position in the call.
    pub item: usize,
    /// It has no outcome yet.
    pub in_flight: bool,
    /// Its position in the journal.
    pub record: Option<usize>,
}
