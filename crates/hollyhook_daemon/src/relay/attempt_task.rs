use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use async_std::task;
use futures::future::{AbortHandle, abortable};
use hollyhook_core::{AttemptNumber, EndpointId, EndpointRefusal, ErrorKind, OpenMode, RelayEvent, TokenLog};
use hollyhook_wire::{CallerRequest, EngineExtension, EngineStream, EngineUsage, EngineWork, StreamItem};

use crate::fleet::HostContext;

/// What reaches the driver of a generation.
#[derive(Debug)]
pub(super) enum DriverEvent {
    /// For the relay.
    Relay(RelayEvent),
    /// What the endpoint said with the end mark, just before the relay's event.
    Totals(Option<EngineUsage>, Option<EngineWork>),
}

impl From<RelayEvent> for DriverEvent {
    fn from(event: RelayEvent) -> Self {
        Self::Relay(event)
    }
}

/// One attempt's connection; dropping it closes the connection and counts it as closed.
#[derive(Debug)]
pub(super) struct AttemptTask {
    context: Arc<HostContext>,
    endpoint: EndpointId,
    abort: AbortHandle,
}

impl Drop for AttemptTask {
    fn drop(&mut self) {
        self.abort.abort();
        self.context.fleet.lock().closed(&self.endpoint);
    }
}

/// What opening an attempt needs.
#[derive(Debug)]
pub(super) struct AttemptOrder {
    pub(super) request: Arc<CallerRequest>,
    pub(super) extension: EngineExtension,
    pub(super) mode: OpenMode,
    pub(super) log: TokenLog,
}

impl AttemptTask {
    /// Opens an attempt at an endpoint where the table counts it already.
    pub(super) fn spawn(
        context: &Arc<HostContext>,
        endpoint: EndpointId,
        order: AttemptOrder,
        inbox: Sender<DriverEvent>,
    ) -> Self {
        let reader = AttemptReader {
            context: Arc::clone(context),
            endpoint: EndpointId::clone(&endpoint),
            attempt: order.extension.attempt,
            inbox,
        };
        let (work, abort) = abortable(reader.run(order));
        task::spawn(work);
        Self {
            context: Arc::clone(context),
            endpoint,
            abort,
        }
    }
}

struct AttemptReader {
    context: Arc<HostContext>,
    endpoint: EndpointId,
    attempt: AttemptNumber,
    inbox: Sender<DriverEvent>,
}

impl AttemptReader {
    async fn run(self, order: AttemptOrder) {
        let attempt = self.attempt;
        let Some(address) = self.context.fleet.address(&self.endpoint) else {
            let refusal = EndpointRefusal::NotHeld;
            return self.report(RelayEvent::Refused { attempt, refusal }).await;
        };
        match self.open(address, order).await {
            Ok(Ok(stream)) => {
                self.report(RelayEvent::Opened { attempt }).await;
                self.read(stream).await;
            }
            Ok(Err(refusal)) => {
                if refusal == EndpointRefusal::Busy {
                    self.context
                        .fleet
                        .lock()
                        .failed(self.context.timer.now(), &self.endpoint);
                }
                self.report(RelayEvent::Refused { attempt, refusal }).await;
            }
            Err(error) if error.kind() == ErrorKind::NotRun => {
                self.context
                    .fleet
                    .lock()
                    .failed(self.context.timer.now(), &self.endpoint);
                self.report(RelayEvent::Unreachable { attempt }).await;
            }
            Err(_) => self.lose().await,
        }
    }

    async fn open(
        &self,
        address: SocketAddr,
        order: AttemptOrder,
    ) -> hollyhook_core::Result<Result<EngineStream, EndpointRefusal>> {
        self.context
            .engine
            .open(address, &order.request, order.extension, order.mode, &order.log)
            .await
    }

    async fn read(&self, mut stream: EngineStream) {
        let attempt = self.attempt;
        loop {
            match stream.next().await {
                Ok(StreamItem::Token { position, text }) => {
                    self.report(RelayEvent::TokenArrived {
                        attempt,
                        position,
                        text,
                    })
                    .await;
                }
                Ok(StreamItem::End {
                    position,
                    reason,
                    usage,
                    work,
                }) => {
                    let _gone = self.inbox.send(DriverEvent::Totals(usage, work)).await;
                    self.context.fleet.lock().succeeded(&self.endpoint);
                    return self
                        .report(RelayEvent::EndArrived {
                            attempt,
                            position,
                            reason,
                        })
                        .await;
                }
                Err(_) => return self.lose().await,
            }
        }
    }

    async fn lose(&self) {
        self.context
            .fleet
            .lock()
            .failed(self.context.timer.now(), &self.endpoint);
        self.report(RelayEvent::ConnectionLost { attempt: self.attempt }).await;
    }

    async fn report(&self, event: RelayEvent) {
        let _gone = self.inbox.send(event.into()).await;
    }
}
