use std::sync::Arc;

use futures::future::{BoxFuture, FutureExt, pending};
use hollyhook_core::{AttemptNumber, EndpointId, EndpointRefusal, ErrorKind, OpenMode, RelayEvent, Result, TokenLog};
use hollyhook_wire::{CallerRequest, EngineExtension, EngineStream, EngineUsage, StreamItem};

use crate::fleet::{HostContext, take_report};

/// One attempt's connection; dropping it closes the connection and counts it as closed.
///
/// The driver polls it itself: a task of its own would cost each token one more wake-up of a thread.
pub(super) struct AttemptLink {
    context: Arc<HostContext>,
    endpoint: EndpointId,
    attempt: AttemptNumber,
    phase: LinkPhase,
    usage: Option<EngineUsage>,
}

/// What opening an attempt needs.
#[derive(Debug)]
pub(super) struct AttemptOrder {
    pub(super) request: Arc<CallerRequest>,
    pub(super) extension: EngineExtension,
    pub(super) mode: OpenMode,
    pub(super) log: TokenLog,
}

type OpenOutcome = Result<std::result::Result<EngineStream, EndpointRefusal>>;

enum LinkPhase {
    Opening(BoxFuture<'static, OpenOutcome>),
    Reading(Box<EngineStream>),
    Ended,
}

impl Drop for AttemptLink {
    fn drop(&mut self) {
        self.context.fleet.lock().record_close(&self.endpoint);
    }
}

impl AttemptLink {
    /// Opens an attempt at an endpoint where the table counts it already.
    pub(super) fn open(context: &Arc<HostContext>, endpoint: EndpointId, order: AttemptOrder) -> Self {
        let attempt = order.extension.attempt;
        let phase = LinkPhase::Opening(open(Arc::clone(context), EndpointId::clone(&endpoint), order).boxed());
        Self { context: Arc::clone(context), endpoint, attempt, phase, usage: None }
    }

    /// The usage that the endpoint gave with the end mark.
    pub(super) fn usage(&self) -> Option<EngineUsage> {
        self.usage
    }

    /// An event that needs no waiting, if there is one.
    pub(super) fn ready(&mut self) -> Option<RelayEvent> {
        let LinkPhase::Reading(stream) = &mut self.phase else {
            return None;
        };
        let item = stream.next_buffered()?;
        Some(self.event(item))
    }

    /// Waits for the next event; may be dropped and called again without losing one.
    pub(super) async fn next(&mut self) -> RelayEvent {
        match &mut self.phase {
            LinkPhase::Opening(opening) => {
                let outcome = opening.await;
                self.opened(outcome)
            }
            LinkPhase::Reading(stream) => {
                let item = stream.next().await;
                self.event(item)
            }
            LinkPhase::Ended => pending().await,
        }
    }

    fn opened(&mut self, outcome: OpenOutcome) -> RelayEvent {
        let attempt = self.attempt;
        self.phase = LinkPhase::Ended;
        match outcome {
            Ok(Ok(stream)) => {
                if let Some(load) = stream.load() {
                    take_report(&self.context, &self.endpoint, &load);
                }
                self.phase = LinkPhase::Reading(Box::new(stream));
                RelayEvent::Opened { attempt }
            }
            Ok(Err(refusal)) => {
                if refusal == EndpointRefusal::Busy {
                    self.note_failure();
                }
                RelayEvent::Refused { attempt, refusal }
            }
            Err(error) if error.kind() == ErrorKind::NotRun => {
                self.note_failure();
                RelayEvent::Unreachable { attempt }
            }
            Err(_) => self.lost(),
        }
    }

    fn event(&mut self, item: Result<StreamItem>) -> RelayEvent {
        let attempt = self.attempt;
        match item {
            Ok(StreamItem::Token { position, text }) => RelayEvent::TokenArrived { attempt, position, text },
            Ok(StreamItem::End { position, reason, usage, .. }) => {
                self.phase = LinkPhase::Ended;
                self.usage = usage;
                self.context.fleet.lock().record_success(&self.endpoint);
                RelayEvent::EndArrived { attempt, position, reason }
            }
            Err(_) => self.lost(),
        }
    }

    fn lost(&mut self) -> RelayEvent {
        self.phase = LinkPhase::Ended;
        self.note_failure();
        RelayEvent::ConnectionLost { attempt: self.attempt }
    }

    fn note_failure(&self) {
        self.context.fleet.lock().record_failure(self.context.timer.now(), &self.endpoint);
    }
}

async fn open(context: Arc<HostContext>, endpoint: EndpointId, order: AttemptOrder) -> OpenOutcome {
    let Some(address) = context.fleet.address(&endpoint) else {
        return Ok(Err(EndpointRefusal::NotHeld));
    };
    context.engine.open(address, &order.request, order.extension, order.mode, &order.log).await
}
