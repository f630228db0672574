//! The sender's side of the freeze: which changes it accepts, by the last update from the registry and its own passed-in
//! time. Where it can't be sure it takes the strict side.

use super::active_window::{ActiveWindow, BreakGlassOverride, check_changes};
use super::change::ResourceChange;
use super::error::FreezeError;
use serde::Deserialize;
use std::collections::BTreeMap;
use versioned_config::Micros;

/// One part in so many of a remaining time by which clocks may be wrong: windows begin so much early and end so much late.
const CLOCK_ERROR_DIVISOR: u64 = 100;

/// The name of the window that holds all changes before the calendar is known.
const UNKNOWN_CALENDAR: &str = "(not known yet)";

/// A window as the registry announces it: times from now, so that no clocks are compared.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct WindowNotice {
    /// Its name.
    pub window: String,
    /// When it begins, ms from now; 0: it is active.
    #[serde(default)]
    pub begins_in_ms: u64,
    /// When it ends, ms from now.
    pub ends_in_ms: u64,
    /// What it holds, and why.
    #[serde(rename = "on")]
    pub details: ActiveWindow,
}

/// The registry's answer on the freeze.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct FreezeUpdate {
    /// The revision of the calendar.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Active windows.
    #[serde(rename = "on")]
    pub active: Vec<WindowNotice>,
    /// Windows that begin soon.
    #[serde(rename = "soon")]
    pub upcoming: Vec<WindowNotice>,
    /// A break-glass override.
    #[serde(default, rename = "glass")]
    pub break_glass_override: Option<BreakGlassOverride>,
    /// How long that lasts at least, ms.
    #[serde(default, rename = "glass_ends_in_ms")]
    pub override_ends_in_ms: u64,
}

/// A window in the sender's own time.
#[derive(Debug, Clone)]
struct LocalWindow {
    name: String,
    begins_at: Micros,
    ends_at: Micros,
    details: ActiveWindow,
}

/// An override in the sender's own time.
#[derive(Debug, Clone)]
struct LocalOverride {
    details: BreakGlassOverride,
    ends_at: Micros,
}

/// The last update.
#[derive(Debug, Clone)]
struct KnownCalendar {
    revision: u64,
    windows: Vec<LocalWindow>,
    break_glass_override: Option<LocalOverride>,
}

/// Checks changes of the endpoint list.
#[derive(Debug, Clone)]
pub struct FreezeCheck {
    /// Until when changes are held where no calendar is known.
    unknown_until: Micros,
    known: Option<KnownCalendar>,
}

impl FreezeCheck {
    /// The check of a sender that starts now, and holds changes that expand the topology for so long unless it learns of
    /// the calendar.
    pub fn new(now: Micros, unknown: Micros) -> Self {
        FreezeCheck {
            unknown_until: now + unknown,
            known: None,
        }
    }

    /// Takes the registry's answer to a request that was sent at `asked_at`. An override counts for no longer than
    /// `fresh_for` without another answer.
    pub fn apply_update(
        &mut self,
        asked_at: Micros,
        now: Micros,
        fresh_for: Micros,
        update: FreezeUpdate,
    ) {
        let notices = update.active.into_iter().chain(update.upcoming);
        let windows = notices.map(|notice| LocalWindow::new(asked_at, now, notice));
        let lasts = shortened(update.override_ends_in_ms.saturating_mul(1000));
        let break_glass_override = update.break_glass_override.map(|details| LocalOverride {
            details,
            ends_at: asked_at + lasts.min(fresh_for),
        });
        self.known = Some(KnownCalendar {
            revision: update.revision,
            windows: windows.collect(),
            break_glass_override,
        });
    }

    /// The active windows by their names.
    pub fn active_windows(&self, now: Micros) -> BTreeMap<String, ActiveWindow> {
        match &self.known {
            Some(known) => known
                .windows
                .iter()
                .filter(|window| window.begins_at <= now && now < window.ends_at)
                .map(|window| (window.name.clone(), window.details.clone()))
                .collect(),
            None if now < self.unknown_until => {
                [(UNKNOWN_CALENDAR.to_string(), unknown_calendar_window())].into()
            }
            None => BTreeMap::new(),
        }
    }

    /// Checks a change that expands the topology.
    ///
    /// # Errors
    /// A window holds it.
    pub fn check_changes(&self, now: Micros, change: &ResourceChange) -> Result<(), FreezeError> {
        let known_override = self
            .known
            .as_ref()
            .and_then(|known| known.break_glass_override.as_ref());
        let current_override = known_override
            .filter(|known| now < known.ends_at)
            .map(|known| &known.details);
        check_changes(
            &self.active_windows(now),
            current_override,
            std::slice::from_ref(change),
            false,
        )
    }

    /// The revision of the calendar that it goes by; none: it knows none.
    pub fn revision(&self) -> Option<u64> {
        self.known.as_ref().map(|known| known.revision)
    }
}

impl LocalWindow {
    fn new(asked_at: Micros, now: Micros, notice: WindowNotice) -> Self {
        let begins_in = shortened(notice.begins_in_ms.saturating_mul(1000));
        let ends_in = notice.ends_in_ms.saturating_mul(1000);
        LocalWindow {
            name: notice.window,
            begins_at: asked_at + begins_in,
            ends_at: now
                .saturating_add(ends_in)
                .saturating_add(ends_in / CLOCK_ERROR_DIVISOR),
            details: notice.details,
        }
    }
}

/// A span on a clock that may run fast.
fn shortened(span: Micros) -> Micros {
    span - span / CLOCK_ERROR_DIVISOR
}

/// What holds all changes before the calendar is known.
fn unknown_calendar_window() -> ActiveWindow {
    ActiveWindow {
        until_ms: 0,
        scope: Default::default(),
        held_changes: Default::default(),
        reason: "the calendar is not known".to_string(),
        owner: "this sender".to_string(),
    }
}

#[cfg(test)]
mod tests;
