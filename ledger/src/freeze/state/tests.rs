use super::super::{ChangeKind, FreezeWindow, Scope};
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
        held_changes: Default::default(),
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
