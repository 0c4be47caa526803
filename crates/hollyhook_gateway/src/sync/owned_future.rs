use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll};

/// A future that only its owner polls.
///
/// The mutex is never locked: it makes the owner `Sync`, so that the owner can be borrowed across an `await`.
pub(crate) struct OwnedFuture<T>(Mutex<Pin<Box<dyn Future<Output = T> + Send>>>);

impl<T> OwnedFuture<T> {
    pub(crate) fn new(future: impl Future<Output = T> + Send + 'static) -> Self {
        Self(Mutex::new(Box::pin(future)))
    }

    pub(crate) fn poll(&mut self, task: &mut Context<'_>) -> Poll<T> {
        let future = self.0.get_mut().unwrap_or_else(PoisonError::into_inner);
        future.as_mut().poll(task)
    }
}
