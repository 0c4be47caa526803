use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a task failed while it held the lock: one lost request must not end all others.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
