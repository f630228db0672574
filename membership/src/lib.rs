//! Fleet membership with failure detection, without sockets or a clock.
//!
//! A [`Node`] is handed datagrams and the current time. It returns the datagrams to send and the changes to report,
//! and tells when it wants to be called next. The same events and the same seed give the same datagrams.
//!
//! The protocol is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", DSN 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local
//! Health Awareness for More Accurate Failure Detection", DSN-W 2018). Rules beyond both papers are marked as
//! extensions:
//!
//! - **Several observers** must have seen a member fail by themselves before it is declared dead, and only a node that
//!   still sees a majority of the expected fleet alive and unsuspected may declare it. A broken link between two
//!   members, or around one observer, kills nobody; neither does the smaller side of a partition.
//! - **A node that hears too little doubts itself first**: it suspects nobody after a probe in which no helper showed
//!   that it hears this node, and postpones all suspicions while its last three probes had no answer.
//! - **No member dies by hearsay alone**: each observer gives an accused member the minimum suspicion timeout, counted
//!   from when the observer itself heard of the accusation. So two healed halves of a partition do not kill each other.
//! - **A refutation is sent at once** to a few members, not only with the next probes, which are rare while the local
//!   health score is bad.
//!
//! Records of one member are totally ordered by incarnation, state and process start, and every observer keeps the
//! greatest. So all that receive the same records agree, whatever the order.

mod broadcast;
mod member;
mod node;
mod output;
mod record;
mod report;
mod settings;
mod table;
mod wire;

pub use node::Node;
pub use output::{Change, Datagram, Output};
pub use record::State;
pub use report::{DatagramCounters, MemberReport, MemberState, PersistedState, View};
pub use settings::{Settings, SettingsError};
pub use wire::{DropReason, MAX_DATAGRAM_BYTES};

/// Microseconds, on whatever clock the host passes in; it must not run backwards.
pub type Micros = u64;
