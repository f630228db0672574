//! The freeze as the replicated log has it, and the entries that change it.

use super::active_window::{ActiveWindow, BreakGlassOverride, check_changes};
use super::calendar::{FreezeCalendar, is_text};
use super::change::ResourceChange;
use super::error::FreezeError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest time for which the glass may be broken, ms.
const GLASS_MOST_MS: u64 = 24 * 3600 * 1000;

/// What is proposed to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FreezeEntry {
    /// Another calendar: from now on its windows and those of the one before are in force.
    PutCalendar {
        /// The calendar.
        calendar: FreezeCalendar,
        /// Only if this version holds.
        if_match: Option<u64>,
    },
    /// The windows of the calendar before this version are in force no more.
    SettleCalendar(u64),
    /// A window begins.
    BeginWindow(String, ActiveWindow),
    /// A window ends.
    EndWindow(String),
    /// The glass is broken.
    BreakGlass {
        /// By whom, for what.
        break_glass_override: BreakGlassOverride,
        /// What time the log's clock showed.
        now_ms: u64,
    },
    /// It is whole again.
    EndOverride,
    /// The log's clock: it never goes back.
    AdvanceClock(u64),
}

/// The freeze as the log has it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreezeState {
    rev: u64,
    calendar: FreezeCalendar,
    /// The calendar before, while its windows are in force too.
    before: Option<FreezeCalendar>,
    on: BTreeMap<String, ActiveWindow>,
    glass: Option<BreakGlassOverride>,
    clock_ms: u64,
}

impl FreezeState {
    /// Applies an entry: all of it or nothing.
    ///
    /// # Errors
    /// Says why nothing was done.
    pub fn apply(&mut self, entry: FreezeEntry) -> Result<(), FreezeError> {
        match entry {
            FreezeEntry::PutCalendar { calendar, if_match } => {
                if let Some(wanted) = if_match.filter(|wanted| *wanted != self.rev) {
                    return Err(FreezeError::VersionMismatch {
                        now: self.rev,
                        wanted,
                    });
                }
                if calendar == self.calendar {
                    return Ok(());
                }
                if self.before.is_some() {
                    return Err(FreezeError::ChangeInProgress(self.rev));
                }
                calendar.validate()?;
                self.before = Some(std::mem::replace(&mut self.calendar, calendar));
                self.rev += 1;
            }
            FreezeEntry::SettleCalendar(rev) => {
                if rev == self.rev {
                    self.before = None;
                }
            }
            FreezeEntry::BeginWindow(name, on) => drop(self.on.insert(name, on)),
            FreezeEntry::EndWindow(name) => drop(self.on.remove(&name)),
            FreezeEntry::BreakGlass {
                break_glass_override: glass,
                now_ms,
            } => {
                let two = glass.approvers.len() == 2 && glass.approvers[0] != glass.approvers[1];
                let named = glass
                    .approvers
                    .iter()
                    .chain([&glass.reason])
                    .all(|text| is_text(text));
                if !two || !named {
                    return Err(FreezeError::InvalidOverride(
                        "it takes two names and a reason",
                    ));
                }
                if glass.until_ms <= now_ms || glass.until_ms - now_ms > GLASS_MOST_MS {
                    return Err(FreezeError::InvalidOverride("it has no end within a day"));
                }
                self.glass = Some(glass);
            }
            FreezeEntry::EndOverride => {
                self.glass.take().map(drop).ok_or(FreezeError::NoOverride)?
            }
            FreezeEntry::AdvanceClock(ms) => self.clock_ms = self.clock_ms.max(ms),
        }
        Ok(())
    }

    /// Judges changes that widen, beside others that relieve.
    ///
    /// # Errors
    /// A window that is on holds one of them, and no broken glass covers it.
    pub fn check_changes(
        &self,
        matters: &[ResourceChange],
        relieves: bool,
    ) -> Result<(), FreezeError> {
        check_changes(&self.on, self.glass.as_ref(), matters, relieves)
    }

    /// The first window that is on.
    pub fn first_active_window(&self) -> Option<&String> {
        self.on.keys().next().filter(|_| self.glass.is_none())
    }

    /// The calendar's version.
    pub fn revision(&self) -> u64 {
        self.rev
    }

    /// The calendar.
    pub fn calendar(&self) -> &FreezeCalendar {
        &self.calendar
    }

    /// The calendar before, while its windows are in force too.
    pub fn previous_calendar(&self) -> Option<&FreezeCalendar> {
        self.before.as_ref()
    }

    /// The windows that are on.
    pub fn active_windows(&self) -> &BTreeMap<String, ActiveWindow> {
        &self.on
    }

    /// The glass, if it is broken.
    pub fn break_glass_override(&self) -> Option<&BreakGlassOverride> {
        self.glass.as_ref()
    }

    /// The log's clock, Unix time in ms.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }
}

#[cfg(test)]
mod tests;
