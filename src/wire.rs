//! Line protocol of the simulator's adapter: parses batches of events, passes them to the simulated senders and prints
//! the actions of each. All decisions are made by the decision module.

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
