//! The text wire: parses batches of events, hosts instances apart, prints their actions. Decides nothing.

mod base64;
mod fields;
mod host;
mod instance;
mod lines;
mod numbered;
mod printing;
mod reading;
mod settings;

pub use host::Host;
pub use lines::WireError;
pub use settings::{Names, Pairs, position, read_settings};
