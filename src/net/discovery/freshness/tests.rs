//! When the list is stale, in passed time.

use super::*;

const GRACE: Duration = Duration::from_millis(1500);

fn reported(inputs: &mut mpsc::UnboundedReceiver<DriverInput>) -> Vec<bool> {
    std::iter::from_fn(|| inputs.try_recv().ok())
        .map(|input| match input {
            DriverInput::ListStale(stale) => stale,
            other => panic!("{other:?}"),
        })
        .collect()
}

fn started(pushed: bool) -> (Freshness, mpsc::UnboundedReceiver<DriverInput>) {
    let (inputs, received) = mpsc::unbounded_channel();
    let (freshness, reporting) = Freshness::new(pushed, GRACE, inputs);
    tokio::spawn(reporting);
    (freshness, received)
}

/// What the module hears until just before, and until just after, so long after `from`.
async fn around(
    received: &mut mpsc::UnboundedReceiver<DriverInput>,
    from: Instant,
    after: Duration,
) -> (Vec<bool>, Vec<bool>) {
    let slack = Duration::from_millis(20);
    tokio::time::sleep_until(from + after - slack).await;
    let before = reported(received);
    tokio::time::sleep(2 * slack).await;
    (before, reported(received))
}

#[tokio::test(start_paused = true)]
async fn silences_in_a_row_count_from_the_first_and_a_word_ends_them() {
    let (freshness, mut received) = started(false);
    freshness.received();
    let start = Instant::now();
    freshness.silent(start);
    tokio::time::sleep(Duration::from_millis(3000)).await;
    freshness.silent(Instant::now());
    assert_eq!(freshness.binding_from(), Some(start + BINDING_AFTER));
    assert_eq!(
        around(&mut received, start, BINDING_AFTER + GRACE).await,
        (vec![false], vec![true])
    );
    freshness.first_try_ended();
    freshness.unavailable(Instant::now());
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        reported(&mut received),
        Vec::<bool>::new(),
        "only a word of discovery ends a silence"
    );
    freshness.received();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(reported(&mut received), [false]);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(
        reported(&mut received),
        Vec::<bool>::new(),
        "no staleness is reported while a watch is open"
    );
}

#[tokio::test(start_paused = true)]
async fn what_discovery_has_counts_so_long_after_its_last_no() {
    let (freshness, mut received) = started(false);
    freshness.received();
    let mut last = Instant::now();
    freshness.unavailable(last);
    // down for a minute, and asked every few seconds
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_secs(3)).await;
        last = Instant::now();
        freshness.unavailable(last);
    }
    assert_eq!(
        reported(&mut received),
        [false],
        "what can't be reached can't count"
    );
    assert_eq!(
        around(&mut received, last, BINDING_AFTER + GRACE).await,
        (vec![], vec![true])
    );
}

#[tokio::test(start_paused = true)]
async fn a_call_that_was_given_up_counts_on_from_the_last_no() {
    let (freshness, mut received) = started(false);
    freshness.received();
    let unavailable_at = Instant::now();
    freshness.unavailable(unavailable_at);
    tokio::time::sleep(Duration::from_secs(2)).await;
    freshness.silent(Instant::now());
    // it may have been back in between, and a later no takes nothing of that away
    tokio::time::sleep(Duration::from_secs(2)).await;
    freshness.unavailable(Instant::now());
    assert_eq!(
        around(&mut received, unavailable_at, BINDING_AFTER + GRACE).await,
        (vec![false], vec![true])
    );
}

#[tokio::test(start_paused = true)]
async fn a_move_counts_sooner_and_a_second_one_takes_no_time_away() {
    let (freshness, mut received) = started(false);
    freshness.received();
    let first = Instant::now();
    freshness.moved();
    tokio::time::sleep(Duration::from_secs(2)).await;
    freshness.moved();
    assert_eq!(
        around(&mut received, first, BINDING_AFTER_MOVE + GRACE).await,
        (vec![false], vec![true])
    );
    // the new address says no: it counts so long after it can be reached
    let unavailable_at = Instant::now();
    freshness.unavailable(unavailable_at);
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(reported(&mut received), [false]);
    assert_eq!(
        around(&mut received, unavailable_at, BINDING_AFTER + GRACE).await,
        (vec![], vec![true])
    );
    // during a silence the sooner of both holds
    freshness.received();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(reported(&mut received), [false]);
    let silent = Instant::now();
    freshness.silent(silent);
    tokio::time::sleep(Duration::from_millis(2500)).await;
    freshness.moved();
    assert_eq!(freshness.binding_from(), Some(silent + BINDING_AFTER));
}

#[tokio::test(start_paused = true)]
async fn where_it_is_asked_a_start_trusts_its_list_no_longer_than_any() {
    let start = Instant::now();
    let (_freshness, mut received) = started(false);
    assert_eq!(
        around(&mut received, start, BINDING_AFTER + GRACE).await,
        (vec![false], vec![true])
    );
}

#[tokio::test(start_paused = true)]
async fn where_lists_are_pushed_a_start_is_stale_until_its_first_try_has_ended() {
    for list_received in [false, true] {
        let (freshness, mut received) = started(true);
        tokio::time::sleep(Duration::from_secs(60)).await;
        assert_eq!(reported(&mut received), [true]);
        if list_received {
            freshness.received()
        } else {
            freshness.first_try_ended()
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(reported(&mut received), [false]);
    }
}
