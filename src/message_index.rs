//! An index of the pending messages, so that a turn examines only those that may be sent or must
//! end.
//!
//! No decision is made here: the decision module determines when a message is eligible and how
//! urgent it is. The messages for one destination form groups. A turn needs to examine only the
//! first message of a group, because whatever prevents sending the first one also prevents sending
//! the others.

mod candidates;
mod entry;
mod group_order;
mod index;

pub use candidates::{Candidate, Candidates};
pub use entry::{Eligibility, Group, IndexEntry, IndexedMessage};
pub use group_order::GroupOrder;
pub use index::{GroupSide, MessageIndex};
