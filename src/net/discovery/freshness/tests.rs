//! Tests when the list becomes stale and current again, on tokio's paused clock.

use super::*;
use crate::net::clock::Clock;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

const GRACE: Duration = Duration::from_millis(1500);

fn reported(inputs: &mut mpsc::UnboundedReceiver<DriverInput>) -> Vec<bool> {
    std::iter::from_fn(|| inputs.try_recv().ok())
        .map(|input| match input {
            DriverInput::ListStale(stale) => stale,
            other => panic!("{other:?}"),
        })
        .collect()
}

/// Number of state folders so far.
static FOLDER_COUNT: AtomicUsize = AtomicUsize::new(0);

/// State folder of one sender, removed when the test ends. Its processes share a clock, since time is paused.
struct StateFolder {
    path: PathBuf,
    clock: Clock,
}

impl StateFolder {
    fn new() -> Self {
        let number = FOLDER_COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("message-sender-freshness-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("created");
        let clock = Clock::resume(&path).expect("resumed");
        StateFolder { path, clock }
    }

    fn binding_times(&self, taken_over: bool) -> BindingTimesFile {
        BindingTimesFile::open(&self.path, self.clock, taken_over).expect("opened")
    }
}

impl Drop for StateFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// Starts a sender of which no earlier process has run.
fn started(pushed: bool) -> (Freshness, mpsc::UnboundedReceiver<DriverInput>) {
    let folder = StateFolder::new();
    let (inputs, received) = mpsc::unbounded_channel();
    let binding_times = folder.binding_times(false);
    let (freshness, reporting) = Freshness::new(pushed, GRACE, inputs, binding_times);
    tokio::spawn(async move {
        reporting.await;
        drop(folder);
    });
    (freshness, received)
}

fn start_with(
    pushed: bool,
    binding_times: BindingTimesFile,
) -> (Freshness, mpsc::UnboundedReceiver<DriverInput>) {
    let (inputs, received) = mpsc::unbounded_channel();
    let (freshness, reporting) = Freshness::new(pushed, GRACE, inputs, binding_times);
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
    freshness.call_ended();
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
    // what fails at the new address later does not end the staleness
    freshness.unavailable(Instant::now());
    tokio::time::sleep(BINDING_AFTER + GRACE).await;
    freshness.unavailable(Instant::now());
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(reported(&mut received), Vec::<bool>::new());
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
            freshness.call_ended()
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(reported(&mut received), [false]);
    }
}

/// What can happen to the watch of a sender without word of the list.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Failure {
    Silence,
    Unavailability,
    Move,
    AgentIsQuiet,
    CallEnd,
}

const FAILURES: [Failure; 5] = [
    Failure::Silence,
    Failure::Unavailability,
    Failure::Move,
    Failure::AgentIsQuiet,
    Failure::CallEnd,
];

fn apply(freshness: &Freshness, failure: Failure) {
    let now = Instant::now();
    match failure {
        Failure::Silence => freshness.silent(now),
        Failure::Unavailability => freshness.unavailable(now),
        Failure::Move => freshness.moved(),
        Failure::AgentIsQuiet => freshness.agent_is_quiet(),
        Failure::CallEnd => freshness.call_ended(),
    }
}

