//! Memory for requests that need more than the share of their connection: large bodies and large heads. Who finds no room
//! waits, and what it has sent stays unread in the kernel; clients that have stopped within a request give their room to
//! those that wait.

use super::server::OpenConnections;
use message_sender::memory::{LARGE_HEAD_BYTES, MemoryShares};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, sleep_until};

/// Maximum time for which a request waits for room. Its client waits 400 ms for an answer and must hear of a refusal.
const ROOM_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between searches for room that stalled clients hold.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(10);
/// Divisor of the share for bodies: the part for those that the kernel has received whole.
const ARRIVED_DIVISOR: usize = 2;
/// Maximum number of stalled clients that one search refuses.
const MAX_RECLAIMED: usize = 8;

/// No memory became free in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no memory is free for the request")]
pub struct NoRoom;

/// Reserved memory, free again once this is dropped.
#[derive(Debug)]
pub struct Reservation {
    _bytes: OwnedSemaphorePermit,
}

impl Reservation {
    /// Returns the reservation that a wait for memory has obtained.
    pub fn of(bytes: Result<OwnedSemaphorePermit, AcquireError>) -> Result<Self, NoRoom> {
        bytes
            .map(|_bytes| Reservation { _bytes })
            .map_err(|_| NoRoom)
    }
}

/// Memory reserved for a submission.
#[derive(Debug)]
pub struct SubmissionMemory {
    /// Place among the submissions that the driver has not decided on.
    _place: Reservation,
    /// Memory for a large body.
    _body: Option<Reservation>,
}

/// Bytes of one part of a share, one permit for each free byte.
type FreeBytes = Arc<Semaphore>;

/// Shares of the memory for large heads and bodies, and the number of requests that may be submitted at once.
pub struct RequestMemory {
    /// For heads that are larger than the share of their connections. Proper clients send no such heads.
    heads: FreeBytes,
    /// For bodies that the kernel has received whole. They leave the process within a few turns, so a client that has sent
    /// its whole request does not wait behind those that are still sending.
    arrived_bodies: FreeBytes,
    /// For bodies of which a part has not arrived.
    arriving_bodies: FreeBytes,
    /// One permit for each submission that the driver has not decided on.
    submissions: Arc<Semaphore>,
    /// Client connections, some of which hold reservations.
    connections: Rc<OpenConnections>,
    last_reclaim: Cell<Option<Instant>>,
}

impl RequestMemory {
    /// Creates the shares for the given connections. Each connection may have submitted a message that the driver has not
    /// decided on.
    pub fn new(shares: &MemoryShares, connections: Rc<OpenConnections>) -> Self {
        let part = |bytes: usize| Arc::new(Semaphore::new(bytes));
        let arrived_bytes = shares.body_bytes / ARRIVED_DIVISOR;
        RequestMemory {
            heads: part(shares.head_bytes),
            arrived_bodies: part(arrived_bytes),
            arriving_bodies: part(shares.body_bytes - arrived_bytes),
            submissions: Arc::new(Semaphore::new(shares.client_connections)),
            connections,
            last_reclaim: Cell::default(),
        }
    }

    /// Returns the free bytes for large heads.
    pub fn free_head_bytes(&self) -> FreeBytes {
        self.heads.clone()
    }

    /// Returns true if no memory is free for another large head, so that connections that hold some must end.
    pub fn is_head_memory_short(&self) -> bool {
        self.heads.available_permits() < LARGE_HEAD_BYTES
    }

    /// Reserves memory for a body. `has_arrived` returns whether the kernel has received it whole. Those that wait are
    /// served in the order of their calls, those that have arrived apart from the others.
    ///
    /// # Errors
    /// No memory became free within [`ROOM_TIMEOUT`].
    pub async fn reserve_body(
        &self,
        bytes: usize,
        has_arrived: impl Fn() -> bool,
    ) -> Result<Reservation, NoRoom> {
        let permits = u32::try_from(bytes).map_err(|_| NoRoom)?;
        let free_bytes = self.arriving_bodies.clone();
        if let Ok(_bytes) = free_bytes.try_acquire_many_owned(permits) {
            return Ok(Reservation { _bytes });
        }
        let deadline = Instant::now() + ROOM_TIMEOUT;
        let arriving = self.arriving_bodies.clone().acquire_many_owned(permits);
        tokio::pin!(arriving);
        while !has_arrived() {
            tokio::select! {
                biased;
                permits = &mut arriving => return Reservation::of(permits),
                () = sleep(RECLAIM_INTERVAL) => {}
            }
            let now = Instant::now();
            if now >= deadline {
                return Err(NoRoom);
            }
            self.reclaim(now);
        }
        let arrived = self.arrived_bodies.clone().acquire_many_owned(permits);
        let permits = tokio::select! {
            biased;
            permits = arrived => permits,
            permits = arriving => permits,
            () = sleep_until(deadline) => return Err(NoRoom),
        };
        Reservation::of(permits)
    }

    /// Waits until one more message may be submitted to the driver. `body` is what is reserved for its body.
    ///
    /// # Errors
    /// The process ends.
    pub async fn submission(&self, body: Option<Reservation>) -> Result<SubmissionMemory, NoRoom> {
        let place = self.submissions.clone().acquire_owned().await;
        Ok(SubmissionMemory {
            _place: Reservation::of(place)?,
            _body: body,
        })
    }

    /// Refuses clients that hold room and have stopped within their requests, at most once in [`RECLAIM_INTERVAL`].
    fn reclaim(&self, now: Instant) {
        let last_reclaim = self.last_reclaim.get();
        if last_reclaim.is_some_and(|last| now < last + RECLAIM_INTERVAL) {
            return;
        }
        self.last_reclaim.set(Some(now));
        self.connections.free_request_memory(now, MAX_RECLAIMED);
    }
}
