//! Tests of the allocation of quotas over a split.

use super::*;
use quota_ledger::{Entry, Limit, Terms};

const TERMS: Terms = Terms {
    lease: 1_500_000,
    drift: 30_000,
};

fn applied(book: &mut Option<Book>, entry: Entry) {
    Book::apply(book, entry).expect("applied");
}

/// What a sender gets of destinations 3 and 12.
fn quotas(
    allocations: &mut RangeAllocations,
    now: Micros,
    sender: &str,
    book: &Option<Book>,
) -> Vec<u64> {
    let demands = [3, 12].map(|destination| Want {
        key: Key::of(destination, What::Rate),
        want: 20_000,
    });
    let request = QuotaRequest {
        sender: sender.to_string(),
        incarnation: 1,
        number: 1,
        floors: book.as_ref().expect("begun").floors().clone(),
        demands: demands.to_vec(),
        zone: String::new(),
        health_reports: Vec::new(),
    };
    allocations.follow(now, 1, book.as_ref());
    match allocations.allocate(now, request, 1, book.as_ref()) {
        Answer::Quotas(answer) => answer
            .allocations
            .iter()
            .map(|dealt| dealt.part.unwrap_or(u64::MAX))
            .collect(),
        other => panic!("{other:?}"),
    }
}

fn split_ledger() -> Option<Book> {
    let mut book = None;
    let floors = Floors {
        senders: 3,
        each: [("rate".to_string(), 0)].into(),
    };
    applied(
        &mut book,
        Entry::Begin {
            floors,
            terms: TERMS,
            split_at: Vec::new(),
        },
    );
    applied(
        &mut book,
        Entry::Keeper {
            shard: 0,
            epoch: 0,
            replica: 1,
        },
    );
    for destination in [3, 12] {
        let limit = Some(Limit {
            total: 10_000,
            linger_ms: 0,
        });
        applied(
            &mut book,
            Entry::Limit {
                key: Key::of(destination, What::Rate),
                limit,
                if_match: None,
            },
        );
    }
    book
}

#[test]
fn cut_over_allocates_nothing_twice_and_the_parents_holder_goes_on_at_once() {
    let (mut book, mut allocations) = (split_ledger(), RangeAllocations::default());
    assert_eq!(
        quotas(&mut allocations, 0, "a", &book),
        [0, 0],
        "what one before dealt may last"
    );
    let now = TERMS.longest();
    assert_eq!(
        quotas(&mut allocations, now, "a", &book),
        [9990, 9990],
        "in whole calls a lease"
    );
    applied(
        &mut book,
        Entry::Split {
            first: 0,
            at: 10,
            plant: None,
        },
    );
    (0..4).for_each(|_| applied(&mut book, Entry::Step(8)));
    applied(&mut book, Entry::Cut);
    assert_eq!(book.as_ref().map(|book| book.shards().len()), Some(2));
    // all of both but the rest of a call is out still, and the one that has it has it on
    assert_eq!(quotas(&mut allocations, now + 1, "b", &book), [10, 10]);
    let again = quotas(&mut allocations, now + 2, "a", &book);
    assert!(again.iter().all(|part| *part > 0), "{again:?}");
    // another replica that keeps one of them from now on waits
    applied(
        &mut book,
        Entry::Keeper {
            shard: 10,
            epoch: 2,
            replica: 2,
        },
    );
    assert_eq!(
        quotas(&mut allocations, now + 3, "a", &book).len(),
        1,
        "the other is kept elsewhere"
    );
    let mut other = RangeAllocations::default();
    other.follow(now + 3, 2, book.as_ref());
    let keeper = &other.ranges[&10].allocator;
    assert_eq!(
        (other.ranges.len(), keeper.deals_from()),
        (1, now + 3 + TERMS.longest())
    );
}
