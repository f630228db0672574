use super::*;
use proptest::prelude::*;

fn said(
    tallies: &mut ReportCounts,
    now: Micros,
    sender: &str,
    zone: &str,
    out: bool,
) -> Option<(bool, u64)> {
    tallies.record(
        now,
        sender,
        zone,
        HealthReport {
            destination: 7,
            unavailable: out,
        },
        EPOCHS_PER_ALLOCATOR,
    );
    tallies
        .verdicts([7].into_iter())
        .next()
        .map(|verdict| (verdict.unavailable, verdict.epoch - EPOCHS_PER_ALLOCATOR))
}

#[test]
fn a_liar_takes_nothing_out_and_brings_nothing_back() {
    let mut tallies = ReportCounts::default();
    for now in 0..10 {
        assert_eq!(said(&mut tallies, now * 1_000_000, "liar", "a", true), None);
        assert_eq!(said(&mut tallies, now * 1_000_000, "one", "a", false), None);
    }
    // one more than may lie, and more than say that it lives
    let mut now = 10_000_000;
    assert_eq!(said(&mut tallies, now, "two", "b", true), Some((true, 1)));
    now += REPORT_TTL;
    said(&mut tallies, now, "one", "a", true);
    said(&mut tallies, now, "two", "b", true);
    assert_eq!(said(&mut tallies, now, "liar", "a", false), Some((true, 1)));
    // two from one zone are not enough where there are two zones
    assert_eq!(said(&mut tallies, now, "one", "a", false), Some((true, 1)));
    assert_eq!(said(&mut tallies, now, "two", "b", false), Some((false, 2)));
}

#[test]
fn one_more_than_may_lie_takes_a_healthy_one_out_only_where_fewer_see_it_live() {
    let mut tallies = ReportCounts::default();
    for sender in ["one", "two", "three"] {
        said(&mut tallies, 0, sender, "a", false);
    }
    assert_eq!(said(&mut tallies, 1, "liar", "a", true), None);
    assert_eq!(said(&mut tallies, 1, "other liar", "a", true), None);
}

#[test]
fn an_old_word_counts_for_nothing() {
    let mut tallies = ReportCounts::default();
    said(&mut tallies, 0, "one", "a", true);
    assert_eq!(said(&mut tallies, REPORT_TTL, "two", "a", true), None);
    tallies.remove_expired(3 * REPORT_TTL);
    assert_eq!(
        tallies,
        ReportCounts {
            zones: ["a".to_string()].into(),
            ..ReportCounts::default()
        }
    );
}

proptest! {
    #[test]
    fn merges_commute_and_old_verdicts_do_not_return(
        all in proptest::collection::vec((0u64..4, any::<bool>(), 0usize..4), 1..6), turn in 0usize..6
    ) {
        let all: Vec<HealthVerdict> = all
            .into_iter()
            .map(|(epoch, out, observers)| HealthVerdict { destination: 7, unavailable: out, epoch, observers })
            .collect();
        let join = |all: &[HealthVerdict]| all.iter().copied().reduce(HealthVerdict::merge);
        let mut other = all.clone();
        other.rotate_left(turn % all.len());
        prop_assert_eq!(join(&all), join(&other));
        let held = join(&all).expect("one at least");
        prop_assert!(all.iter().all(|verdict| held.merge(*verdict) == held && held.epoch >= verdict.epoch));
    }
}
