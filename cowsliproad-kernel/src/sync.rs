//! Mutex locking that ignores poisoning.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, even if it is poisoned. Code in this project can't panic
/// halfway through an update under a mutex, so the data of a poisoned mutex
/// is still consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poison| poison.into_inner())
}
