//! The freeze: windows in which nobody changes the topology, as the log has them, and what they hold. When a window is on
//! is what the log says; what the windows mean on a clock is in [`crate::calendar`], which the registry alone needs.
//! `docs/freeze.md` has the table of changes.

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use thiserror::Error;

/// Windows that a calendar may have, and the longest text in it.
const WINDOWS_MOST: usize = 256;
const TEXT_MOST: usize = 256;
/// Longest time for which the glass may be broken, ms.
const GLASS_MOST_MS: u64 = 24 * 3600 * 1000;

/// A change that widens the topology. What relieves (a drain, a removal, less weight, a lower limit) has no kind: it passes at
/// any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// An endpoint is added.
    Added,
    /// It goes to another destination or zone.
    Moved,
    /// It is back after a drain.
    #[serde(rename = "back")]
    Restored,
    /// A weight or a limit is raised, or a limit removed.
    Raised,
    /// Rules that allow what those before forbid.
    Rules,
    /// A range of the ledger is split.
    Split,
    /// A replica is added.
    Replica,
}

impl fmt::Display for ChangeKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ChangeKind::Added => "an endpoint is added",
            ChangeKind::Moved => "an endpoint is moved",
            ChangeKind::Restored => "an endpoint comes back after a drain",
            ChangeKind::Raised => "a weight or limit is raised",
            ChangeKind::Rules => "rules are made freer",
            ChangeKind::Split => "a range is split",
            ChangeKind::Replica => "a replica is added",
        })
    }
}

/// A widening change, and what it concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResourceChange {
    /// What it does.
    pub kind: ChangeKind,
    /// Zones that it concerns.
    pub zones: Vec<String>,
    /// Destinations that it concerns.
    pub destinations: Vec<u64>,
    /// Tenants that it concerns.
    pub tenants: Vec<String>,
}

impl ResourceChange {
    /// One that concerns all.
    pub fn of_all(widening: ChangeKind) -> Self {
        ResourceChange {
            kind: widening,
            zones: Vec::new(),
            destinations: Vec::new(),
            tenants: Vec::new(),
        }
    }
}

/// What a window or a broken glass concerns; all where nothing is named.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scope {
    /// Zones.
    pub zones: BTreeSet<String>,
    /// Destinations.
    pub destinations: BTreeSet<u64>,
    /// Tenants.
    pub tenants: BTreeSet<String>,
}

impl Scope {
    /// Whether it concerns all.
    pub fn is_all(&self) -> bool {
        self.zones.is_empty() && self.destinations.is_empty() && self.tenants.is_empty()
    }

    /// Whether a change has anything to do with it.
    fn touches(&self, matter: &ResourceChange) -> bool {
        self.is_all()
            || matter.zones.iter().any(|zone| self.zones.contains(zone))
            || matter
                .destinations
                .iter()
                .any(|destination| self.destinations.contains(destination))
            || matter
                .tenants
                .iter()
                .any(|tenant| self.tenants.contains(tenant))
    }

    /// Whether a change has to do with nothing else.
    fn covers(&self, matter: &ResourceChange) -> bool {
        let ResourceChange {
            zones,
            destinations,
            tenants,
            ..
        } = matter;
        let zones = !zones.is_empty() && zones.iter().all(|zone| self.zones.contains(zone));
        let destinations = !destinations.is_empty()
            && destinations
                .iter()
                .all(|destination| self.destinations.contains(destination));
        let tenants =
            !tenants.is_empty() && tenants.iter().all(|tenant| self.tenants.contains(tenant));
        self.is_all() || zones || destinations || tenants
    }
}

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

/// A window that is on, or is to come.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveWindow {
    /// When it ends by the calendar, Unix time in ms.
    pub until_ms: u64,
    /// What it concerns.
    pub scope: Scope,
    /// What it holds; all that widens where empty.
    #[serde(rename = "holds")]
    pub held_changes: BTreeSet<ChangeKind>,
    /// Why.
    pub reason: String,
    /// Who answers for it.
    pub owner: String,
}

impl ActiveWindow {
    /// Whether it holds a change.
    pub fn is_holding(&self, matter: &ResourceChange) -> bool {
        let kind = self.held_changes.is_empty() || self.held_changes.contains(&matter.kind);
        kind && self.scope.touches(matter)
    }
}

/// Two operators have let changes through for a while.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BreakGlassOverride {
    /// Who: two names.
    #[serde(rename = "by")]
    pub approvers: Vec<String>,
    /// Why.
    pub reason: String,
    /// For what; all where nothing is named.
    #[serde(default)]
    pub scope: Scope,
    /// Until when at the latest, Unix time in ms.
    pub until_ms: u64,
}

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

