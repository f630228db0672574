use super::super::ChangeKind;
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
