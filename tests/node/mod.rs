//! Runs a real sender as a separate process against scripted stand-ins for discovery and endpoints on loopback sockets.
#![allow(dead_code, unused_imports)]

mod agent;
mod client;
mod config;
mod crowd;
mod endpoint;
pub mod fragments;
mod http;
mod process;
pub mod registry;
pub mod shim;

pub use agent::*;
pub use client::*;
pub use config::*;
pub use crowd::*;
pub use endpoint::*;
pub use http::Request;
pub use process::*;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum wait for a condition, far longer than any condition takes when the sender works.
const PATIENCE: Duration = Duration::from_secs(20);

/// Polls the condition until it holds. Panics with its description if it does not hold within [`PATIENCE`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out: {description}");
        thread::sleep(Duration::from_millis(3));
    }
}
