//! Tests when the senders of a fleet call discovery, on a simulated clock.

use super::*;

fn common_service(senders: u32) -> DiscoveryClients {
    DiscoveryClients {
        senders,
        is_common_service: true,
        poll_interval: Duration::from_secs(10),
    }
}

/// Counts the calls between the times `from` and `to` of senders that all lose their watches at time 0 and whose calls
/// all fail.
fn tries(senders: u32, from: Duration, to: Duration) -> usize {
    let count = |seed| {
        let (mut backoff, mut at, mut count) = (
            Backoff::new(common_service(senders), seed),
            Duration::ZERO,
            0,
        );
        while at < to {
            at += backoff.next_delay();
            backoff.advance(true);
            count += usize::from(at >= from && at < to);
        }
        count
    };
    (0..u64::from(senders)).map(count).sum()
}

#[test]
fn call_rate_is_bounded_for_many_senders_and_retries_are_fast_for_few() {
    let second = Duration::from_secs(1);
    assert!(tries(2, Duration::ZERO, second) >= 6);
    // delays are as long as possible, but a delay and a call together end within BINDING_AFTER
    for senders in [24, 48, 300] {
        let tries = tries(senders, 20 * second, 40 * second) as f64;
        let max_tries =
            f64::from(senders) * 20.0 * 1.5 / (BINDING_AFTER - SILENCE_TIMEOUT).as_secs_f64();
        assert!(
            tries <= max_tries * 1.05,
            "{tries} of {senders} in 20 s, {max_tries} are allowed"
        );
    }
    let first = tries(48, Duration::ZERO, second / 10);
    assert_eq!(first, 0, "no sender of many retries immediately");
    // senders that start together with a known list spread their first calls
    let mut starts: Vec<_> = (0..48)
        .map(|seed| Backoff::new(common_service(48), seed).start_delay())
        .collect();
    starts.sort_unstable();
    assert!(starts[36] - starts[12] > second / 2, "{starts:?}");
    assert_eq!(
        Backoff::new(common_service(3), 1).start_delay(),
        Duration::ZERO
    );
    // an absurdly large configured number of senders does not make the delays unbounded
    let mut absurd = Backoff::new(common_service(u32::MAX), 1);
    assert!(
        absurd.start_delay() <= BINDING_AFTER - SILENCE_TIMEOUT
            && absurd.max_delay <= MAX_NOMINAL_DELAY
    );
}

#[test]
fn delays_end_before_list_validity_and_before_changes_become_binding() {
    for senders in [1, 30, 300, 3000, u32::MAX] {
        for seed in 0..200 {
            let clients = common_service(senders);
            let mut backoff = Backoff::new(clients, seed);
            let longest = BINDING_AFTER - SILENCE_TIMEOUT;
            assert!(longest < clients.poll_interval);
            assert!(backoff.start_delay() <= longest && backoff.next_delay() <= longest);
            for _ in 0..20 {
                backoff.advance(true);
                assert!(backoff.next_delay() <= longest, "{senders} senders");
            }
            let mut short_validity = Backoff::new(
                DiscoveryClients {
                    poll_interval: Duration::from_secs(1),
                    ..clients
                },
                seed,
            );
            assert!(
                short_validity.start_delay() < Duration::from_secs(1)
                    && short_validity.next_delay() < Duration::from_secs(1)
            );
        }
    }
    // calls to a sender's own agent are not delayed by the number of other senders
    let mut own = Backoff::new(
        DiscoveryClients {
            is_common_service: false,
            ..common_service(300)
        },
        1,
    );
    (0..20).for_each(|_| own.advance(true));
    assert!(
        own.next_delay() <= MAX_RETRY_DELAY.mul_f64(1.5) && own.start_delay() == Duration::ZERO
    );
}

#[test]
fn three_hundred_senders_with_silent_watches_reconnect_in_time_without_queueing_long() {
    // discovery handles one call at a time, in 5 ms; the watches of all 300 senders are silent since time 0
    let mut calls: Vec<Duration> = (0..300)
        .map(|seed| SILENCE_TIMEOUT + Backoff::new(common_service(300), seed).delay_after_silence())
        .collect();
    calls.sort_unstable();
    let mut idle_at = Duration::ZERO;
    let answered = calls.iter().map(|&at| {
        idle_at = idle_at.max(at) + Duration::from_millis(5);
        (idle_at, idle_at - at)
    });
    let (last_answer, max_wait) = answered.fold(
        (Duration::ZERO, Duration::ZERO),
        |(last_answer, max_wait), (at, wait)| (last_answer.max(at), max_wait.max(wait)),
    );
    assert!(
        last_answer < BINDING_AFTER - Duration::from_secs(1),
        "the last sender gets its answer at {last_answer:?}"
    );
    assert!(
        max_wait < Duration::from_millis(250),
        "a sender waits for {max_wait:?}"
    );
    // a single sender reconnects almost immediately
    assert!(Backoff::new(common_service(1), 1).delay_after_silence() <= Duration::from_millis(25));
}

#[test]
fn three_hundred_senders_reach_restored_discovery_before_its_changes_become_binding() {
    // while down, discovery rejects each call immediately; afterwards it handles one call at a time, in 5 ms
    for down in [1, 8, 60].map(Duration::from_secs) {
        let call_times = (0..300).map(|seed| {
            let (mut backoff, mut at) = (Backoff::new(common_service(300), seed), Duration::ZERO);
            while at < down {
                at += backoff.next_delay();
                backoff.advance(true);
            }
            at
        });
        let mut call_times: Vec<Duration> = call_times.collect();
        call_times.sort_unstable();
        let (mut idle_at, mut longest) = (down, Duration::ZERO);
        for at in call_times {
            idle_at = idle_at.max(at) + Duration::from_millis(5);
            longest = longest.max(idle_at - at);
        }
        assert!(
            idle_at < down + BINDING_AFTER - Duration::from_secs(1),
            "down for {down:?}: the last at {idle_at:?}"
        );
        assert!(
            longest < SILENCE_TIMEOUT / 2,
            "down for {down:?}: a sender waits for {longest:?}"
        );
    }
}
