//! The freeze as the replicated log has it, and the entries that change it.

use super::active_window::{ActiveWindow, BreakGlassOverride, check_changes};
use super::calendar::{FreezeCalendar, is_text};
use super::change::ResourceChange;
use super::error::FreezeError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest break-glass override, in ms.
const MAX_OVERRIDE_MS: u64 = 24 * 3600 * 1000;

/// A change of the freeze that is proposed to the replicated log.
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
    /// A break-glass override begins.
    BreakGlass {
        /// By whom, for what.
        break_glass_override: BreakGlassOverride,
        /// What time the log's clock showed.
        now_ms: u64,
    },
    /// The override ends.
    EndOverride,
    /// The log's clock: it never goes back.
    AdvanceClock(u64),
}

/// The freeze as the log has it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreezeState {
    revision: u64,
    calendar: FreezeCalendar,
    /// The calendar before, while its windows are in force too.
    previous_calendar: Option<FreezeCalendar>,
    active_windows: BTreeMap<String, ActiveWindow>,
    break_glass_override: Option<BreakGlassOverride>,
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
                self.put_calendar(calendar, if_match)?;
            }
            FreezeEntry::SettleCalendar(revision) => {
                if revision == self.revision {
                    self.previous_calendar = None;
                }
            }
            FreezeEntry::BeginWindow(name, window) => {
                self.active_windows.insert(name, window);
            }
            FreezeEntry::EndWindow(name) => {
                self.active_windows.remove(&name);
            }
            FreezeEntry::BreakGlass {
                break_glass_override,
                now_ms,
            } => {
                check_override(&break_glass_override, now_ms)?;
                self.break_glass_override = Some(break_glass_override);
            }
            FreezeEntry::EndOverride => self
                .break_glass_override
                .take()
                .map(drop)
                .ok_or(FreezeError::NoOverride)?,
            FreezeEntry::AdvanceClock(ms) => self.clock_ms = self.clock_ms.max(ms),
        }
        Ok(())
    }

    fn put_calendar(
        &mut self,
        calendar: FreezeCalendar,
        if_match: Option<u64>,
    ) -> Result<(), FreezeError> {
        if let Some(wanted) = if_match.filter(|wanted| *wanted != self.revision) {
            return Err(FreezeError::VersionMismatch {
                now: self.revision,
                wanted,
            });
        }
        if calendar == self.calendar {
            return Ok(());
        }
        if self.previous_calendar.is_some() {
            return Err(FreezeError::ChangeInProgress(self.revision));
        }
        calendar.validate()?;
        self.previous_calendar = Some(std::mem::replace(&mut self.calendar, calendar));
        self.revision += 1;
        Ok(())
    }

    /// Checks changes that expand the topology; `has_reductions`: there are others in the batch that reduce it.
    ///
    /// # Errors
    /// An active window holds one of them, and no override covers it.
    pub fn check_changes(
        &self,
        changes: &[ResourceChange],
        has_reductions: bool,
    ) -> Result<(), FreezeError> {
        check_changes(
            &self.active_windows,
            self.break_glass_override.as_ref(),
            changes,
            has_reductions,
        )
    }

    /// The first active window, unless there is an override.
    pub fn first_active_window(&self) -> Option<&String> {
        self.active_windows
            .keys()
            .next()
            .filter(|_| self.break_glass_override.is_none())
    }

    /// The revision of the calendar.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The calendar.
    pub fn calendar(&self) -> &FreezeCalendar {
        &self.calendar
    }

    /// The calendar before, while its windows are in force too.
    pub fn previous_calendar(&self) -> Option<&FreezeCalendar> {
        self.previous_calendar.as_ref()
    }

    /// The active windows.
    pub fn active_windows(&self) -> &BTreeMap<String, ActiveWindow> {
        &self.active_windows
    }

    /// The break-glass override, if there is one.
    pub fn break_glass_override(&self) -> Option<&BreakGlassOverride> {
        self.break_glass_override.as_ref()
    }

    /// The log's clock, Unix time in ms.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }
}

fn check_override(
    break_glass_override: &BreakGlassOverride,
    now_ms: u64,
) -> Result<(), FreezeError> {
    let BreakGlassOverride {
        approvers,
        reason,
        until_ms,
        ..
    } = break_glass_override;
    let has_two_approvers = approvers.len() == 2 && approvers[0] != approvers[1];
    let has_texts = approvers.iter().chain([reason]).all(|text| is_text(text));
    if !has_two_approvers || !has_texts {
        return Err(FreezeError::InvalidOverride(
            "it takes two names and a reason",
        ));
    }
    if *until_ms <= now_ms || until_ms - now_ms > MAX_OVERRIDE_MS {
        return Err(FreezeError::InvalidOverride("it has no end within a day"));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
