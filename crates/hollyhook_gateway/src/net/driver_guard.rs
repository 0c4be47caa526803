use async_std::task;
use futures::future::{AbortHandle, abortable};

/// Runs the task that drives a connection until the connection ends or the guard is dropped.
#[derive(Debug)]
pub(crate) struct DriverGuard(AbortHandle);

impl DriverGuard {
    /// Spawns a task for `connection`, whose error is reported to the request that waits for a response.
    pub(crate) fn spawn<C>(connection: C) -> Self
    where
        C: Future + Send + 'static,
        C::Output: Send,
    {
        let (driver, handle) = abortable(connection);
        task::spawn(async move {
            let _outcome = driver.await;
        });
        Self(handle)
    }
}

impl Drop for DriverGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
