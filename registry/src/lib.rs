//! The registry: endpoint lists and agreed rules in versions, on a replicated log.
//!
//! Parts without sockets or clock: [`state`] is what the log's entries change, [`replica`] one replica round the raft
//! engine, [`feed`] what watchers are told, [`beats`] which entries have run out. [`store`] keeps the log in a file.
//! `docs/agreement.md` states the protocol.

pub mod beats;
pub mod feed;
pub mod frames;
pub mod mirror;
pub mod replica;
pub mod state;
pub mod store;
pub mod target;
