//! Small sizes of the figures; a planted resend of the whole list is seen.

use super::*;

fn order(destinations: u64, events: u64, names: Names) -> Order {
    Order {
        destinations,
        events,
        budget: 6_000,
        seconds: 20,
        names,
        seed: 1,
    }
}

#[test]
fn questions_cost_no_more_for_a_list_a_hundred_times_as_long() {
    let figures = [4_000, 400_000]
        .map(|destinations| measure(&order(destinations, 300, Names::Used)).expect("measured"));
    let [short, long] = figures.each_ref().map(|figures| figures.bytes_a_second);
    assert!(long < 1.5 * short && long < 8_192.0, "{figures:?}");
    assert!(
        figures
            .iter()
            .all(|figures| figures.waiting < 300 && figures.wait.worst < 1.5),
        "{figures:?}"
    );
}

#[test]
fn a_flood_costs_no_more_than_the_budget() {
    let figures = measure(&order(40_000, 3_000, Names::Used)).expect("measured");
    assert!(
        figures.bytes_a_second < 6_000.0 * 21.5 / 20.0 + 500.0,
        "{figures:?}"
    );
    assert!(figures.names.worst > 100.0, "{figures:?}");
}

#[test]
fn a_planted_resend_of_the_whole_list_breaks_the_bound() {
    let whole = measure(&order(4_000, 300, Names::Whole)).expect("measured");
    let used = measure(&order(4_000, 300, Names::Used)).expect("measured");
    assert!(
        whole.question.median > 4.0 * used.question.median,
        "{whole:?}"
    );
    assert!(whole.question.worst > 8_192.0, "{whole:?}");
}
