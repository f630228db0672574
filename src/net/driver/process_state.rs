//! State that the driver shares with the other tasks of the process: clock, input channel, limits
//! and flags.

use crate::net::clock::Clock;
use crate::net::events::DriverInput;
use crate::net::handover::FolderLock;
use crate::net::server::Classes;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Semaphore, mpsc, watch};

/// State that the driver shares with the other tasks of the process.
pub struct ProcessState {
    /// Clock that converts between instants and the time in microseconds that the decision module
    /// and the journal use. That time continues across restarts.
    pub clock: Clock,
    /// Sending end of the driver's input channel.
    pub inputs: mpsc::UnboundedSender<DriverInput>,
    /// Lock of the state folder, held by this process until a handover.
    pub lock: FolderLock,
    /// Slots for client connections, which limit how many clients are connected at once.
    pub client_slots: ClientSlots,
    /// Message classes that clients may name in their requests.
    pub classes: Classes,
    /// True once the process accepts no new messages.
    pub draining: Rc<Cell<bool>>,
    /// Set to true once a successor has taken over.
    pub handed_over: watch::Sender<bool>,
    /// Number of senders among which the decision module divides limits.
    pub fleet_size: Rc<Cell<u32>>,
    /// Version of the endpoint list that is in force.
    pub list_version: Rc<Cell<u64>>,
}

/// Slots for client connections; each connected client holds one.
pub struct ClientSlots {
    /// Semaphore with one permit for each free slot.
    pub free: Arc<Semaphore>,
    /// Number of all slots, free or in use.
    pub total: usize,
}

impl ClientSlots {
    /// Creates `total` slots, all of them free.
    pub fn new(total: usize) -> Self {
        ClientSlots {
            free: Arc::new(Semaphore::new(total)),
            total,
        }
    }

    /// Returns the number of slots that connected clients hold.
    pub fn in_use(&self) -> usize {
        self.total.saturating_sub(self.free.available_permits())
    }

    /// Adds free slots, such as those of a predecessor that has ended.
    pub fn add(&mut self, slots: usize) {
        self.free.add_permits(slots);
        self.total += slots;
    }
}
