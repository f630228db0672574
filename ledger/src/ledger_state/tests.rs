use super::*;
use crate::quotas::Resource;

fn begun(split_at: Vec<u64>) -> Option<LedgerState> {
    let floors = FallbackQuotas {
        senders: 3,
        per_sender: [("rate".to_string(), 10)].into(),
    };
    let mut book = None;
    let terms = LeaseTerms {
        lease: 1_500_000,
        max_drift: 30_000,
    };
    LedgerState::apply(
        &mut book,
        LedgerEntry::Create {
            fallback_quotas: floors,
            terms,
            split_at,
        },
    )
    .expect("begun");
    book
}

#[test]
fn keepers_share_the_ranges_and_each_change_is_a_new_epoch() {
    let mut book = begun(vec![10, 20]);
    let due = book.as_ref().expect("begun").allocator_assignments(&[1, 2]);
    assert_eq!(due.len(), 3);
    due.into_iter()
        .for_each(|entry| LedgerState::apply(&mut book, entry).expect("applied"));
    let kept = |book: &Option<LedgerState>| -> Vec<_> {
        book.as_ref()
            .expect("begun")
            .shards()
            .values()
            .map(|shard| (shard.allocator, shard.epoch))
            .collect()
    };
    assert_eq!(kept(&book), [(Some(1), 1), (Some(2), 1), (Some(1), 1)]);
    // the second is gone; a proposal of before does nothing once another has gone through
    let late = LedgerEntry::AssignAllocator {
        shard: 10,
        epoch: 1,
        replica: 3,
    };
    for entry in book.as_ref().expect("begun").allocator_assignments(&[1]) {
        LedgerState::apply(&mut book, entry).expect("applied");
    }
    LedgerState::apply(&mut book, late).expect("no fault");
    assert_eq!(kept(&book), [(Some(1), 1), (Some(1), 2), (Some(1), 1)]);
    let book = book.expect("begun");
    assert_eq!(book.shard_of(&LimitKey::of(19, Resource::Rate)).0, 10);
    assert!(book.allocator_assignments(&[1]).is_empty());
}

#[test]
fn limits_have_versions_and_the_same_again_makes_none() {
    let mut book = begun(vec![]);
    let key = LimitKey::of(7, Resource::Rate);
    let set = |book: &mut Option<LedgerState>, total, if_match| {
        let limit = Some(Limit {
            total,
            expiry_grace_ms: 0,
        });
        LedgerState::apply(
            book,
            LedgerEntry::SetLimit {
                key: key.clone(),
                limit,
                if_match,
            },
        )
    };
    assert_eq!(set(&mut book, 100, Some(0)), Ok(()));
    assert_eq!(set(&mut book, 100, None), Ok(()));
    assert_eq!(
        set(&mut book, 90, Some(0)),
        Err(LedgerError::VersionMismatch { now: 1, wanted: 0 })
    );
    assert!(matches!(
        set(&mut book, 29, None),
        Err(LedgerError::Limit(LimitError::BelowFallbackQuotas { .. }))
    ));
    assert_eq!(book.as_ref().map(LedgerState::revision), Some(1));
    assert_eq!(set(&mut None, 1, None), Err(LedgerError::NotCreated));
    let again = LedgerEntry::Create {
        fallback_quotas: FallbackQuotas::default(),
        terms: LeaseTerms {
            lease: 1,
            max_drift: 0,
        },
        split_at: vec![],
    };
    assert_eq!(
        LedgerState::apply(&mut book, again),
        Err(LedgerError::AlreadyCreated)
    );
}

fn stepped(book: &mut Option<LedgerState>, steps: usize) {
    (0..steps)
        .for_each(|_| LedgerState::apply(book, LedgerEntry::AdvanceSplit(4)).expect("applied"));
}

fn with_limits(count: u64) -> Option<LedgerState> {
    let mut book = begun(vec![]);
    for destination in 0..count {
        let limit = Some(Limit {
            total: 100 + destination,
            expiry_grace_ms: 0,
        });
        let entry = LedgerEntry::SetLimit {
            key: LimitKey::of(destination, Resource::Rate),
            limit,
            if_match: None,
        };
        LedgerState::apply(&mut book, entry).expect("set");
    }
    book
}

fn write(book: &mut Option<LedgerState>, destination: u64, total: u64) {
    let limit = Some(Limit {
        total,
        expiry_grace_ms: 0,
    });
    let entry = LedgerEntry::SetLimit {
        key: LimitKey::of(destination, Resource::Rate),
        limit,
        if_match: None,
    };
    LedgerState::apply(book, entry).expect("written");
}

