//! How many ask discovery when, in computed time.

use super::*;

fn asked(senders: u32) -> Shared {
    Shared {
        senders,
        asked: true,
        ask_every: Duration::from_secs(10),
    }
}

/// Tries within `from` and `to` of so many senders that all lose their watches at 0 and find no room.
fn tries(senders: u32, from: Duration, to: Duration) -> usize {
    let count = |seed| {
        let (mut backoff, mut at, mut count) =
            (Backoff::new(asked(senders), seed), Duration::ZERO, 0);
        while at < to {
            at += backoff.spread();
            backoff.advance(true);
            count += usize::from(at >= from && at < to);
        }
        count
    };
    (0..u64::from(senders)).map(count).sum()
}

#[test]
fn many_senders_together_try_seldom_and_few_try_soon() {
    let second = Duration::from_secs(1);
    assert!(tries(2, Duration::ZERO, second) >= 6);
    // as seldom as the clock of what counts as told allows: a rest and a call fit into it
    for senders in [24, 48, 300] {
        let tries = tries(senders, 20 * second, 40 * second) as f64;
        let most = f64::from(senders) * 20.0 * 1.5 / (TOLD - SILENCE).as_secs_f64();
        assert!(
            tries <= most * 1.05,
            "{tries} of {senders} in 20 s, {most} are due"
        );
    }
    let first = tries(48, Duration::ZERO, second / 10);
    assert_eq!(first, 0, "none comes back at once");
    // those that start at one moment do not ask at one moment, where they have a list
    let mut starts: Vec<_> = (0..48)
        .map(|seed| Backoff::new(asked(48), seed).start())
        .collect();
    starts.sort_unstable();
    assert!(starts[36] - starts[12] > second / 2, "{starts:?}");
    assert_eq!(Backoff::new(asked(3), 1).start(), Duration::ZERO);
    // a number that makes no sense keeps none from the list
    let mut absurd = Backoff::new(asked(u32::MAX), 1);
    assert!(absurd.start() <= TOLD - SILENCE && absurd.most <= LONGEST);
}

#[test]
fn no_rest_outlasts_the_time_for_which_a_list_is_good_nor_that_after_which_changes_count() {
    for senders in [1, 30, 300, 3000, u32::MAX] {
        for seed in 0..200 {
            let shared = asked(senders);
            let mut backoff = Backoff::new(shared, seed);
            let longest = TOLD - SILENCE;
            assert!(longest < shared.ask_every);
            assert!(backoff.start() <= longest && backoff.spread() <= longest);
            for _ in 0..20 {
                backoff.advance(true);
                assert!(backoff.spread() <= longest, "{senders} senders");
            }
            let mut seldom = Backoff::new(
                Shared {
                    ask_every: Duration::from_secs(1),
                    ..shared
                },
                seed,
            );
            assert!(
                seldom.start() < Duration::from_secs(1) && seldom.spread() < Duration::from_secs(1)
            );
        }
    }
    // an agent of one's own is asked soon, however many other senders there are
    let mut own = Backoff::new(
        Shared {
            asked: false,
            ..asked(300)
        },
        1,
    );
    (0..20).for_each(|_| own.advance(true));
    assert!(own.spread() <= RETRY_MOST.mul_f64(1.5) && own.start() == Duration::ZERO);
}

#[test]
fn hundreds_that_fall_silent_together_are_back_in_time_without_a_crowd() {
    // a discovery that takes 5 ms for each call, one after another; 300 senders, all silent since 0
    let mut calls: Vec<Duration> = (0..300)
        .map(|seed| SILENCE + Backoff::new(asked(300), seed).after_silence())
        .collect();
    calls.sort_unstable();
    let mut free = Duration::ZERO;
    let answered = calls.iter().map(|&at| {
        free = free.max(at) + Duration::from_millis(5);
        (free, free - at)
    });
    let (last, waited) = answered.fold(
        (Duration::ZERO, Duration::ZERO),
        |(last, waited), (at, for_)| (last.max(at), waited.max(for_)),
    );
    assert!(
        last < TOLD - Duration::from_secs(1),
        "the last has its answer at {last:?}"
    );
    assert!(
        waited < Duration::from_millis(250),
        "one waits for {waited:?}"
    );
    // alone, at once
    assert!(Backoff::new(asked(1), 1).after_silence() <= Duration::from_millis(25));
}

#[test]
fn hundreds_find_a_discovery_that_is_back_before_what_it_has_counts() {
    // down for so long, with a no to each call at once; then 5 ms for each call, one after another
    for down in [1, 8, 60].map(Duration::from_secs) {
        let found = (0..300).map(|seed| {
            let (mut backoff, mut at) = (Backoff::new(asked(300), seed), Duration::ZERO);
            while at < down {
                at += backoff.spread();
                backoff.advance(true);
            }
            at
        });
        let mut found: Vec<Duration> = found.collect();
        found.sort_unstable();
        let (mut free, mut longest) = (down, Duration::ZERO);
        for at in found {
            free = free.max(at) + Duration::from_millis(5);
            longest = longest.max(free - at);
        }
        assert!(
            free < down + TOLD - Duration::from_secs(1),
            "down for {down:?}: the last at {free:?}"
        );
        assert!(
            longest < SILENCE / 2,
            "down for {down:?}: one waits for {longest:?}"
        );
    }
}
