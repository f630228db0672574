//! What questions name: a short list whole, of a long one what is used, in turns and within the budget of bytes.

use quota_ledger::quotas::{
    ByteBudget, DemandSelector, HEADER_BYTES, KeyDemand, MAX_KEYS_PER_REQUEST, select_reports,
};
use quota_ledger::{
    Allocation, FallbackQuotas, LimitKey, Micros, QuotaDemand, QuotaHolder, Resource,
};
use std::collections::{BTreeMap, BTreeSet};

const LEASE: Micros = 1_500_000;
const LONG: usize = 480_000;

fn holder() -> QuotaHolder {
    QuotaHolder::new(FallbackQuotas {
        senders: 2_100,
        per_sender: [("rate".to_string(), 1)].into(),
    })
}

fn key(destination: u64) -> LimitKey {
    LimitKey::of(destination, Resource::Rate)
}

fn demand(destination: u64, want: u64, waiting: bool, calls: u64) -> KeyDemand {
    KeyDemand {
        demand: QuotaDemand {
            key: key(destination),
            amount: want,
        },
        waiting,
        unhealthy: false,
        calls_sent: calls,
    }
}

fn places(wanted: &[QuotaDemand]) -> Vec<u64> {
    wanted.iter().map(|wanted| wanted.key.position()).collect()
}

/// Asks for what was chosen, and has this allocated of each.
fn allocate(holder: &mut QuotaHolder, now: Micros, wanted: Vec<QuotaDemand>, quota: u64) {
    let dealt = |wanted: &QuotaDemand| Allocation {
        key: wanted.key.clone(),
        quota: Some(quota),
        total: Some(20_000),
        expiry_grace_ms: 0,
    };
    let all = wanted.iter().map(dealt).collect();
    let number = holder.request(now);
    assert!(holder.apply_allocations(number, LEASE, all));
}

#[test]
fn a_list_that_fits_is_named_whole() {
    let all: Vec<KeyDemand> = (0..20).map(|place| demand(place, 0, false, 0)).collect();
    let chosen = DemandSelector::default().select(0, &holder(), LEASE, all.clone(), 20, 20);
    assert_eq!(
        chosen,
        all.into_iter()
            .map(|demand| demand.demand)
            .collect::<Vec<_>>()
    );
}

#[test]
fn of_a_long_list_what_waits_without_a_quota_is_named_and_what_is_idle_is_not() {
    let (mut naming, mut holder) = (DemandSelector::default(), holder());
    let now = vec![
        demand(1, 0, false, 0),
        demand(2, 700, true, 0),
        demand(3, 700, false, 9),
    ];
    let chosen = naming.select(0, &holder, LEASE, now.clone(), LONG, 100);
    assert_eq!(places(&chosen), [2]);
    allocate(&mut holder, 0, chosen, 700);
    // it has a quota: one call under it is no sign of another
    let used = |calls| vec![demand(2, 700, false, calls)];
    assert!(
        naming
            .select(LEASE / 4, &holder, LEASE, used(1), LONG, 100)
            .is_empty()
    );
    assert!(
        naming
            .select(LEASE * 3 / 4, &holder, LEASE, used(1), LONG, 100)
            .is_empty()
    );
    // two are, once no more than half of the lease is left
    assert!(
        naming
            .select(LEASE / 4, &holder, LEASE, used(2), LONG, 100)
            .is_empty()
    );
    assert_eq!(
        places(&naming.select(LEASE / 2, &holder, LEASE, used(2), LONG, 100)),
        [2]
    );
}

#[test]
fn one_that_got_nothing_and_waits_is_named_again_at_once() {
    let (mut naming, mut holder) = (DemandSelector::default(), holder());
    let waits = || vec![demand(2, 700, true, 0)];
    let chosen = naming.select(0, &holder, LEASE, waits(), LONG, 100);
    allocate(&mut holder, 0, chosen, 0);
    assert_eq!(
        places(&naming.select(1, &holder, LEASE, waits(), LONG, 100)),
        [2]
    );
}

