use super::*;

fn window(zone: &str, begin: &str, end: &str, every: Option<Recurrence>) -> FreezeWindow {
    let (reason, owner) = ("r".to_string(), "o".to_string());
    let (zone, begin, end) = (zone.to_string(), begin.to_string(), end.to_string());
    FreezeWindow {
        zone,
        begin,
        end,
        recurrence: every,
        scope: Default::default(),
        held_changes: Default::default(),
        reason,
        owner,
    }
}

fn at(text: &str) -> u64 {
    ms(text.parse().expect("a time"))
}

fn both(ms: u64) -> Clocks {
    Clocks {
        wall_ms: ms,
        log_ms: ms,
    }
}

fn with(window: FreezeWindow) -> FreezeState {
    let mut freeze = FreezeState::default();
    let calendar = FreezeCalendar {
        windows: [("w".to_string(), window)].into(),
    };
    calendar.check_times().expect("good");
    freeze
        .apply(FreezeEntry::PutCalendar {
            calendar,
            if_match: None,
        })
        .expect("put");
    freeze
        .apply(FreezeEntry::SettleCalendar(1))
        .expect("settled");
    freeze
}

/// Has a leader's proposals applied at a time; whether the window is on after that.
fn on_at(freeze: &mut FreezeState, clocks: Clocks) -> bool {
    freeze
        .due_entries(clocks)
        .into_iter()
        .for_each(|entry| freeze.apply(entry).expect("applied"));
    assert!(
        freeze.due_entries(clocks).is_empty(),
        "nothing is due twice"
    );
    !freeze.active_windows().is_empty()
}

#[test]
fn a_window_is_on_by_its_zone_a_little_early_and_a_little_late() {
    let tet = window(
        "Asia/Ho_Chi_Minh",
        "2027-02-04T00:00",
        "2027-02-12T00:00",
        None,
    );
    let mut freeze = with(tet);
    let (begin, end) = (at("2027-02-03T17:00:00Z"), at("2027-02-11T17:00:00Z"));
    for (time, on) in [
        (begin - MAX_CLOCK_SKEW_MS - 1, false),
        (begin - MAX_CLOCK_SKEW_MS, true),
        (end, true),
        (end + MAX_CLOCK_SKEW_MS - 1, true),
        (end + MAX_CLOCK_SKEW_MS, false),
    ] {
        assert_eq!(on_at(&mut freeze, both(time)), on, "at {time}");
    }
    assert_eq!(freeze.calendar().ended_windows(end), [&"w".to_string()]);
}

#[test]
fn a_clock_that_jumps_neither_opens_a_window_nor_skips_one() {
    let mut freeze = with(window("UTC", "2027-01-01T00:00", "2027-01-02T00:00", None));
    let (begin, end, day) = (
        at("2027-01-01T00:00:00Z"),
        at("2027-01-02T00:00:00Z"),
        24 * 3600 * 1000,
    );
    assert!(on_at(&mut freeze, both(begin)));
    // the leader's clock is a day ahead, then a day behind: the log's is carried on
    for wall_ms in [begin + 2 * day, begin - day] {
        let clocks = Clocks {
            wall_ms,
            log_ms: begin + 1000,
        };
        assert!(clocks.differ() && on_at(&mut freeze, clocks));
    }
    assert!(on_at(
        &mut freeze,
        Clocks {
            wall_ms: end + day,
            log_ms: end
        }
    ));
    assert!(!on_at(&mut freeze, both(end + MAX_CLOCK_SKEW_MS)));
}

#[test]
fn hours_that_a_zone_skips_or_repeats_make_a_window_longer() {
    // clocks go from 02:00 to 03:00, and later from 03:00 to 02:00
    let spring = window(
        "Europe/Berlin",
        "2027-03-28T02:30",
        "2027-03-28T04:00",
        None,
    );
    assert_eq!(
        spring.spans(0),
        Ok(vec![(
            at("2027-03-28T00:30:00Z"),
            at("2027-03-28T02:00:00Z")
        )])
    );
    let autumn = window(
        "Europe/Berlin",
        "2027-10-31T02:15",
        "2027-10-31T02:45",
        None,
    );
    assert_eq!(
        autumn.spans(0),
        Ok(vec![(
            at("2027-10-31T00:15:00Z"),
            at("2027-10-31T01:45:00Z")
        )])
    );
}

#[test]
fn windows_come_again() {
    let weekly = window(
        "Asia/Ho_Chi_Minh",
        "2027-01-01T18:00",
        "2027-01-02T06:00",
        Some(Recurrence::Week),
    );
    let spans = weekly.spans(at("2027-03-10T00:00:00Z")).expect("read");
    assert_eq!(
        spans[0],
        (at("2027-03-12T11:00:00Z"), at("2027-03-12T23:00:00Z"))
    );
    assert_eq!(spans[1].0 - spans[0].0, 7 * 24 * 3600 * 1000);
    let yearly = window(
        "UTC",
        "2024-02-29T00:00",
        "2024-03-02T00:00",
        Some(Recurrence::Year),
    );
    let spans = yearly.spans(at("2026-12-01T00:00:00Z")).expect("read");
    assert_eq!(
        spans[0],
        (at("2027-02-28T00:00:00Z"), at("2027-03-02T00:00:00Z"))
    );
    // over the turn of the year
    let turn = window(
        "UTC",
        "2025-12-30T00:00",
        "2026-01-03T00:00",
        Some(Recurrence::Year),
    );
    let spans = turn.spans(at("2028-01-01T00:00:00Z")).expect("read");
    assert_eq!(
        spans[0],
        (at("2027-12-30T00:00:00Z"), at("2028-01-03T00:00:00Z"))
    );
}

#[test]
fn what_makes_no_sense_is_named() {
    for (bad, told) in [
        (
            window("Asia/Hue", "2027-01-01T00:00", "2027-01-02T00:00", None),
            "zone Asia/Hue is not known",
        ),
        (
            window("UTC", "2027-01-01T00:00", "2027-01-01T00:00", None),
            "no length",
        ),
        (
            window("UTC", "tomorrow", "2027-01-01T00:00", None),
            "tomorrow",
        ),
        (
            window(
                "UTC",
                "2027-01-01T00:00",
                "2027-01-09T00:00",
                Some(Recurrence::Week),
            ),
            "on again",
        ),
    ] {
        let calendar = FreezeCalendar {
            windows: [("w".to_string(), bad)].into(),
        };
        let error = calendar.check_times().expect_err(told).to_string();
        assert!(
            error.starts_with("window w: ") && error.contains(told),
            "{error}"
        );
    }
}
