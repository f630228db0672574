//! State that the driver shares with the other tasks of the process.

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
    /// Module time.
    pub clock: Clock,
    /// The driver's own input.
    pub inputs: mpsc::UnboundedSender<DriverInput>,
    /// The lock of the state folder, which this process holds.
    pub lock: FolderLock,
    /// How many clients may be connected.
    pub client_slots: ClientSlots,
    /// The classes that clients may name.
    pub classes: Classes,
    /// Set once the process takes nothing new.
    pub draining: Rc<Cell<bool>>,
    /// Set once a successor has taken over.
    pub handed_over: watch::Sender<bool>,
    /// The number of senders that the decisions scale by.
    pub fleet_size: Rc<Cell<u32>>,
    /// The version of the list that they go by.
    pub list_version: Rc<Cell<u64>>,
}

/// The connections of clients that the process may hold.
pub struct ClientSlots {
    /// Slots that are free.
    pub free: Arc<Semaphore>,
    /// All slots.
    pub total: usize,
}

impl ClientSlots {
    /// So many slots, all of them free.
    pub fn new(total: usize) -> Self {
        ClientSlots {
            free: Arc::new(Semaphore::new(total)),
            total,
        }
    }

    /// Slots that clients hold.
    pub fn in_use(&self) -> usize {
        self.total.saturating_sub(self.free.available_permits())
    }

    /// Adds free slots.
    pub fn add(&mut self, slots: usize) {
        self.free.add_permits(slots);
        self.total += slots;
    }
}