/// Why the freeze did not change, or a change of the topology is held.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum FreezeError {
    /// A window holds it.
    #[error("window {window} holds it until {until_ms} (Unix ms): {kind}; {reason} ({owner})")]
    #[diagnostic(
        code(freeze::held),
        help(
            "wait until it ends, ask its owner for another calendar, or break the glass with two names (POST /v1/freeze/glass)"
        )
    )]
    Held {
        /// Which.
        window: String,
        /// Until when.
        until_ms: u64,
        /// What is held.
        kind: ChangeKind,
        /// Why there is such a window.
        reason: String,
        /// Who answers for it.
        owner: String,
    },
    /// A batch relieves and widens.
    #[error("window {0} holds a part of the batch, and the rest relieves: nothing of it is done")]
    #[diagnostic(
        code(freeze::mixed),
        help("send what relieves by itself: it passes at any time")
    )]
    MixedBatch(String),
    /// It would leave a destination without an endpoint.
    #[error("window {window}: destination {destination} would be left without an endpoint")]
    #[diagnostic(
        code(freeze::last),
        help("no endpoint can be added while it is on; add ?force=1 if it has to go all the same")
    )]
    LastEndpoint {
        /// The window that is on.
        window: String,
        /// Which destination.
        destination: u64,
    },
    /// A window makes no sense.
    #[error("window {window}: {problem}")]
    #[diagnostic(
        code(freeze::window),
        help(
            "give zone (like Asia/Ho_Chi_Minh), begin and end (like 2027-02-04T00:00, the end later), reason and owner"
        )
    )]
    InvalidWindow {
        /// Which.
        window: String,
        /// What is wrong.
        problem: String,
    },
    /// There are too many.
    #[error("more than {WINDOWS_MOST} windows")]
    #[diagnostic(code(freeze::many), help("take out windows that have ended"))]
    TooManyWindows,
    /// Another calendar holds.
    #[error("the calendar has version {now}, not {wanted}")]
    #[diagnostic(
        code(freeze::version),
        help("read GET /v1/freeze again, and write with the version that it tells in If-Match")
    )]
    VersionMismatch {
        /// What it has.
        now: u64,
        /// What was wanted.
        wanted: u64,
    },
    /// The change before has not settled.
    #[error("the windows of the calendar before version {0} are still in force beside its own")]
    #[diagnostic(code(freeze::under_way), help("try again in some seconds"))]
    ChangeInProgress(u64),
    /// The glass can't be broken so.
    #[error("the glass is not broken: {0}")]
    #[diagnostic(
        code(freeze::glass),
        help("give two different names in by, a reason, and until_ms within the next 24 hours")
    )]
    InvalidOverride(&'static str),
    /// It is whole.
    #[error("the glass is whole")]
    #[diagnostic(
        code(freeze::whole),
        help("nothing is to be done: all windows that are on hold")
    )]
    NoOverride,
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

/// Judges changes by the windows that are on.
///
/// # Errors
/// Names the first window that holds one of them.
pub fn check_changes(
    on: &BTreeMap<String, ActiveWindow>,
    glass: Option<&BreakGlassOverride>,
    matters: &[ResourceChange],
    relieves: bool,
) -> Result<(), FreezeError> {
    for matter in matters {
        let broken = glass.is_some_and(|glass| glass.scope.covers(matter));
        let held = on.iter().find(|(_, on)| !broken && on.is_holding(matter));
        if let Some((
            window,
            ActiveWindow {
                until_ms,
                reason,
                owner,
                ..
            },
        )) = held
        {
            let window = window.clone();
            if relieves {
                return Err(FreezeError::MixedBatch(window));
            }
            let (reason, owner) = (reason.clone(), owner.clone());
            return Err(FreezeError::Held {
                window,
                until_ms: *until_ms,
                kind: matter.kind,
                reason,
                owner,
            });
        }
    }
    Ok(())
}

fn is_text(text: &str) -> bool {
    (1..=TEXT_MOST).contains(&text.len())
}

