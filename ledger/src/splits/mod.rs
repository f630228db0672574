//! Splits of a shard: its keys are copied to two children while it goes on to answer, every write goes to both sides, and
//! both are read for one query at one point of the log. A split is cut over once every key has been compared equal; a
//! disagreement is kept with both sides, and has the split rolled back.

mod comparison;
mod error;
mod query;
mod split;

pub use comparison::{Difference, Disagreement, compare};
pub use error::SplitError;
pub use query::{Query, Rows};
pub use split::{FinishedSplit, PlantedFault, QueryCounts, Split};

pub(crate) use split::{MAX_FINISHED_SPLITS, Records};
