use std::sync::Mutex;

use futures::channel::oneshot;

use super::lock;

/// Tasks that wait for the next occurrence of an event.
#[derive(Debug, Default)]
pub(crate) struct WakeList {
    waiters: Mutex<Vec<oneshot::Sender<()>>>,
}

impl WakeList {
    /// Returns a receiver that completes at the next call of [`wake`](Self::wake).
    pub(crate) fn wait(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = lock(&self.waiters);
        waiters.retain(|waiter| !waiter.is_canceled());
        waiters.push(sender);
        receiver
    }

    /// Wakes all waiting tasks.
    pub(crate) fn wake(&self) {
        for waiter in lock(&self.waiters).drain(..) {
            // The waiting task may have dropped its receiver.
            let _gone = waiter.send(());
        }
    }
}
