//! The sender's side of the freeze: which changes it accepts, by the last update from the registry and its own passed-in
//! time. Where it can't be sure it takes the strict side.

use super::active_window::{ActiveWindow, BreakGlassOverride, check_changes};
use super::change::ResourceChange;
use super::error::FreezeError;
use serde::Deserialize;
use std::collections::BTreeMap;
use versioned_config::Micros;

/// Part of a time told by which clocks may be wrong: windows begin so much early and end so much late.
const DRIFT: u64 = 100;

/// The name of the hold before anything is known.
const UNKNOWN: &str = "(not known yet)";

/// A window as the registry tells it: times from now, so that no clocks are compared.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct WindowNotice {
    /// Its name.
    pub window: String,
    /// When it begins, ms from now; 0: it is on.
    #[serde(default)]
    pub begins_in_ms: u64,
    /// When it ends, ms from now.
    pub ends_in_ms: u64,
    /// What it holds.
    #[serde(rename = "on")]
    pub details: ActiveWindow,
}

/// What the registry tells.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct FreezeUpdate {
    /// The calendar's version.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Windows that are on.
    #[serde(rename = "on")]
    pub active: Vec<WindowNotice>,
    /// Windows that begin soon.
    #[serde(rename = "soon")]
    pub upcoming: Vec<WindowNotice>,
    /// A glass that is broken.
    #[serde(default)]
    #[serde(rename = "glass")]
    pub break_glass_override: Option<BreakGlassOverride>,
    /// How long that lasts at least, ms.
    #[serde(default)]
    #[serde(rename = "glass_ends_in_ms")]
    pub override_ends_in_ms: u64,
}

#[derive(Debug, Clone)]
struct Known {
    rev: u64,
    windows: Vec<(Micros, Micros, WindowNotice)>,
    glass: Option<(BreakGlassOverride, Micros)>,
}

/// Judges changes of the list.
#[derive(Debug, Clone)]
pub struct FreezeCheck {
    /// Until when widening changes are held where nothing is known.
    unknown_until: Micros,
    known: Option<Known>,
}

impl FreezeCheck {
    /// Of a sender that starts now, and holds what widens for so long unless it hears of the calendar.
    pub fn new(now: Micros, unknown: Micros) -> Self {
        FreezeCheck {
            unknown_until: now + unknown,
            known: None,
        }
    }

    /// The registry's answer to a question that was asked then. A broken glass counts for no longer than `fresh`
    /// without another answer.
    pub fn apply_update(&mut self, asked: Micros, now: Micros, fresh: Micros, news: FreezeUpdate) {
        let windows = news.active.into_iter().chain(news.upcoming).map(|told| {
            let (begins, ends) = (
                told.begins_in_ms.saturating_mul(1000),
                told.ends_in_ms.saturating_mul(1000),
            );
            (
                asked + (begins - begins / DRIFT),
                now.saturating_add(ends).saturating_add(ends / DRIFT),
                told,
            )
        });
        let lasts = news.override_ends_in_ms.saturating_mul(1000);
        let glass = news
            .break_glass_override
            .map(|glass| (glass, asked + (lasts - lasts / DRIFT).min(fresh)));
        self.known = Some(Known {
            rev: news.revision,
            windows: windows.collect(),
            glass,
        });
    }

    /// The windows that are on.
    pub fn active_windows(&self, now: Micros) -> BTreeMap<String, ActiveWindow> {
        let Some(known) = &self.known else {
            let (reason, owner) = (
                "the calendar is not known".to_string(),
                "this sender".to_string(),
            );
            let on = ActiveWindow {
                until_ms: 0,
                scope: Default::default(),
                held_changes: Default::default(),
                reason,
                owner,
            };
            let unknown = (now < self.unknown_until).then(|| (UNKNOWN.to_string(), on));
            return unknown.into_iter().collect();
        };
        let on = known
            .windows
            .iter()
            .filter(|(begin, end, _)| *begin <= now && now < *end);
        on.map(|(_, _, told)| (told.window.clone(), told.details.clone()))
            .collect()
    }

    /// Judges a change that widens.
    ///
    /// # Errors
    /// A window holds it.
    pub fn check_changes(&self, now: Micros, matter: &ResourceChange) -> Result<(), FreezeError> {
        let glass = self.known.as_ref().and_then(|known| known.glass.as_ref());
        let glass = glass
            .filter(|(_, until)| now < *until)
            .map(|(glass, _)| glass);
        check_changes(
            &self.active_windows(now),
            glass,
            std::slice::from_ref(matter),
            false,
        )
    }

    /// The calendar's version that it goes by; none: it knows none.
    pub fn revision(&self) -> Option<u64> {
        self.known.as_ref().map(|known| known.rev)
    }
}

#[cfg(test)]
mod tests;
