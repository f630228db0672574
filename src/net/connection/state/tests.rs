//! Tests of when a connection may be closed because its peer does not read its answers.

use super::*;

/// Returns a connection whose writes have been blocked for `stalled_for`, and the present time.
fn stalled_connection(stalled_for: Duration) -> (ConnectionState, Instant) {
    let blocked_at = Instant::now();
    let state = ConnectionState::new(blocked_at);
    state.write_blocked_since.set(Some(blocked_at));
    (state, blocked_at + stalled_for)
}

#[test]
fn stalled_connection_makes_room_after_grace_before_idle_one() {
    let (state, now) = stalled_connection(STALL_GRACE - Duration::from_millis(1));
    assert_eq!(state.close_priority(now), None, "the peer may be slow");
    let (state, now) = stalled_connection(STALL_GRACE);
    let priority = state.close_priority(now).expect("a closable connection");
    let idle = ConnectionState::new(now - 10 * CLOSE_GRACE);
    assert!(Some(priority) < idle.close_priority(now));
    state.make_room(now);
    assert_eq!(state.phase.get(), Phase::Evicted);
    idle.make_room(now);
    assert_eq!(idle.phase.get(), Phase::Closing);
}

/// Guards against losing the answer of a request that is open on a connection with blocked writes.
#[test]
fn stalled_connection_with_open_request_is_not_closed() {
    let (state, now) = stalled_connection(2 * STALL_TIMEOUT);
    state.set_idle_since(None);
    assert_eq!(state.close_priority(now), None);
    state.make_room(now);
    state.next_check(now, STALL_TIMEOUT);
    assert_ne!(state.phase.get(), Phase::Evicted);
}

#[test]
fn stalled_connection_is_closed_after_timeout_and_progress_begins_it_anew() {
    let (state, now) = stalled_connection(STALL_TIMEOUT - Duration::from_millis(1));
    state.next_check(now, 2 * STALL_TIMEOUT);
    assert_eq!(state.phase.get(), Phase::Open);
    state.next_check(now + Duration::from_millis(1), 2 * STALL_TIMEOUT);
    assert_eq!(state.phase.get(), Phase::Evicted);

    let (state, now) = stalled_connection(STALL_TIMEOUT);
    state.record_write(false);
    state.record_write(true);
    assert!(state.stalled_since(now, Duration::ZERO).is_some());
    state.next_check(now, 2 * STALL_TIMEOUT);
    assert_eq!(state.phase.get(), Phase::Open);
}
