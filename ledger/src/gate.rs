//! The sender's side of the freeze: which changes it accepts, by what the registry told it last and its own passed-in time. Where
//! it can't be sure it keeps the strict side.

use crate::freeze::{
    ActiveWindow, BreakGlassOverride, ChangeKind, FreezeError, ResourceChange, check_changes,
};
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

/// An endpoint as a list has it, as far as a freeze looks at it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSnapshot {
    /// It takes calls.
    pub up: bool,
    /// Its destination.
    pub destination: u64,
    /// Its zone.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
}

/// What a list's entry widens against what is known of the endpoint; none: it widens nothing.
pub fn resource_change(
    before: Option<&EndpointSnapshot>,
    after: &EndpointSnapshot,
) -> Option<ResourceChange> {
    let of = |widening| {
        let mut matter = ResourceChange::of_all(widening);
        for seen in before.into_iter().chain([after]) {
            matter.zones.push(seen.zone.clone());
            matter.destinations.push(seen.destination);
        }
        matter
    };
    match before {
        _ if !after.up => None,
        None => Some(of(ChangeKind::Added)),
        Some(before) if (before.destination, &before.zone) != (after.destination, &after.zone) => {
            Some(of(ChangeKind::Moved))
        }
        Some(before) if !before.up => Some(of(ChangeKind::Restored)),
        Some(before) => (after.weight > before.weight).then(|| of(ChangeKind::Raised)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;

    fn told(begins_in_ms: u64, ends_in_ms: u64) -> WindowNotice {
        let (reason, owner) = ("r".to_string(), "o".to_string());
        let on = ActiveWindow {
            until_ms: 1,
            scope: Default::default(),
            held_changes: Default::default(),
            reason,
            owner,
        };
        WindowNotice {
            window: "w".to_string(),
            begins_in_ms,
            ends_in_ms,
            details: on,
        }
    }

    fn news(on: Vec<WindowNotice>, soon: Vec<WindowNotice>) -> FreezeUpdate {
        FreezeUpdate {
            revision: 1,
            active: on,
            upcoming: soon,
            break_glass_override: None,
            override_ends_in_ms: 0,
        }
    }

    fn held(gate: &FreezeCheck, now: Micros) -> bool {
        gate.check_changes(now, &ResourceChange::of_all(ChangeKind::Added))
            .is_err()
    }

    #[test]
    fn one_that_knows_nothing_holds_for_its_time() {
        let mut gate = FreezeCheck::new(5 * SECOND, 10 * SECOND);
        assert!(held(&gate, 15 * SECOND - 1) && !held(&gate, 15 * SECOND));
        gate.apply_update(6 * SECOND, 6 * SECOND, SECOND, news(vec![], vec![]));
        assert!(!held(&gate, 7 * SECOND));
    }

    #[test]
    fn one_that_hears_nothing_more_goes_by_what_it_knows_on_the_strict_side() {
        let mut gate = FreezeCheck::new(0, 0);
        // asked at 10, answered at 11: on in 100 s, over in 200 s
        gate.apply_update(
            10 * SECOND,
            11 * SECOND,
            SECOND,
            news(vec![], vec![told(100_000, 200_000)]),
        );
        for (at, on) in [(108, false), (109, true), (212, true), (213, false)] {
            assert_eq!(held(&gate, at * SECOND), on, "at {at} s");
        }
    }

    #[test]
    fn a_broken_glass_lasts_no_longer_than_it_is_confirmed() {
        let mut gate = FreezeCheck::new(0, 0);
        let glass = BreakGlassOverride {
            approvers: vec!["a".into(), "b".into()],
            reason: "r".into(),
            scope: Default::default(),
            until_ms: 9,
        };
        let news = FreezeUpdate {
            break_glass_override: Some(glass),
            override_ends_in_ms: 600_000,
            ..news(vec![told(0, 900_000)], vec![])
        };
        gate.apply_update(SECOND, SECOND, 3 * SECOND, news);
        assert!(!held(&gate, 3 * SECOND) && held(&gate, 4 * SECOND));
    }

    #[test]
    fn what_relieves_widens_nothing() {
        let seen = |up, destination, weight| EndpointSnapshot {
            up,
            destination,
            zone: "a".into(),
            weight,
        };
        let kind = |before: Option<&EndpointSnapshot>, after| {
            resource_change(before, &after).map(|matter| matter.kind)
        };
        let before = seen(true, 7, 1.0);
        assert_eq!(kind(None, seen(true, 7, 1.0)), Some(ChangeKind::Added));
        assert_eq!(kind(None, seen(false, 7, 1.0)), None);
        assert_eq!(kind(Some(&before), seen(false, 7, 2.0)), None);
        assert_eq!(
            kind(Some(&before), seen(true, 8, 1.0)),
            Some(ChangeKind::Moved)
        );
        assert_eq!(
            kind(Some(&before), seen(true, 7, 1.5)),
            Some(ChangeKind::Raised)
        );
        assert_eq!(kind(Some(&before), seen(true, 7, 0.5)), None);
        assert_eq!(
            kind(Some(&seen(false, 7, 1.0)), seen(true, 7, 1.0)),
            Some(ChangeKind::Restored)
        );
    }
}
