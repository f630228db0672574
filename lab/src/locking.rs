//! Locks that stay usable after a panic of a thread that held them.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex. The data of a poisoned one is taken as the panicking thread left it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