#[test]
fn a_split_under_writes_is_cut_over_with_every_key_on_its_side() {
    let mut book = with_limits(20);
    LedgerState::apply(
        &mut book,
        LedgerEntry::BeginSplit {
            first: 0,
            at: 10,
            planted_fault: None,
        },
    )
    .expect("begun");
    for step in 0..30 {
        write(&mut book, step * 7 % 24, 200 + step);
        stepped(&mut book, 1);
        // sixteen steps copy and compare twenty keys, four at a time
        if step < 10 {
            let early = LedgerState::apply(&mut book, LedgerEntry::CutOver);
            assert!(early.is_err(), "cut before all was compared");
        }
    }
    stepped(&mut book, 12);
    let before: Vec<_> = book
        .as_ref()
        .expect("begun")
        .limits()
        .map(|(k, l)| (k.clone(), *l))
        .collect();
    LedgerState::apply(&mut book, LedgerEntry::CutOver).expect("cut over");
    let book = book.expect("begun");
    let after: Vec<_> = book.limits().map(|(k, l)| (k.clone(), *l)).collect();
    assert_eq!(before, after);
    assert_eq!(book.shards().keys().copied().collect::<Vec<_>>(), [0, 10]);
    assert!(
        book.shards()[&10]
            .records
            .keys()
            .all(|key| key.position() >= 10)
    );
    assert_eq!(
        (
            book.finished_splits()[0].rolled_back_because.as_ref(),
            book.finished_splits()[0].disagreement_count
        ),
        (None, 0)
    );
}

#[test]
fn each_planted_difference_is_flagged_by_queries_and_by_the_walk_and_never_cut_over() {
    for plant in [
        PlantedFault::Lost,
        PlantedFault::Doubled,
        PlantedFault::WrongSide,
        PlantedFault::Stale,
        PlantedFault::Order,
    ] {
        let mut book = with_limits(20);
        LedgerState::apply(
            &mut book,
            LedgerEntry::BeginSplit {
                first: 0,
                at: 10,
                planted_fault: Some(plant),
            },
        )
        .expect("begun");
        stepped(&mut book, 6);
        write(&mut book, 4, 999);
        let queries = [
            Query::Range { from: 0, to: None },
            Query::Key(LimitKey::of(4, Resource::Rate)),
            Query::Sum("rate".to_string()),
        ];
        let here = book.as_ref().expect("begun");
        let found: Vec<_> = queries
            .iter()
            .filter_map(|query| here.dual_read(query).1)
            .collect();
        assert!(!found.is_empty(), "{plant:?}");
        assert!(
            found
                .iter()
                .all(|flag| flag.log_revision == here.revision())
        );
        assert_eq!(
            here.dual_read(&queries[1]).0,
            [(Some(LimitKey::of(4, Resource::Rate)), 999)],
            "the parent answers"
        );
        if plant == PlantedFault::Order {
            assert_eq!(found[0].difference, crate::splits::Difference::Order);
            LedgerState::apply(
                &mut book,
                LedgerEntry::RecordDualReads {
                    queries: [1, 0].into(),
                    disagreements: found,
                },
            )
            .expect("told");
        }
        stepped(&mut book, 12);
        let split = book
            .as_ref()
            .and_then(LedgerState::split)
            .expect("under way")
            .clone();
        assert!(
            split.disagreement_count > 0 && split.compared_all,
            "{plant:?}: {split:?}"
        );
        assert_eq!(
            LedgerState::apply(&mut book, LedgerEntry::CutOver),
            Err(SplitError::NoSplit.into())
        );
        let why = SplitError::Disagreements(split.disagreement_count);
        LedgerState::apply(&mut book, LedgerEntry::RollBack(why.clone())).expect("undone");
        let book = book.expect("begun");
        assert_eq!(
            (
                book.shards().len(),
                book.finished_splits()[0].rolled_back_because.as_ref()
            ),
            (1, Some(&why))
        );
    }
}

#[test]
fn a_split_that_makes_no_sense_is_refused() {
    let mut book = with_limits(5);
    let split = |first, at| LedgerEntry::BeginSplit {
        first,
        at,
        planted_fault: None,
    };
    assert_eq!(
        LedgerState::apply(&mut book, split(3, 4)),
        Err(SplitError::UnknownShard(3).into())
    );
    assert_eq!(
        LedgerState::apply(&mut book, split(0, 0)),
        Err(SplitError::OutsideShard { first: 0, at: 0 }.into())
    );
    LedgerState::apply(&mut book, split(0, 3)).expect("begun");
    assert_eq!(
        LedgerState::apply(&mut book, split(0, 2)),
        Err(SplitError::SplitInProgress(0).into())
    );
}

#[test]
fn an_entry_has_these_bytes() {
    let key = LimitKey::of(7, Resource::Rate);
    let entry = LedgerEntry::SetLimit {
        key,
        limit: Some(Limit {
            total: 300,
            expiry_grace_ms: 0,
        }),
        if_match: None,
    };
    let bytes = postcard::to_allocvec(&entry).expect("encoded");
    assert_eq!(bytes, [&[1, 6][..], b"rate/7", &[1, 172, 2, 0, 0]].concat());
    assert_eq!(postcard::from_bytes::<LedgerEntry>(&bytes), Ok(entry));
}
