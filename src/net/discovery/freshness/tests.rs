//! Tests when the list becomes stale and current again, on tokio's paused clock.

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

/// Returns the staleness reports up to 20 ms before the time `from + after`, and those within 20 ms around it.
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
async fn repeated_silences_make_list_stale_after_first_until_data_is_received() {
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
        "only data from discovery ends a silence"
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
async fn list_becomes_stale_after_binding_time_from_last_unavailable_call() {
    let (freshness, mut received) = started(false);
    freshness.received();
    let mut last = Instant::now();
    freshness.unavailable(last);
    // discovery is down for a minute and called every 3 s
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_secs(3)).await;
        last = Instant::now();
        freshness.unavailable(last);
    }
    assert_eq!(
        reported(&mut received),
        [false],
        "changes at an unavailable discovery are not binding"
    );
    assert_eq!(
        around(&mut received, last, BINDING_AFTER + GRACE).await,
        (vec![], vec![true])
    );
}

#[tokio::test(start_paused = true)]
async fn call_timeout_after_unavailable_call_keeps_binding_time() {
    let (freshness, mut received) = started(false);
    freshness.received();
    let unavailable_at = Instant::now();
    freshness.unavailable(unavailable_at);
    tokio::time::sleep(Duration::from_secs(2)).await;
    freshness.silent(Instant::now());
    // discovery may have been available in between, so a later failed call does not
    // postpone the time from which changes are binding
    tokio::time::sleep(Duration::from_secs(2)).await;
    freshness.unavailable(Instant::now());
    assert_eq!(
        around(&mut received, unavailable_at, BINDING_AFTER + GRACE).await,
        (vec![false], vec![true])
    );
}

#[tokio::test(start_paused = true)]
async fn address_change_shortens_binding_time_and_second_change_keeps_it() {
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
    // discovery is unavailable at the new address, so the time until changes become binding starts again
    let unavailable_at = Instant::now();
    freshness.unavailable(unavailable_at);
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(reported(&mut received), [false]);
    assert_eq!(
        around(&mut received, unavailable_at, BINDING_AFTER + GRACE).await,
        (vec![], vec![true])
    );
    // an address change during a silence does not postpone the time that the silence has set
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
async fn list_at_start_becomes_stale_after_binding_time_with_common_discovery() {
    let start = Instant::now();
    let (_freshness, mut received) = started(false);
    assert_eq!(
        around(&mut received, start, BINDING_AFTER + GRACE).await,
        (vec![false], vec![true])
    );
}

#[tokio::test(start_paused = true)]
async fn list_at_start_is_stale_until_first_call_ends_with_pushed_lists() {
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