impl FreezeCalendar {
    /// Checks what needs no clock and no table of zones.
    fn validate(&self) -> Result<(), FreezeError> {
        if self.windows.len() > WINDOWS_MOST {
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

#[cfg(test)]
mod tests {
    use super::*;

    fn on(scope: Scope, holds: &[ChangeKind]) -> ActiveWindow {
        let (reason, owner) = ("term begins".to_string(), "lan".to_string());
        ActiveWindow {
            until_ms: 9,
            scope,
            held_changes: holds.iter().copied().collect(),
            reason,
            owner,
        }
    }

    fn added(zone: &str, destination: u64) -> ResourceChange {
        let (zones, destinations) = (vec![zone.to_string()], vec![destination]);
        ResourceChange {
            zones,
            destinations,
            ..ResourceChange::of_all(ChangeKind::Added)
        }
    }

    #[test]
    fn a_window_holds_what_it_names_and_nothing_else() {
        let mut freeze = FreezeState::default();
        let seven = Scope {
            destinations: [7].into(),
            ..Scope::default()
        };
        freeze
            .apply(FreezeEntry::BeginWindow(
                "w".into(),
                on(seven.clone(), &[ChangeKind::Added]),
            ))
            .expect("begun");
        assert!(matches!(
            freeze.check_changes(&[added("a", 7)], false),
            Err(FreezeError::Held { until_ms: 9, .. })
        ));
        assert_eq!(freeze.check_changes(&[added("a", 8)], false), Ok(()));
        let raised = ResourceChange {
            kind: ChangeKind::Raised,
            ..added("a", 7)
        };
        assert_eq!(freeze.check_changes(&[raised], false), Ok(()));
        assert_eq!(
            freeze.check_changes(&[added("a", 7)], true),
            Err(FreezeError::MixedBatch("w".into()))
        );
        // of all: rules and replicas too
        assert_eq!(
            freeze.check_changes(&[ResourceChange::of_all(ChangeKind::Rules)], false),
            Ok(())
        );
        freeze
            .apply(FreezeEntry::BeginWindow(
                "v".into(),
                on(Scope::default(), &[]),
            ))
            .expect("begun");
        assert!(
            freeze
                .check_changes(&[ResourceChange::of_all(ChangeKind::Rules)], false)
                .is_err()
        );
        freeze
            .apply(FreezeEntry::EndWindow("v".into()))
            .expect("ended");
        freeze
            .apply(FreezeEntry::EndWindow("w".into()))
            .expect("ended");
        assert_eq!(freeze.check_changes(&[added("a", 7)], false), Ok(()));
    }

    #[test]
    fn the_glass_takes_two_names_an_end_and_lets_its_scope_through() {
        let mut freeze = FreezeState::default();
        freeze
            .apply(FreezeEntry::BeginWindow(
                "w".into(),
                on(Scope::default(), &[]),
            ))
            .expect("begun");
        let seven = Scope {
            destinations: [7].into(),
            ..Scope::default()
        };
        let glass = |by: &[&str], until_ms| {
            let by = by.iter().map(|name| name.to_string()).collect();
            let glass = BreakGlassOverride {
                approvers: by,
                reason: "pump fails".into(),
                scope: seven.clone(),
                until_ms,
            };
            FreezeEntry::BreakGlass {
                break_glass_override: glass,
                now_ms: 1000,
            }
        };
        for bad in [
            glass(&["lan"], 2000),
            glass(&["lan", "lan"], 2000),
            glass(&["lan", "minh"], 900),
            glass(&["lan", "minh"], u64::MAX),
        ] {
            assert!(matches!(
                freeze.apply(bad),
                Err(FreezeError::InvalidOverride(_))
            ));
        }
        freeze.apply(glass(&["lan", "minh"], 2000)).expect("broken");
        assert_eq!(freeze.check_changes(&[added("a", 7)], false), Ok(()));
        assert!(freeze.check_changes(&[added("a", 8)], false).is_err());
        // one that moves between a destination in scope and one that is not
        let moved = ResourceChange {
            destinations: vec![7, 8],
            zones: vec![],
            ..added("a", 7)
        };
        assert!(freeze.check_changes(&[moved], false).is_err());
        freeze.apply(FreezeEntry::EndOverride).expect("mended");
        assert!(freeze.check_changes(&[added("a", 7)], false).is_err());
        assert_eq!(
            freeze.apply(FreezeEntry::EndOverride),
            Err(FreezeError::NoOverride)
        );
    }

    #[test]
    fn of_two_calendars_both_are_in_force_until_it_settles() {
        let mut freeze = FreezeState::default();
        let window = FreezeWindow {
            zone: "UTC".into(),
            begin: "2027-01-01T00:00".into(),
            end: "2027-01-02T00:00".into(),
            recurrence: None,
            scope: Scope::default(),
            held_changes: BTreeSet::new(),
            reason: "r".into(),
            owner: "o".into(),
        };
        let one = FreezeCalendar {
            windows: [("w".to_string(), window)].into(),
        };
        let put = |calendar: &FreezeCalendar, if_match| FreezeEntry::PutCalendar {
            calendar: calendar.clone(),
            if_match,
        };
        freeze.apply(put(&one, Some(0))).expect("put");
        freeze
            .apply(put(&one, None))
            .expect("the same makes no version");
        let none = FreezeCalendar::default();
        assert_eq!(
            freeze.apply(put(&none, Some(0))),
            Err(FreezeError::VersionMismatch { now: 1, wanted: 0 })
        );
        assert_eq!(
            freeze.apply(put(&none, None)),
            Err(FreezeError::ChangeInProgress(1))
        );
        freeze
            .apply(FreezeEntry::SettleCalendar(0))
            .expect("no fault");
        assert_eq!(freeze.previous_calendar(), Some(&none));
        freeze
            .apply(FreezeEntry::SettleCalendar(1))
            .expect("settled");
        freeze.apply(put(&none, None)).expect("put");
        assert_eq!(
            (freeze.revision(), freeze.previous_calendar()),
            (2, Some(&one))
        );
    }
}
