//! Delivery decisions for outbound messages to other firms' systems.
//!
//! A [`Sender`] receives events (messages submitted by clients, outcomes of calls, changes of the
//! endpoint list, timers that expired) and returns actions (send, cancel, reject, fail). It opens
//! no sockets and reads no clock: its driver does both. The driver is the event loop that passes
//! events to the decision module and carries out its actions. The same sequence of events always
//! produces the same actions.
//!
//! ```
//! use message_sender::{Action, Class, Effect, EndpointEntry, Event, EndpointId, ListScope, MessageId, NewMessage,
//!     Sender, Settings};
//!
//! let mut settings = Settings::new(8, 100);
//! settings.classes.push(Class::new("notice", Effect::Idempotent, 2_000_000, 10_000_000));
//! let mut sender = Sender::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let events = [
//!     Event::EndpointList { scope: ListScope::Full, entries: vec![EndpointEntry::new(EndpointId(1), 40)] },
//!     Event::Accepted(NewMessage::new(MessageId(5), 0, 40, 10_000_000)),
//! ];
//! sender.handle(1_000_000, &events, &mut actions);
//! assert!(matches!(actions[0], Action::Send { message: MessageId(5), endpoint: EndpointId(1), .. }));
//! # Ok::<(), message_sender::SettingsError>(())
//! ```

pub mod class_transition;
pub mod decisions;
pub mod interface;
pub mod lifecycle;
pub mod memory;
mod message_index;
pub mod pool;
pub mod wire;

pub use decisions::Sender;
pub use interface::*;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct ReadmeExample;
