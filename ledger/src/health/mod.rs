//! Fleet health: what one sender learns of a destination and all should know, that it is unavailable or available again.
//! The allocator of a shard counts what its senders report; a verdict needs more reporters than may be faulty, and each
//! change of one has a higher epoch.

mod report;
mod report_counts;

pub use report::{HealthReport, HealthVerdict};
pub use report_counts::{EPOCHS_PER_ALLOCATOR, MAX_FAULTY_REPORTERS, REPORT_TTL, ReportCounts};
