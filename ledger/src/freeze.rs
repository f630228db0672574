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
pub enum Widening {
    /// An endpoint is added.
    Added,
    /// It goes to another destination or zone.
    Moved,
    /// It is back after a drain.
    Back,
    /// A weight or a limit is raised, or a limit removed.
    Raised,
    /// Rules that allow what those before forbid.
    Rules,
    /// A range of the ledger is split.
    Split,
    /// A replica is added.
    Replica,
}

impl fmt::Display for Widening {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Widening::Added => "an endpoint is added",
            Widening::Moved => "an endpoint is moved",
            Widening::Back => "an endpoint comes back after a drain",
            Widening::Raised => "a weight or limit is raised",
            Widening::Rules => "rules are made freer",
            Widening::Split => "a range is split",
            Widening::Replica => "a replica is added",
        })
    }
}

/// A widening change, and what it concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Matter {
    /// What it does.
    pub widening: Widening,
    /// Zones that it concerns.
    pub zones: Vec<String>,
    /// Destinations that it concerns.
    pub destinations: Vec<u64>,
    /// Tenants that it concerns.
    pub tenants: Vec<String>,
}

impl Matter {
    /// One that concerns all.
    pub fn of_all(widening: Widening) -> Self {
        Matter {
            widening,
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
    fn touches(&self, matter: &Matter) -> bool {
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
    fn covers(&self, matter: &Matter) -> bool {
        let Matter {
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
pub enum Every {
    /// Each week, from its begin on.
    Week,
    /// Each year, on the same dates.
    Year,
}

/// One window of the calendar, in the local time of a zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// The time zone, like Asia/Ho_Chi_Minh.
    pub zone: String,
    /// When it begins: 2027-02-04T00:00.
    pub begin: String,
    /// When it ends.
    pub end: String,
    /// How it comes again; once where not given.
    #[serde(default)]
    pub every: Option<Every>,
    /// What it concerns.
    #[serde(default)]
    pub scope: Scope,
    /// What it holds; all that widens where not given.
    #[serde(default)]
    pub holds: BTreeSet<Widening>,
    /// Why.
    pub reason: String,
    /// Who answers for it.
    pub owner: String,
}

/// The windows by their names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Calendar {
    /// The windows.
    #[serde(default)]
    pub windows: BTreeMap<String, Window>,
}

/// A window that is on, or is to come.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct On {
    /// When it ends by the calendar, Unix time in ms.
    pub until_ms: u64,
    /// What it concerns.
    pub scope: Scope,
    /// What it holds; all that widens where empty.
    pub holds: BTreeSet<Widening>,
    /// Why.
    pub reason: String,
    /// Who answers for it.
    pub owner: String,
}

impl On {
    /// Whether it holds a change.
    pub fn holds(&self, matter: &Matter) -> bool {
        let kind = self.holds.is_empty() || self.holds.contains(&matter.widening);
        kind && self.scope.touches(matter)
    }
}

/// Two operators have let changes through for a while.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Glass {
    /// Who: two names.
    pub by: Vec<String>,
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
    Put {
        /// The calendar.
        calendar: Calendar,
        /// Only if this version holds.
        if_match: Option<u64>,
    },
    /// The windows of the calendar before this version are in force no more.
    Settle(u64),
    /// A window begins.
    Begin(String, On),
    /// A window ends.
    End(String),
    /// The glass is broken.
    Break {
        /// By whom, for what.
        glass: Glass,
        /// What time the log's clock showed.
        now_ms: u64,
    },
    /// It is whole again.
    Mend,
    /// The log's clock: it never goes back.
    Clock(u64),
}

/// Why the freeze did not change, or a change of the topology is held.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum FreezeError {
    /// A window holds it.
    #[error("window {window} holds it until {until_ms} (Unix ms): {widening}; {reason} ({owner})")]
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
        widening: Widening,
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
    Mixed(String),
    /// It would leave a destination without an endpoint.
    #[error("window {window}: destination {destination} would be left without an endpoint")]
    #[diagnostic(
        code(freeze::last),
        help("no endpoint can be added while it is on; add ?force=1 if it has to go all the same")
    )]
    Last {
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
    Window {
        /// Which.
        window: String,
        /// What is wrong.
        problem: String,
    },
    /// There are too many.
    #[error("more than {WINDOWS_MOST} windows")]
    #[diagnostic(code(freeze::many), help("take out windows that have ended"))]
    Many,
    /// Another calendar holds.
    #[error("the calendar has version {now}, not {wanted}")]
    #[diagnostic(
        code(freeze::version),
        help("read GET /v1/freeze again, and write with the version that it tells in If-Match")
    )]
    Version {
        /// What it has.
        now: u64,
        /// What was wanted.
        wanted: u64,
    },
    /// The change before has not settled.
    #[error("the windows of the calendar before version {0} are still in force beside its own")]
    #[diagnostic(code(freeze::under_way), help("try again in some seconds"))]
    UnderWay(u64),
    /// The glass can't be broken so.
    #[error("the glass is not broken: {0}")]
    #[diagnostic(
        code(freeze::glass),
        help("give two different names in by, a reason, and until_ms within the next 24 hours")
    )]
    Glass(&'static str),
    /// It is whole.
    #[error("the glass is whole")]
    #[diagnostic(
        code(freeze::whole),
        help("nothing is to be done: all windows that are on hold")
    )]
    Whole,
}

