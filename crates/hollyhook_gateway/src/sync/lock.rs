use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if it is poisoned: a task that panics while it holds the lock must not fail all other requests.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
