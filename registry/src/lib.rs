//! The registry: endpoint lists and agreed rules in versions, on a replicated log.
//!
//! Without sockets or clock: [`state`] is the state machine that the log's commands change, [`replica`] one replica around the
//! raft engine, [`watch_broadcaster`] the lines for watchers, [`heartbeats`] the expiry of endpoints. [`store`] keeps the log
//! in a file. The rest owns sockets and clock: [`replica_thread`] runs the replica, [`transport`] connects the replicas,
//! [`server`] is the HTTP API. `docs/registry.md` is the page for operators, `docs/agreement.md` states the protocol.

pub mod commands;
pub mod endpoint;
pub mod heartbeats;
pub mod lock;
pub mod record_file;
pub mod replica;
pub mod replica_thread;
pub mod round_trip;
pub mod server;
pub mod settings;
pub mod state;
pub mod store;
pub mod topology;
pub mod transport;
pub mod watch_broadcaster;
pub mod wire_types;