/// The freeze as the log has it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freeze {
    rev: u64,
    calendar: Calendar,
    /// The calendar before, while its windows are in force too.
    before: Option<Calendar>,
    on: BTreeMap<String, On>,
    glass: Option<Glass>,
    clock_ms: u64,
}

impl Freeze {
    /// Applies an entry: all of it or nothing.
    ///
    /// # Errors
    /// Says why nothing was done.
    pub fn apply(&mut self, entry: FreezeEntry) -> Result<(), FreezeError> {
        match entry {
            FreezeEntry::Put { calendar, if_match } => {
                if let Some(wanted) = if_match.filter(|wanted| *wanted != self.rev) {
                    return Err(FreezeError::Version {
                        now: self.rev,
                        wanted,
                    });
                }
                if calendar == self.calendar {
                    return Ok(());
                }
                if self.before.is_some() {
                    return Err(FreezeError::UnderWay(self.rev));
                }
                calendar.validate()?;
                self.before = Some(std::mem::replace(&mut self.calendar, calendar));
                self.rev += 1;
            }
            FreezeEntry::Settle(rev) => {
                if rev == self.rev {
                    self.before = None;
                }
            }
            FreezeEntry::Begin(name, on) => drop(self.on.insert(name, on)),
            FreezeEntry::End(name) => drop(self.on.remove(&name)),
            FreezeEntry::Break { glass, now_ms } => {
                let two = glass.by.len() == 2 && glass.by[0] != glass.by[1];
                let named = glass
                    .by
                    .iter()
                    .chain([&glass.reason])
                    .all(|text| is_text(text));
                if !two || !named {
                    return Err(FreezeError::Glass("it takes two names and a reason"));
                }
                if glass.until_ms <= now_ms || glass.until_ms - now_ms > GLASS_MOST_MS {
                    return Err(FreezeError::Glass("it has no end within a day"));
                }
                self.glass = Some(glass);
            }
            FreezeEntry::Mend => self.glass.take().map(drop).ok_or(FreezeError::Whole)?,
            FreezeEntry::Clock(ms) => self.clock_ms = self.clock_ms.max(ms),
        }
        Ok(())
    }

    /// Judges changes that widen, beside others that relieve.
    ///
    /// # Errors
    /// A window that is on holds one of them, and no broken glass covers it.
    pub fn judge(&self, matters: &[Matter], relieves: bool) -> Result<(), FreezeError> {
        judge(&self.on, self.glass.as_ref(), matters, relieves)
    }

    /// The first window that is on.
    pub fn first_on(&self) -> Option<&String> {
        self.on.keys().next().filter(|_| self.glass.is_none())
    }

    /// The calendar's version.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// The calendar.
    pub fn calendar(&self) -> &Calendar {
        &self.calendar
    }

    /// The calendar before, while its windows are in force too.
    pub fn before(&self) -> Option<&Calendar> {
        self.before.as_ref()
    }

    /// The windows that are on.
    pub fn on(&self) -> &BTreeMap<String, On> {
        &self.on
    }

