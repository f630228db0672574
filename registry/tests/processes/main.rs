//! The program itself: replicas on loopback that get requests, are killed, started again, replaced.

mod availability;
mod cluster;
mod command_line;
#[path = "../golden/golden.rs"]
mod golden;
mod http_api;
mod rejection;
mod splits;
mod watches;
