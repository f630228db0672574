//! A lock that a panic does not poison.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex whose value no holder leaves half changed, also after a holder has panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
