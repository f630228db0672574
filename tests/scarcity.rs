//! Connections that endpoints have too few of: when the pool keeps none idle, and when it does.

use message_sender::pool::{AnswerKind, CloseReason, Command, EndpointAddress, Pool, PoolLimits};
use message_sender::{EndpointId, Micros, SECOND};

const T0: Micros = 100 * SECOND;

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

/// A pool with endpoints whose calls end one after the other.
struct Rig {
    pool: Pool,
    now: Micros,
    waiter: u64,
    /// Whether the last call was turned away for want of room for its connection.
    no_room: bool,
}

fn target(number: u32) -> EndpointAddress {
    EndpointAddress {
        address: ([127, 0, 0, 1], 8_000).into(),
        endpoint: EndpointId(number),
    }
}

impl Rig {
    fn new() -> Self {
        let mut pool = Pool::new(limits(), 7);
        (0..20).for_each(|number| pool.enable_endpoint(T0, target(number)));
        Rig {
            pool,
            now: T0,
            waiter: 0,
            no_room: false,
        }
    }

    /// A call to an endpoint, on an idle connection or a new one; true if its connection is kept afterwards. One that is
    /// turned away on a new connection loses it, as its endpoint closes it.
    fn call(&mut self, endpoint: u32, answered: AnswerKind) -> bool {
        self.now += SECOND / 10;
        self.waiter += 1;
        let mut out = Vec::new();
        self.pool
            .acquire(self.now, target(endpoint), self.waiter, &mut out);
        if let Some(Command::Dial { connection, .. }) = out.first().copied() {
            out.clear();
            self.pool.dial_succeeded(self.now, connection, &mut out);
        }
        let Some(&Command::Lease {
            connection,
            idle_for,
            ..
        }) = out.first()
        else {
            panic!("no connection: {out:?}")
        };
        self.no_room = self.pool.record_answer(self.now, connection, answered);
        let mut out = Vec::new();
        if answered == AnswerKind::Rejected && idle_for.is_none() {
            self.pool
                .discard(self.now, connection, CloseReason::ClosedByPeer, &mut out);
            return false;
        }
        self.pool.release(self.now, connection, &mut out);
        out.iter()
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

/// One connection that serves, and new ones to others that are turned away.
fn scarce() -> Rig {
    let mut rig = Rig::new();
    for number in 1..3 {
        assert!(
            rig.call(0, AnswerKind::Served),
            "kept as long as too little is known: {number}"
        );
        rig.call(2 * number, AnswerKind::Rejected);
        rig.call(2 * number + 1, AnswerKind::Rejected);
    }
    rig
}

#[test]
fn idle_connections_are_closed_where_only_new_ones_are_rejected() {
    let mut rig = scarce();
    assert!(!rig.no_room, "it is not known yet");
    assert!(!rig.call(0, AnswerKind::Served));
    assert_eq!(rig.closed_as_scarce(), 1);
    rig.call(11, AnswerKind::Rejected);
    assert!(rig.no_room, "it says nothing of a limit on calls");
    // new ones are served now and then: still scarce
    assert!(!rig.call(9, AnswerKind::Served));
    rig.call(10, AnswerKind::Rejected);
    assert!(!rig.call(0, AnswerKind::Served));
}

#[test]
fn idle_connections_are_closed_at_next_tick_after_scarcity() {
    let mut rig = Rig::new();
    assert!(
        rig.call(0, AnswerKind::Served)
            && rig.call(9, AnswerKind::Served)
            && rig.call(0, AnswerKind::Served)
    );
    (1..9).for_each(|number| assert!(!rig.call(number, AnswerKind::Rejected)));
    assert!(!rig.call(0, AnswerKind::Served));
    let mut out = Vec::new();
    rig.pool.tick(rig.now, &mut out);
    assert_eq!(
        (out.len(), rig.closed_as_scarce()),
        (1, 2),
        "the one to 9: {out:?}"
    );
}

#[test]
fn lone_sender_keeps_idle_connections() {
    let mut rig = Rig::new();
    rig.pool.set_limits(
        T0,
        PoolLimits {
            senders: 1,
            ..limits()
        },
        &mut Vec::new(),
    );
    for number in 1..9 {
        assert!(rig.call(0, AnswerKind::Served));
        rig.call(number, AnswerKind::Rejected);
    }
}

#[test]
fn call_limit_rejections_on_all_connections_close_none() {
    let mut rig = Rig::new();
    for round in 0..40 {
        let answered = if round % 2 == 0 {
            AnswerKind::Rejected
        } else {
            AnswerKind::Served
        };
        rig.call(0, answered);
        rig.call(1 + round % 19, answered);
        assert!(!rig.no_room);
    }
    assert_eq!(rig.closed_as_scarce(), 0);
}

#[test]
fn start_with_all_connections_rejected_closes_none() {
    let mut rig = Rig::new();
    (0..20).for_each(|number| assert!(!rig.call(number, AnswerKind::Rejected)));
    assert!(rig.call(3, AnswerKind::Served));
    assert_eq!(rig.closed_as_scarce(), 0);
}

#[test]
fn connections_are_kept_once_new_ones_are_served_again() {
    let mut rig = scarce();
    let kept = (0..40).find(|_| rig.call(0, AnswerKind::Served));
    assert!(
        kept.is_some_and(|calls| (5..30).contains(&calls)),
        "{kept:?}"
    );
    assert!(rig.call(0, AnswerKind::Served) && rig.call(1, AnswerKind::Served));
}
