//! The registry: endpoint lists and agreed rules in versions, on a replicated log.
//!
//! Parts without sockets or clock: [`state`] is what the log's entries change, [`replica`] one replica round the raft
//! engine, [`feed`] what watchers are told, [`heartbeats`] which entries have run out. [`store`] keeps the log in a file. The
//! rest owns sockets and clock: [`core`](mod@core) a thread that turns the replica, [`peers`] the way between replicas,
//! [`server`] what clients ask. `docs/registry.md` is the page for operators, `docs/agreement.md` states the protocol.

pub mod core;
pub mod exchange;
pub mod feed;
pub mod frames;
pub mod heartbeats;
pub mod inputs;
pub mod locks;
pub mod mirror;
pub mod peers;
pub mod replica;
pub mod server;
pub mod settings;
pub mod state;
pub mod store;
pub mod target;
pub mod topology;
