//! Reads that are limited in memory: one read takes a bounded number of bytes, and a head that is larger than the share
//! of its connection is read on only once memory is reserved for it.

use super::request_memory::Reservation;
use message_sender::memory::{LARGE_HEAD_BYTES, MAX_READ_BYTES};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore};

type WaitForMemory =
    Pin<Box<dyn Future<Output = Result<OwnedSemaphorePermit, AcquireError>> + Send>>;

/// Memory for a head that is larger than the share of its connection.
pub struct HeadMemory {
    /// One permit for each free byte.
    free_bytes: Arc<Semaphore>,
    reservation: HeadReservation,
}

enum HeadReservation {
    /// No memory is needed so far.
    None,
    /// The connection reads nothing until memory is free.
    Waiting(WaitForMemory),
    /// Memory is reserved until the connection ends.
    Reserved(#[expect(dead_code, reason = "held until the connection ends")] Reservation),
}

impl HeadMemory {
    /// Creates the memory of a connection whose head has needed none so far.
    pub fn new(free_bytes: Arc<Semaphore>) -> Self {
        HeadMemory {
            free_bytes,
            reservation: HeadReservation::None,
        }
    }

    /// Waits until memory is reserved.
    pub fn poll_reserve(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if matches!(self.reservation, HeadReservation::None) {
            let free_bytes = self.free_bytes.clone();
            let wait = free_bytes.acquire_many_owned(LARGE_HEAD_BYTES as u32);
            self.reservation = HeadReservation::Waiting(Box::pin(wait));
        }
        if let HeadReservation::Waiting(wait) = &mut self.reservation {
            let permits = ready!(wait.as_mut().poll(context));
            let reservation = Reservation::of(permits).map_err(io::Error::other)?;
            self.reservation = HeadReservation::Reserved(reservation);
        }
        Poll::Ready(Ok(()))
    }
}

/// Reads at most [`MAX_READ_BYTES`] and returns their number.
pub fn poll_limited_read(
    stream: Pin<&mut impl AsyncRead>,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<usize>> {
    let mut part = ReadBuf::new(limited(buffer));
    ready!(stream.poll_read(context, &mut part))?;
    let read = part.filled().len();
    buffer.advance(read);
    Poll::Ready(Ok(read))
}

/// Returns the part of the buffer that one read may fill.
pub fn limited<'a>(buffer: &'a mut ReadBuf<'_>) -> &'a mut [u8] {
    let length = buffer.remaining().min(MAX_READ_BYTES);
    buffer.initialize_unfilled_to(length)
}
