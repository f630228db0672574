//! What is stored and what goes between replicas stays byte for byte; the settings file keeps its keys.

#[path = "../golden/golden.rs"]
mod golden;
mod messages;
mod samples;
mod settings;
mod store;