// guards against review/8: a 503 after a move of discovery put off for good what counts as told
#[tokio::test(start_paused = true)]
async fn no_failure_after_an_address_change_moves_its_binding_time_on() {
    for pushed in [false, true] {
        for failure in FAILURES {
            let (freshness, mut received) = started(pushed);
            freshness.received();
            let moved_at = Instant::now();
            freshness.moved();
            while moved_at.elapsed() < BINDING_AFTER_MOVE {
                tokio::time::sleep(Duration::from_millis(300)).await;
                apply(&freshness, failure);
            }
            reported(&mut received);
            tokio::time::sleep_until(moved_at + BINDING_AFTER_MOVE + GRACE).await;
            tokio::time::sleep(Duration::from_millis(10)).await;
            assert_eq!(reported(&mut received), [true], "{failure:?}");
            for _ in 0..50 {
                apply(&freshness, failure);
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            assert_eq!(reported(&mut received), Vec::<bool>::new(), "{failure:?}");
            freshness.received();
            tokio::time::sleep(Duration::from_millis(10)).await;
            assert_eq!(reported(&mut received), [false]);
        }
    }
}

// guards against any order of failures that ends or puts off what binds already, or what a silence or a move has set
#[tokio::test(start_paused = true)]
async fn failures_in_any_order_leave_what_binds_and_keep_times_of_silences_and_moves() {
    for seed in 0..500 {
        let mut random = Pcg32::seed_from_u64(seed);
        let pushed = seed % 2 == 1;
        let (freshness, _received) = started(pushed);
        freshness.received();
        // time by which the list must be binding, whatever fails meanwhile
        let mut bound: Option<Instant> = None;
        for _ in 0..40 {
            let failure = FAILURES[random.next_u32() as usize % FAILURES.len()];
            // only a sender with an agent of its own can learn from the agent's quiet that nothing has changed
            if failure == Failure::AgentIsQuiet && !pushed {
                continue;
            }
            let now = Instant::now();
            let binds = freshness.binding_from().is_some_and(|from| from <= now);
            apply(&freshness, failure);
            let own = match failure {
                Failure::Move => Some(now + BINDING_AFTER_MOVE),
                // an agent that is quiet later shows that a silence has hidden nothing, unless it binds already
                Failure::Silence if !pushed => Some(now + BINDING_AFTER),
                _ => None,
            };
            bound = [bound, own].into_iter().flatten().min();
            let from = freshness.binding_from();
            if binds {
                assert!(
                    from.is_some_and(|from| from <= now),
                    "seed {seed}, {failure:?}"
                );
            }
            if let Some(bound) = bound {
                assert!(
                    from.is_some_and(|from| from <= bound),
                    "seed {seed}, {failure:?}"
                );
            }
            let pause = u64::from(random.next_u32() % 3000);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}

// guards against refused calls that make changes non-binding again that bind already
#[tokio::test(start_paused = true)]
async fn call_refused_after_changes_bind_does_not_end_staleness() {
    let (freshness, mut received) = started(false);
    freshness.received();
    freshness.unavailable(Instant::now());
    tokio::time::sleep(BINDING_AFTER + GRACE + Duration::from_millis(10)).await;
    assert_eq!(reported(&mut received), [false, true]);
    freshness.unavailable(Instant::now());
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(reported(&mut received), Vec::<bool>::new());
}

// guards against a start or an upgrade that puts off the binding time of a move, or an upgrade that of a silence
#[tokio::test(start_paused = true)]
async fn binding_times_hold_over_a_start_and_those_of_a_silence_over_an_upgrade() {
    for (is_move, taken_over, is_kept) in [
        (true, false, true),
        (true, true, true),
        (false, true, true),
        (false, false, false),
    ] {
        let folder = StateFolder::new();
        let (earlier, _received) = start_with(false, folder.binding_times(false));
        earlier.received();
        let from = Instant::now();
        if is_move {
            earlier.moved()
        } else {
            earlier.silent(from)
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (later, _received) = start_with(false, folder.binding_times(taken_over));
        tokio::time::sleep(Duration::from_secs(1)).await;
        later.unavailable(Instant::now());
        let binding = later.binding_from().expect("changes may be missing");
        let expected = from
            + if is_move {
                BINDING_AFTER_MOVE
            } else {
                BINDING_AFTER
            };
        let slack = Duration::from_millis(100);
        assert_eq!(
            binding < expected + slack,
            is_kept,
            "{is_move} {taken_over}"
        );
        later.received();
        tokio::time::sleep(Duration::from_millis(10)).await;
        let (last, _received) = start_with(true, folder.binding_times(true));
        assert_eq!(last.binding_from(), None, "data ends the stored times");
    }
}

// guards against a start that sends by its old list in its first turn although what a move has told binds already
#[tokio::test(start_paused = true)]
async fn process_that_starts_after_a_binding_time_is_stale_before_its_first_turn() {
    let folder = StateFolder::new();
    let (earlier, _received) = start_with(false, folder.binding_times(false));
    earlier.moved();
    tokio::time::sleep(BINDING_AFTER_MOVE + GRACE).await;
    for taken_over in [false, true] {
        let (inputs, mut received) = mpsc::unbounded_channel();
        let binding_times = folder.binding_times(taken_over);
        let _later = Freshness::new(false, GRACE, inputs, binding_times);
        assert_eq!(reported(&mut received), [true]);
    }
}
