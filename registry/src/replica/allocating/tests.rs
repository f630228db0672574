//! Tests of the allocation of quotas over a split.

use super::*;
use quota_ledger::{LeaseTerms, LedgerEntry, Limit};

const TERMS: LeaseTerms = LeaseTerms {
    lease: 1_500_000,
    max_drift: 30_000,
};

fn apply(ledger: &mut Option<LedgerState>, entry: LedgerEntry) {
    LedgerState::apply(ledger, entry).expect("applied");
}

/// What a sender gets of destinations 3 and 12.
fn quotas(
    allocations: &mut RangeAllocations,
    now: Micros,
    sender: &str,
    ledger: &Option<LedgerState>,
) -> Vec<u64> {
    let demands = [3, 12].map(|destination| QuotaDemand {
        key: LimitKey::of(destination, Resource::Rate),
        amount: 20_000,
    });
    let request = QuotaRequest {
        sender: sender.to_string(),
        incarnation: 1,
        sequence: 1,
        fallback_quotas: ledger.as_ref().expect("begun").fallback_quotas().clone(),
        demands: demands.to_vec(),
        zone: String::new(),
        health_reports: Vec::new(),
    };
    allocations.follow(now, 1, ledger.as_ref());
    match allocations.allocate(now, request, 1, ledger.as_ref()) {
        Answer::Quotas(answer) => answer
            .allocations
            .iter()
            .map(|allocation| allocation.quota.unwrap_or(u64::MAX))
            .collect(),
        other => panic!("{other:?}"),
    }
}

fn split_ledger() -> Option<LedgerState> {
    let mut ledger = None;
    let fallback_quotas = FallbackQuotas {
        senders: 3,
        per_sender: [("rate".to_string(), 0)].into(),
    };
    apply(
        &mut ledger,
        LedgerEntry::Create {
            fallback_quotas,
            terms: TERMS,
            split_at: Vec::new(),
        },
    );
    apply(
        &mut ledger,
        LedgerEntry::AssignAllocator {
            shard: 0,
            epoch: 0,
            replica: 1,
        },
    );
    for destination in [3, 12] {
        let limit = Some(Limit {
            total: 10_000,
            expiry_grace_ms: 0,
        });
        apply(
            &mut ledger,
            LedgerEntry::SetLimit {
                key: LimitKey::of(destination, Resource::Rate),
                limit,
                if_match: None,
            },
        );
    }
    ledger
}

#[test]
fn cut_over_allocates_nothing_twice_and_the_parents_holder_goes_on_at_once() {
    let (mut ledger, mut allocations) = (split_ledger(), RangeAllocations::default());
    assert_eq!(
        quotas(&mut allocations, 0, "a", &ledger),
        [0, 0],
        "what a holder before allocated may last"
    );
    let now = TERMS.longest_validity();
    assert_eq!(
        quotas(&mut allocations, now, "a", &ledger),
        [9990, 9990],
        "in whole calls a lease"
    );
    apply(
        &mut ledger,
        LedgerEntry::BeginSplit {
            first: 0,
            at: 10,
            planted_fault: None,
        },
    );
    (0..4).for_each(|_| apply(&mut ledger, LedgerEntry::AdvanceSplit(8)));
    apply(&mut ledger, LedgerEntry::CutOver);
    assert_eq!(ledger.as_ref().map(|ledger| ledger.shards().len()), Some(2));
    // all of both but the rest of a call is out still, and the one that has it has it on
    assert_eq!(quotas(&mut allocations, now + 1, "b", &ledger), [10, 10]);
    let again = quotas(&mut allocations, now + 2, "a", &ledger);
    assert!(again.iter().all(|part| *part > 0), "{again:?}");
    // another replica that keeps one of them from now on waits
    apply(
        &mut ledger,
        LedgerEntry::AssignAllocator {
            shard: 10,
            epoch: 2,
            replica: 2,
        },
    );
    assert_eq!(
        quotas(&mut allocations, now + 3, "a", &ledger).len(),
        1,
        "the other is kept elsewhere"
    );
    let mut other = RangeAllocations::default();
    other.follow(now + 3, 2, ledger.as_ref());
    let allocator = &other.ranges[&10].allocator;
    assert_eq!(
        (other.ranges.len(), allocator.allocates_from()),
        (1, now + 3 + TERMS.longest_validity())
    );
}
