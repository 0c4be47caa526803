use std::sync::Mutex;

use futures::channel::oneshot;

use super::lock;

/// Those who wait for something to happen once.
#[derive(Debug, Default)]
pub(crate) struct WakeList {
    waiters: Mutex<Vec<oneshot::Sender<()>>>,
}

impl WakeList {
    /// Completes when [`wake`](Self::wake) is called next.
    pub(crate) fn wait(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = lock(&self.waiters);
        waiters.retain(|waiter| !waiter.is_canceled());
        waiters.push(sender);
        receiver
    }

    /// Wakes all who wait.
    pub(crate) fn wake(&self) {
        for waiter in lock(&self.waiters).drain(..) {
            // Who waited may have left.
            let _gone = waiter.send(());
        }
    }
}
