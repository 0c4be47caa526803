use std::sync::Arc;

use hollyhook_core::{Name, QueueRequest};

use super::ServiceQueues;

/// The turn of a request: while it exists, no other waiting request of this host to the same service looks for an
/// endpoint.
///
/// When it is dropped, for example because the caller disconnects, the next request gets a turn.
#[derive(Debug)]
pub(crate) struct QueueTurn {
    queues: Option<Arc<ServiceQueues>>,
    service: Name,
    request: QueueRequest,
}

impl QueueTurn {
    pub(super) fn new(queues: &Arc<ServiceQueues>, service: &Name, request: QueueRequest) -> Self {
        Self { queues: Some(Arc::clone(queues)), service: Name::clone(service), request }
    }

    /// Ends the turn: the request is sent to an endpoint.
    pub(crate) fn end_sent(mut self) {
        if let Some(queues) = self.queues.take() {
            queues.record_sent(&self.service, self.request.priority);
        }
    }

    /// Ends the turn: no endpoint has room. The request then waits at its former place.
    pub(super) fn into_unsent(mut self) -> QueueRequest {
        self.queues = None;
        self.request.clone()
    }
}

impl Drop for QueueTurn {
    fn drop(&mut self) {
        if let Some(queues) = self.queues.take() {
            queues.pass_on(&self.service);
        }
    }
}
