//! Locks that outlive a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a thread has panicked with it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
