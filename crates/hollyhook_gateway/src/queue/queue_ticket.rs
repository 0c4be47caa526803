use std::sync::Arc;

use futures::channel::oneshot;
use hollyhook_core::{Name, QueueRefusal};

use super::queue_verdict::QueueVerdict;
use super::{QueueTurn, RefusedWait, ServiceQueues};

/// A place in a queue; removed from it when dropped.
#[derive(Debug)]
pub(super) struct QueueTicket {
    pub(super) queues: Arc<ServiceQueues>,
    pub(super) service: Name,
    pub(super) id: u64,
    pub(super) receiver: oneshot::Receiver<QueueVerdict>,
}

impl QueueTicket {
    /// Waits for the turn.
    ///
    /// # Errors
    ///
    /// Why the request no longer waits.
    pub(super) async fn wait(mut self) -> Result<QueueTurn, RefusedWait> {
        match (&mut self.receiver).await {
            Ok(QueueVerdict::Turn(turn)) => Ok(turn),
            Ok(QueueVerdict::Refused(refused)) => Err(refused),
            // The queue keeps the sender until it has sent a verdict.
            Err(_dropped) => Err(self.queues.refused(&self.service, 0, QueueRefusal::Full)),
        }
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        self.queues.leave(&self.service, self.id);
    }
}
