//! Small sizes of the figures, and the sizes at which the ledger refuses.

use super::*;

fn order(destinations: u64, senders: u32, holders: u32) -> Order {
    Order {
        destinations,
        senders,
        holders,
        seed: 1,
    }
}

#[test]
fn a_question_grows_with_the_list_and_no_faster() {
    let bytes = [64, 256].map(|destinations| {
        let QuestionFigures {
            request_bytes,
            answer_bytes,
            ..
        } = question(&order(destinations, 100, 1)).expect("measured");
        (request_bytes + answer_bytes) as f64
    });
    // four times the destinations, whose numbers are up to a digit longer
    let growth = bytes[1] / bytes[0];
    assert!(growth > 3.0 && growth < 4.4, "{growth:.2}");
}

#[test]
fn more_limits_than_a_log_may_have_are_refused() {
    let figures = book(&order(20_001, 100, 1)).expect("measured");
    assert_eq!(figures.limits, 20_000);
    assert_eq!(figures.refused.as_deref(), Some("more than 20000 limits"));
}

#[test]
fn an_allocation_is_found_in_a_table_of_pairs() {
    let figures = table(&order(500, 50, 4)).expect("measured");
    assert_eq!(figures.pairs, 2_000);
    assert!(
        figures.allocation_us > 0.0 && figures.shared_by_all_us > 0.0,
        "{figures:?}"
    );
}
