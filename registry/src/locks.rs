//! Locks that are never left half-way.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks what no holder leaves half-way.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
