//! The freeze calendar as operators write it.

use super::change::{ChangeKind, Scope};
use super::error::FreezeError;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Windows that a calendar may have, and the longest text in it.
pub(super) const MAX_WINDOWS: usize = 256;

const MAX_TEXT_BYTES: usize = 256;

/// How a window comes again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Recurrence {
    /// Each week, from its begin on.
    Week,
    /// Each year, on the same dates.
    Year,
}

/// One window of the calendar, in the local time of a zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FreezeWindow {
    /// The time zone, like Asia/Ho_Chi_Minh.
    pub zone: String,
    /// When it begins: 2027-02-04T00:00.
    pub begin: String,
    /// When it ends.
    pub end: String,
    /// How it comes again; once where not given.
    #[serde(default)]
    #[serde(rename = "every")]
    pub recurrence: Option<Recurrence>,
    /// What it concerns.
    #[serde(default)]
    pub scope: Scope,
    /// What it holds; all that widens where not given.
    #[serde(default)]
    #[serde(rename = "holds")]
    pub held_changes: BTreeSet<ChangeKind>,
    /// Why.
    pub reason: String,
    /// Who answers for it.
    pub owner: String,
}

/// The windows by their names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FreezeCalendar {
    /// The windows.
    #[serde(default)]
    pub windows: BTreeMap<String, FreezeWindow>,
}

pub(super) fn is_text(text: &str) -> bool {
    (1..=MAX_TEXT_BYTES).contains(&text.len())
}

impl FreezeCalendar {
    /// Checks what needs no clock and no table of zones.
    pub(super) fn validate(&self) -> Result<(), FreezeError> {
        if self.windows.len() > MAX_WINDOWS {
            return Err(FreezeError::TooManyWindows);
        }
        for (name, window) in &self.windows {
            let texts = [name, &window.zone, &window.reason, &window.owner];
            if !texts.into_iter().all(|text| is_text(text)) {
                let problem = "name, zone, reason and owner have 1 to 256 bytes".to_string();
                return Err(FreezeError::InvalidWindow {
                    window: name.clone(),
                    problem,
                });
            }
        }
        Ok(())
    }
}
