//! Tests of connection scarcity: endpoints that serve existing connections and reject new ones for lack of connection
//! capacity. The pool of a sender in a large fleet must then keep no idle connections, so that other senders get some.

use message_sender::pool::{AnswerKind, CloseReason, Command, EndpointAddress, Pool, PoolLimits};
use message_sender::{EndpointId, Micros, SECOND};

/// Time in microseconds of the pool's clock at which each test starts.
const START: Micros = 100 * SECOND;

fn limits() -> PoolLimits {
    PoolLimits {
        per_endpoint: 8,
        concurrent_dials: 4,
        total: 40,
        idle: 40,
        idle_per_endpoint: 8,
        idle_timeout: 10 * SECOND,
        demand_half_life: 30 * SECOND,
        learn_caps: true,
        prewarm_share: 0.0,
        prewarm_delay: 10 * SECOND,
        senders: 300,
    }
}

/// Connection pool of 20 endpoints on which calls are made one after another.
struct PoolHarness {
    pool: Pool,
    now: Micros,
    waiter: u64,
    /// True if the pool attributed the last call's rejection to a lack of connection capacity at the endpoint.
    was_connection_rejected: bool,
}

fn target(number: u32) -> EndpointAddress {
    EndpointAddress {
        address: ([127, 0, 0, 1], 8_000).into(),
        endpoint: EndpointId(number),
    }
}

impl PoolHarness {
    fn new() -> Self {
        let mut pool = Pool::new(limits(), 7);
        (0..20).for_each(|number| pool.enable_endpoint(START, target(number)));
        PoolHarness {
            pool,
            now: START,
            waiter: 0,
            was_connection_rejected: false,
        }
    }

    /// Makes a call over an idle or a new connection, and returns true if the pool keeps the connection afterwards. If
    /// the call is rejected on a new connection, the endpoint closes that connection.
    fn call(&mut self, endpoint: u32, answer: AnswerKind) -> bool {
        self.now += SECOND / 10;
        self.waiter += 1;
        let mut commands = Vec::new();
        self.pool
            .acquire(self.now, target(endpoint), self.waiter, &mut commands);
        if let Some(Command::Dial { connection, .. }) = commands.first().copied() {
            commands.clear();
            self.pool
                .dial_succeeded(self.now, connection, &mut commands);
        }
        let Some(&Command::Lease {
            connection,
            idle_for,
            ..
        }) = commands.first()
        else {
            panic!("no connection: {commands:?}")
        };
        self.was_connection_rejected = self.pool.record_answer(self.now, connection, answer);
        let mut commands = Vec::new();
        if answer == AnswerKind::Rejected && idle_for.is_none() {
            self.pool.discard(
                self.now,
                connection,
                CloseReason::ClosedByPeer,
                &mut commands,
            );
            return false;
        }
        self.pool.release(self.now, connection, &mut commands);
        commands
            .iter()
            .all(|command| *command != Command::Close { connection })
    }

    fn closed_as_scarce(&self) -> u64 {
        self.pool
            .report(self.now)
            .totals
            .closes
            .get(&CloseReason::Scarcity)
            .copied()
            .unwrap_or(0)
    }
}

/// Returns a pool with enough evidence of scarcity to close connections after the next answer. Two calls to endpoint 0
/// were served over one kept connection, and the first calls on new connections to endpoints 2 to 5 were rejected.
fn scarce_pool() -> PoolHarness {
    let mut harness = PoolHarness::new();
    for number in 1..3 {
        assert!(
            harness.call(0, AnswerKind::Served),
            "call {number}: the connection is kept until there is enough evidence of scarcity"
        );
        harness.call(2 * number, AnswerKind::Rejected);
        harness.call(2 * number + 1, AnswerKind::Rejected);
    }
    harness
}

#[test]
fn idle_connections_are_closed_where_only_new_ones_are_rejected() {
    let mut harness = scarce_pool();
    assert!(
        !harness.was_connection_rejected,
        "scarcity is not established yet"
    );
    assert!(!harness.call(0, AnswerKind::Served));
    assert_eq!(harness.closed_as_scarce(), 1);
    harness.call(11, AnswerKind::Rejected);
    assert!(
        harness.was_connection_rejected,
        "a rejection under scarcity is not attributed to a limit on calls"
    );
    // one call that is served on a new connection does not end the scarcity
    assert!(!harness.call(9, AnswerKind::Served));
    harness.call(10, AnswerKind::Rejected);
    assert!(!harness.call(0, AnswerKind::Served));
}

#[test]
fn idle_connections_are_closed_at_next_tick_once_scarce() {
    let mut harness = PoolHarness::new();
    assert!(
        harness.call(0, AnswerKind::Served)
            && harness.call(9, AnswerKind::Served)
            && harness.call(0, AnswerKind::Served)
    );
    (1..9).for_each(|number| assert!(!harness.call(number, AnswerKind::Rejected)));
    assert!(!harness.call(0, AnswerKind::Served));
    let mut commands = Vec::new();
    harness.pool.tick(harness.now, &mut commands);
    assert_eq!(
        (commands.len(), harness.closed_as_scarce()),
        (1, 2),
        "the idle connection to endpoint 9 is closed: {commands:?}"
    );
}

#[test]
fn lone_sender_keeps_idle_connections() {
    let mut harness = PoolHarness::new();
    harness.pool.set_limits(
        START,
        PoolLimits {
            senders: 1,
            ..limits()
        },
        &mut Vec::new(),
    );
    for number in 1..9 {
        assert!(harness.call(0, AnswerKind::Served));
        harness.call(number, AnswerKind::Rejected);
    }
}

#[test]
fn call_limit_rejections_on_all_connections_close_none() {
    let mut harness = PoolHarness::new();
    for round in 0..40 {
        let answer = if round % 2 == 0 {
            AnswerKind::Rejected
        } else {
            AnswerKind::Served
        };
        harness.call(0, answer);
        harness.call(1 + round % 19, answer);
        assert!(!harness.was_connection_rejected);
    }
    assert_eq!(harness.closed_as_scarce(), 0);
}

#[test]
fn rejection_of_all_first_connections_closes_none() {
    let mut harness = PoolHarness::new();
    (0..20).for_each(|number| assert!(!harness.call(number, AnswerKind::Rejected)));
    assert!(harness.call(3, AnswerKind::Served));
    assert_eq!(harness.closed_as_scarce(), 0);
}

#[test]
fn connections_are_kept_again_once_new_ones_are_served() {
    let mut harness = scarce_pool();
    let calls_until_kept = (0..40).find(|_| harness.call(0, AnswerKind::Served));
    assert!(
        calls_until_kept.is_some_and(|calls| (5..30).contains(&calls)),
        "{calls_until_kept:?}"
    );
    assert!(harness.call(0, AnswerKind::Served) && harness.call(1, AnswerKind::Served));
}
