use std::sync::Arc;

use futures::future::{BoxFuture, FutureExt, pending};
use hollyhook_core::{AttemptNumber, EndpointId, EndpointRefusal, ErrorKind, OpenMode, RelayEvent, Result, TokenLog};
use hollyhook_wire::{CallerRequest, EngineExtension, EngineStream, EngineUsage, StreamItem};

use crate::fleet::{HostContext, apply_load_report};

/// The connection of one attempt; dropping the link closes the connection and records that in the endpoint table.
///
/// The driver polls the link directly: with a separate task, each token would cost an additional thread wake-up.
pub(super) struct AttemptLink {
    context: Arc<HostContext>,
    endpoint: EndpointId,
    attempt: AttemptNumber,
    phase: LinkPhase,
    usage: Option<EngineUsage>,
}

/// Parameters for opening an attempt.
#[derive(Debug)]
pub(super) struct AttemptSpec {
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
    /// Opens an attempt at an endpoint; the caller has already recorded the connection in the endpoint table.
    pub(super) fn open(context: &Arc<HostContext>, endpoint: EndpointId, spec: AttemptSpec) -> Self {
        let attempt = spec.extension.attempt;
        let phase = LinkPhase::Opening(open(Arc::clone(context), EndpointId::clone(&endpoint), spec).boxed());
        Self { context: Arc::clone(context), endpoint, attempt, phase, usage: None }
    }

    /// The usage that the endpoint reported with the end event, if any.
    pub(super) fn usage(&self) -> Option<EngineUsage> {
        self.usage
    }

    /// The next event among the bytes already received, or `None` if they hold no complete event.
    pub(super) fn next_buffered(&mut self) -> Option<RelayEvent> {
        let LinkPhase::Reading(stream) = &mut self.phase else {
            return None;
        };
        let item = stream.next_buffered()?;
        Some(self.stream_event(item))
    }

    /// Waits for the next event; the future can be dropped and `next` called again without losing an event.
    pub(super) async fn next(&mut self) -> RelayEvent {
        match &mut self.phase {
            LinkPhase::Opening(opening) => {
                let outcome = opening.await;
                self.open_event(outcome)
            }
            LinkPhase::Reading(stream) => {
                let item = stream.next().await;
                self.stream_event(item)
            }
            LinkPhase::Ended => pending().await,
        }
    }

    fn open_event(&mut self, outcome: OpenOutcome) -> RelayEvent {
        let attempt = self.attempt;
        self.phase = LinkPhase::Ended;
        match outcome {
            Ok(Ok(stream)) => {
                if let Some(load) = stream.load() {
                    apply_load_report(&self.context, &self.endpoint, &load);
                }
                self.phase = LinkPhase::Reading(Box::new(stream));
                RelayEvent::Opened { attempt }
            }
            Ok(Err(refusal)) => {
                if refusal == EndpointRefusal::Busy {
                    self.record_failure();
                }
                RelayEvent::Refused { attempt, refusal }
            }
            Err(error) if error.kind() == ErrorKind::NotRun => {
                self.record_failure();
                RelayEvent::Unreachable { attempt }
            }
            Err(_) => self.loss_event(),
        }
    }

    fn stream_event(&mut self, item: Result<StreamItem>) -> RelayEvent {
        let attempt = self.attempt;
        match item {
            Ok(StreamItem::Token { position, text }) => RelayEvent::TokenArrived { attempt, position, text },
            Ok(StreamItem::End { position, reason, usage, .. }) => {
                self.phase = LinkPhase::Ended;
                self.usage = usage;
                self.context.fleet.lock().record_success(&self.endpoint);
                RelayEvent::EndArrived { attempt, position, reason }
            }
            Err(_) => self.loss_event(),
        }
    }

    fn loss_event(&mut self) -> RelayEvent {
        self.phase = LinkPhase::Ended;
        self.record_failure();
        RelayEvent::ConnectionLost { attempt: self.attempt }
    }

    fn record_failure(&self) {
        self.context.fleet.lock().record_failure(self.context.timer.now(), &self.endpoint);
    }
}

async fn open(context: Arc<HostContext>, endpoint: EndpointId, spec: AttemptSpec) -> OpenOutcome {
    let Some(address) = context.fleet.address(&endpoint) else {
        return Ok(Err(EndpointRefusal::NotHeld));
    };
    context.engine.open(address, &spec.request, spec.extension, spec.mode, &spec.log).await
}
