//! Locks that a panic elsewhere does not take away.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex. State behind the project's mutexes is changed in steps that
/// can't panic half-way, so a poisoned one is as good as any.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poison| poison.into_inner())
}