#[test]
fn a_flood_is_named_in_turns_with_the_newest_want_and_what_waits_goes_first() {
    let (mut naming, holder) = (DemandSelector::default(), holder());
    let mut seen = BTreeMap::new();
    for round in 0..10 {
        let flood: Vec<KeyDemand> = (0..1_000)
            .map(|place| demand(place, 700 + round, true, 0))
            .collect();
        let chosen = naming.select(round, &holder, LEASE, flood, LONG, 100);
        assert_eq!(chosen.len(), 100);
        for QuotaDemand { key, amount: want } in chosen {
            assert_eq!(want, 700 + round);
            assert!(
                seen.insert(key.position(), round).is_none(),
                "{} twice before others once",
                key.position()
            );
        }
    }
    assert_eq!(
        seen.keys().copied().collect::<BTreeSet<u64>>(),
        (0..1_000).collect()
    );
}

#[test]
fn thousands_that_are_down_keep_nothing_that_is_well_waiting() {
    let mut naming = DemandSelector::default();
    let down = (0..7_200).map(|place| KeyDemand {
        unhealthy: true,
        ..demand(place, 700, true, 0)
    });
    let well = (10_000..10_050).map(|place| demand(place, 700, true, 0));
    let all: Vec<KeyDemand> = down.chain(well).collect();
    let chosen = places(&naming.select(0, &holder(), LEASE, all.clone(), LONG, 100));
    assert_eq!(chosen[..50], (10_000..10_050).collect::<Vec<u64>>());
    assert_eq!(chosen[50..], (0..50).collect::<Vec<u64>>());
    // and those that are down have their turns
    let chosen = places(&naming.select(1, &holder(), LEASE, all, LONG, 100));
    assert_eq!(chosen[50..], (50..100).collect::<Vec<u64>>());
}

#[test]
fn no_question_names_more_than_the_registry_takes() {
    let flood: Vec<KeyDemand> = (0..10_000)
        .map(|place| demand(place, 700, true, 0))
        .collect();
    assert_eq!(
        DemandSelector::default()
            .select(0, &holder(), LEASE, flood, LONG, usize::MAX)
            .len(),
        MAX_KEYS_PER_REQUEST
    );
}

#[test]
fn questions_stay_within_the_budget_over_any_span() {
    const RATE: u64 = 6_000;
    let mut budget = ByteBudget::new(RATE, LEASE, 0);
    let mut spent = Vec::new();
    for look in 0..400_u64 {
        let now = look * LEASE / 12;
        let room = budget.available_keys(now, LEASE);
        if room > 0 {
            // each name longer than is reckoned with
            let body = 24 * room as u64;
            budget.charge_request(body);
            spent.push((now, body + HEADER_BYTES));
        }
    }
    let longest = spent.iter().map(|(_, bytes)| *bytes).max().expect("some");
    for from in 0..spent.len() {
        let mut sum = 0;
        for (at, bytes) in &spent[from..] {
            sum += bytes;
            let most = RATE * (at - spent[from].0 + LEASE) / 1_000_000 + longest;
            assert!(sum <= most, "{sum} bytes for {most}");
        }
    }
    let sum: u64 = spent.iter().map(|(_, bytes)| bytes).sum();
    assert!(sum > RATE * 45, "the budget is used: {sum}");
}

#[test]
fn a_short_lease_and_a_clock_that_stands_do_not_stop_the_questions() {
    let mut budget = ByteBudget::new(2_000, 100_000, 0);
    let mut asked = 0;
    for now in (0..10_000_000).step_by(100) {
        if budget.available_keys(now, 100_000) > 0 {
            budget.charge_request(100);
            asked += 1;
        }
    }
    assert!((15..=20).contains(&asked), "{asked}");
    assert_eq!(
        budget.available_keys(9_000_000, 100_000),
        budget.available_keys(9_000_000, 100_000)
    );
}

#[test]
fn reports_of_failing_destinations_go_first() {
    let reports = vec![(1, false), (2, true), (3, false), (4, true)];
    assert_eq!(
        select_reports(reports, |(_, failing)| *failing, 3),
        [(2, true), (4, true), (1, false)]
    );
}
