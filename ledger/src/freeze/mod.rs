//! The freeze calendar: windows in which nobody expands the topology. `docs/freeze.md` has the table of changes.
//!
//! [`FreezeCalendar`] is what operators write, [`FreezeState`] what the replicated log has of it: which window is active is
//! what the log says. What the windows mean on a clock is in `schedule`, which the registry alone needs (feature
//! `calendar`). [`FreezeCheck`] is the sender's side.

mod active_window;
mod calendar;
mod change;
mod check;
mod endpoint_change;
mod error;
#[cfg(feature = "calendar")]
pub mod schedule;
mod state;

pub use active_window::{ActiveWindow, BreakGlassOverride, check_changes};
pub use calendar::{FreezeCalendar, FreezeWindow, Recurrence};
pub use change::{ChangeKind, ResourceChange, Scope};
pub use check::{FreezeCheck, FreezeUpdate, WindowNotice};
pub use endpoint_change::{EndpointSnapshot, resource_change};
pub use error::FreezeError;
pub use state::{FreezeEntry, FreezeState};
