//! When the list is stale, in passed time.

use super::*;

const GRACE: Duration = Duration::from_millis(1500);

fn told(inputs: &mut mpsc::UnboundedReceiver<DriverInput>) -> Vec<bool> {
    std::iter::from_fn(|| inputs.try_recv().ok())
        .map(|input| match input {
            DriverInput::ListStale(stale) => stale,
            other => panic!("{other:?}"),
        })
        .collect()
}

fn started(pushed: bool) -> (Freshness, mpsc::UnboundedReceiver<DriverInput>) {
    let (inputs, received) = mpsc::unbounded_channel();
    let (freshness, tells) = Freshness::new(pushed, GRACE, inputs);
    tokio::spawn(tells);
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
    let before = told(received);
    tokio::time::sleep(2 * slack).await;
    (before, told(received))
}

#[tokio::test(start_paused = true)]
async fn silences_in_a_row_count_from_the_first_and_a_word_ends_them() {
    let (freshness, mut received) = started(false);
    freshness.told();
    let start = Instant::now();
    freshness.silent(start);
    tokio::time::sleep(Duration::from_millis(3000)).await;
    freshness.silent(Instant::now());
    assert_eq!(freshness.counts(), Some(start + TOLD));
    assert_eq!(
        around(&mut received, start, TOLD + GRACE).await,
        (vec![false], vec![true])
    );
    freshness.started();
    freshness.refused(Instant::now());
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        told(&mut received),
        Vec::<bool>::new(),
        "only a word of discovery ends a silence"
    );
    freshness.told();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(told(&mut received), [false]);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(
        told(&mut received),
        Vec::<bool>::new(),
        "an open watch tells all"
    );
}

#[tokio::test(start_paused = true)]
async fn what_discovery_has_counts_so_long_after_its_last_no() {
    let (freshness, mut received) = started(false);
    freshness.told();
    let mut last = Instant::now();
    freshness.refused(last);
    // down for a minute, and asked every few seconds
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_secs(3)).await;
        last = Instant::now();
        freshness.refused(last);
    }
    assert_eq!(
        told(&mut received),
        [false],
        "what can't be reached can't count"
    );
    assert_eq!(
        around(&mut received, last, TOLD + GRACE).await,
        (vec![], vec![true])
    );
}

#[tokio::test(start_paused = true)]
async fn a_call_that_was_given_up_counts_on_from_the_last_no() {
    let (freshness, mut received) = started(false);
    freshness.told();
    let no = Instant::now();
    freshness.refused(no);
    tokio::time::sleep(Duration::from_secs(2)).await;
    freshness.silent(Instant::now());
    // it may have been back in between, and a later no takes nothing of that away
    tokio::time::sleep(Duration::from_secs(2)).await;
    freshness.refused(Instant::now());
    assert_eq!(
        around(&mut received, no, TOLD + GRACE).await,
        (vec![false], vec![true])
    );
}

#[tokio::test(start_paused = true)]
async fn a_move_counts_sooner_and_a_second_one_takes_no_time_away() {
    let (freshness, mut received) = started(false);
    freshness.told();
    let first = Instant::now();
    freshness.moved();
    tokio::time::sleep(Duration::from_secs(2)).await;
    freshness.moved();
    assert_eq!(
        around(&mut received, first, MOVED + GRACE).await,
        (vec![false], vec![true])
    );
    // the new address says no: it counts so long after it can be reached
    let no = Instant::now();
    freshness.refused(no);
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(told(&mut received), [false]);
    assert_eq!(
        around(&mut received, no, TOLD + GRACE).await,
        (vec![], vec![true])
    );
    // during a silence the sooner of both holds
    freshness.told();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(told(&mut received), [false]);
    let silent = Instant::now();
    freshness.silent(silent);
    tokio::time::sleep(Duration::from_millis(2500)).await;
    freshness.moved();
    assert_eq!(freshness.counts(), Some(silent + TOLD));
}

#[tokio::test(start_paused = true)]
async fn where_it_is_asked_a_start_trusts_its_list_no_longer_than_any() {
    let start = Instant::now();
    let (_freshness, mut received) = started(false);
    assert_eq!(
        around(&mut received, start, TOLD + GRACE).await,
        (vec![false], vec![true])
    );
}

#[tokio::test(start_paused = true)]
async fn where_lists_are_pushed_a_start_is_stale_until_its_first_try_has_ended() {
    for by_word in [false, true] {
        let (freshness, mut received) = started(true);
        tokio::time::sleep(Duration::from_secs(60)).await;
        assert_eq!(told(&mut received), [true]);
        if by_word {
            freshness.told()
        } else {
            freshness.started()
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(told(&mut received), [false]);
    }
}
