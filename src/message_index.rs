//! An index of the pending messages, so that a turn looks only at those that may be sent or must end.
//!
//! No decision is here: the decisions say when a message is eligible and how urgent it is. Messages that
//! wait for one destination form groups of which a turn need only look at the first: whatever keeps that
//! one from being sent keeps the others too.

mod candidates;
mod entry;
mod group_order;
mod index;

pub use candidates::{Candidate, Candidates};
pub use entry::{Eligibility, Group, IndexEntry, IndexedMessage};
pub use group_order::GroupOrder;
pub use index::{GroupSide, MessageIndex};
