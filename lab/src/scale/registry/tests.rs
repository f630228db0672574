//! Small sizes of the figures, and a planted fault that they have to show.

use super::*;

/// Bytes of a change may grow so much from a list of 64 to one of 256: by no more than a digit of its version.
const GROWTH_MOST: f64 = 1.05;

/// The planted fault: every change brings the whole list.
fn whole_again(broadcaster: &mut WatchBroadcaster, _: u64) -> Option<Bytes> {
    Some(broadcaster.full_list())
}

/// How much more a watcher is sent for one change of a list of 256 than of 64.
fn growth(answer: Answer) -> f64 {
    let bytes = [64, 256].map(|destinations| {
        let mut broadcaster = WatchBroadcaster::default();
        broadcaster.reset(1, &endpoints(destinations));
        changes(&mut broadcaster, answer).1.one as f64
    });
    bytes[1] / bytes[0]
}

#[test]
fn a_change_costs_a_watcher_the_same_whatever_the_length_of_the_list() {
    let growth = growth(real);
    assert!(growth <= GROWTH_MOST, "{growth:.2}");
}

#[test]
fn a_planted_resend_of_the_whole_list_breaks_that_bound() {
    let growth = growth(whole_again);
    assert!(
        growth > GROWTH_MOST,
        "the planted fault was not caught: {growth:.2}"
    );
}

#[test]
fn an_hour_of_changes_is_sent_as_changes() {
    let figures = measure(&Order {
        destinations: 2_000,
        senders: 100,
        seed: 1,
    })
    .expect("measured");
    assert!(
        figures.hour_bytes <= AWAY * figures.change_bytes,
        "{figures:?}"
    );
    assert!(figures.hour_bytes * 10 < figures.whole_bytes, "{figures:?}");
    assert_eq!(
        (figures.change_bytes_all, figures.refused),
        (100 * figures.change_bytes, None)
    );
}

#[test]
fn a_change_of_a_list_over_ten_thousand_is_refused() {
    let figures = measure(&Order {
        destinations: 10_001,
        senders: 100,
        seed: 1,
    })
    .expect("measured");
    assert_eq!(
        figures.refused.as_deref(),
        Some("more than 10000 endpoints")
    );
    assert_eq!(figures.apply_us, None);
}
