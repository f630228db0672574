//! Who of a fleet is there: membership with failure detection, without sockets or clock.
//!
//! A [`Node`] is handed datagrams and the time and says which datagrams to send, what changed and when it wants to
//! be woken. The same events and the same seed give the same datagrams.
//!
//! The protocol is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", DSN 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local
//! Health Awareness for More Accurate Failure Detection", DSN-W 2018). Rules beyond both are marked as ours:
//!
//! - **Several observers** must have seen a member fail by themselves before its death counts, and a death counts
//!   only at a member that still has a majority of the configured fleet alive and unsuspected. A cut between two,
//!   or round one observer, kills nobody; the smaller side of a split kills nobody.
//! - **A member that hears too little doubts itself first**: it suspects nobody in a probe in which no helper said
//!   that it hears it, and holds all timers while it has had no answer for three probes.
//! - **Nobody dies by another's word alone**: each observer gives the accused the least time of a suspicion, counted
//!   from when it heard of it itself. So two halves that meet again do not kill one another.
//! - **A refutation goes out at once** to a few, and not only with the next probes, which are seldom where the own
//!   health is bad.
//!
//! Records of one member are totally ordered by incarnation, state and instance, and every observer keeps the
//! greatest, so all that hear the same agree, whatever the order.

mod gossip;
mod node;
mod record;
mod settings;
mod table;
mod wire;

pub use node::{Change, Counts, Node, Output, Remembered, View};
pub use record::State;
pub use settings::{Settings, SettingsError};
pub use table::Listed;
pub use wire::{Dropped, LONGEST};

/// Microseconds, on whatever clock the host passes in; it must not run backwards.
pub type Micros = u64;
