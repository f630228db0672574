//! Whether the client of a connection may still hear of its request.

use crate::net::stream::Stream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

/// Returns the stream, which only one task uses at a time.
pub(super) fn locked(stream: &Mutex<Stream>) -> MutexGuard<'_, Stream> {
    stream.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Refers to the connection of a client without keeping it open, to ask the kernel what has become of it.
#[derive(Debug, Clone)]
pub struct ClientPresence(Weak<Mutex<Stream>>);

impl ClientPresence {
    pub(super) fn of(stream: &Arc<Mutex<Stream>>) -> Self {
        ClientPresence(Arc::downgrade(stream))
    }

    /// Returns whether the client has closed its connection, or its sending side, or the connection has ended.
    pub fn has_left(&self) -> bool {
        self.0
            .upgrade()
            .is_none_or(|stream| locked(&stream).has_peer_closed())
    }

    /// Returns whether the kernel has received at least so many bytes that are still unread.
    pub fn has_received(&self, bytes: usize) -> bool {
        let stream = self.0.upgrade();
        stream.is_some_and(|stream| locked(&stream).has_received(bytes))
    }
}