    /// The glass, if it is broken.
    pub fn glass(&self) -> Option<&Glass> {
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
pub fn judge(
    on: &BTreeMap<String, On>,
    glass: Option<&Glass>,
    matters: &[Matter],
    relieves: bool,
) -> Result<(), FreezeError> {
    for matter in matters {
        let broken = glass.is_some_and(|glass| glass.scope.covers(matter));
        let held = on.iter().find(|(_, on)| !broken && on.holds(matter));
        if let Some((
            window,
            On {
                until_ms,
                reason,
                owner,
                ..
            },
        )) = held
        {
            let window = window.clone();
            if relieves {
                return Err(FreezeError::Mixed(window));
            }
            let (reason, owner) = (reason.clone(), owner.clone());
            return Err(FreezeError::Held {
                window,
                until_ms: *until_ms,
                widening: matter.widening,
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

impl Calendar {
    /// Checks what needs no clock and no table of zones.
    fn validate(&self) -> Result<(), FreezeError> {
        if self.windows.len() > WINDOWS_MOST {
            return Err(FreezeError::Many);
        }
        for (name, window) in &self.windows {
            let texts = [name, &window.zone, &window.reason, &window.owner];
            if !texts.into_iter().all(|text| is_text(text)) {
                let problem = "name, zone, reason and owner have 1 to 256 bytes".to_string();
                return Err(FreezeError::Window {
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

    fn on(scope: Scope, holds: &[Widening]) -> On {
        let (reason, owner) = ("term begins".to_string(), "lan".to_string());
        On {
            until_ms: 9,
            scope,
            holds: holds.iter().copied().collect(),
            reason,
            owner,
        }
    }

    fn added(zone: &str, destination: u64) -> Matter {
        let (zones, destinations) = (vec![zone.to_string()], vec![destination]);
        Matter {
            zones,
            destinations,
            ..Matter::of_all(Widening::Added)
        }
    }

    #[test]
    fn a_window_holds_what_it_names_and_nothing_else() {
        let mut freeze = Freeze::default();
        let seven = Scope {
            destinations: [7].into(),
            ..Scope::default()
        };
        freeze
            .apply(FreezeEntry::Begin(
                "w".into(),
                on(seven.clone(), &[Widening::Added]),
            ))
            .expect("begun");
        assert!(matches!(
            freeze.judge(&[added("a", 7)], false),
            Err(FreezeError::Held { until_ms: 9, .. })
        ));
        assert_eq!(freeze.judge(&[added("a", 8)], false), Ok(()));
        let raised = Matter {
            widening: Widening::Raised,
            ..added("a", 7)
        };
        assert_eq!(freeze.judge(&[raised], false), Ok(()));
        assert_eq!(
            freeze.judge(&[added("a", 7)], true),
            Err(FreezeError::Mixed("w".into()))
        );
        // of all: rules and replicas too
        assert_eq!(
            freeze.judge(&[Matter::of_all(Widening::Rules)], false),
            Ok(())
        );
        freeze
            .apply(FreezeEntry::Begin("v".into(), on(Scope::default(), &[])))
            .expect("begun");
        assert!(
            freeze
                .judge(&[Matter::of_all(Widening::Rules)], false)
                .is_err()
        );
        freeze.apply(FreezeEntry::End("v".into())).expect("ended");
        freeze.apply(FreezeEntry::End("w".into())).expect("ended");
        assert_eq!(freeze.judge(&[added("a", 7)], false), Ok(()));
    }

    #[test]
    fn the_glass_takes_two_names_an_end_and_lets_its_scope_through() {
        let mut freeze = Freeze::default();
        freeze
            .apply(FreezeEntry::Begin("w".into(), on(Scope::default(), &[])))
            .expect("begun");
        let seven = Scope {
            destinations: [7].into(),
            ..Scope::default()
        };
        let glass = |by: &[&str], until_ms| {
            let by = by.iter().map(|name| name.to_string()).collect();
            let glass = Glass {
                by,
                reason: "pump fails".into(),
                scope: seven.clone(),
                until_ms,
            };
            FreezeEntry::Break {
                glass,
                now_ms: 1000,
            }
        };
        for bad in [
            glass(&["lan"], 2000),
            glass(&["lan", "lan"], 2000),
            glass(&["lan", "minh"], 900),
            glass(&["lan", "minh"], u64::MAX),
        ] {
            assert!(matches!(freeze.apply(bad), Err(FreezeError::Glass(_))));
        }
        freeze.apply(glass(&["lan", "minh"], 2000)).expect("broken");
        assert_eq!(freeze.judge(&[added("a", 7)], false), Ok(()));
        assert!(freeze.judge(&[added("a", 8)], false).is_err());
        // one that moves between a destination in scope and one that is not
        let moved = Matter {
            destinations: vec![7, 8],
            zones: vec![],
            ..added("a", 7)
        };
        assert!(freeze.judge(&[moved], false).is_err());
        freeze.apply(FreezeEntry::Mend).expect("mended");
        assert!(freeze.judge(&[added("a", 7)], false).is_err());
        assert_eq!(freeze.apply(FreezeEntry::Mend), Err(FreezeError::Whole));
    }

    #[test]
    fn of_two_calendars_both_are_in_force_until_it_settles() {
        let mut freeze = Freeze::default();
        let window = Window {
            zone: "UTC".into(),
            begin: "2027-01-01T00:00".into(),
            end: "2027-01-02T00:00".into(),
            every: None,
            scope: Scope::default(),
            holds: BTreeSet::new(),
            reason: "r".into(),
            owner: "o".into(),
        };
        let one = Calendar {
            windows: [("w".to_string(), window)].into(),
        };
        let put = |calendar: &Calendar, if_match| FreezeEntry::Put {
            calendar: calendar.clone(),
            if_match,
        };
        freeze.apply(put(&one, Some(0))).expect("put");
        freeze
            .apply(put(&one, None))
            .expect("the same makes no version");
        let none = Calendar::default();
        assert_eq!(
            freeze.apply(put(&none, Some(0))),
            Err(FreezeError::Version { now: 1, wanted: 0 })
        );
        assert_eq!(
            freeze.apply(put(&none, None)),
            Err(FreezeError::UnderWay(1))
        );
        freeze.apply(FreezeEntry::Settle(0)).expect("no fault");
        assert_eq!(freeze.before(), Some(&none));
        freeze.apply(FreezeEntry::Settle(1)).expect("settled");
        freeze.apply(put(&none, None)).expect("put");
        assert_eq!((freeze.rev(), freeze.before()), (2, Some(&one)));
    }
}
