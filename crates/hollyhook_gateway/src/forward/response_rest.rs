use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use hollyhook_core::{Error, ErrorKind, Result, VersionOutcome};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::attempt::{EndpointSlot, OpenResponse};
use super::attempt_times::{AttemptTimes, record_version_outcome};
use super::let_connection_flush;
use crate::front::{CallerRequest, ResponseBody};
use crate::gateway::GatewayContext;

/// The part of a long response that is read while the response is sent to the caller, at the caller's speed.
#[derive(Debug)]
pub(super) struct ResponseRest {
    context: Arc<GatewayContext>,
    caller: Arc<CallerRequest>,
    response: OpenResponse,
    slot: Option<EndpointSlot>,
}

impl ResponseRest {
    pub(super) fn new(context: Arc<GatewayContext>, caller: Arc<CallerRequest>, response: OpenResponse) -> Self {
        Self { context, caller, response, slot: None }
    }

    /// Keeps the endpoint's slot until the body has been read.
    pub(super) fn hold_slot(&mut self, slot: EndpointSlot) {
        self.slot = Some(slot);
    }

    /// The whole body, of which `held` has been read already.
    pub(super) fn into_body(self, held: Bytes) -> ResponseBody {
        let state = BodyState { held: Some(held), rest: Some(self) };
        StreamBody::new(stream::unfold(state, next_frame)).boxed_unsync()
    }

    /// The next bytes; `None` at the end of the body.
    async fn next(&mut self) -> Option<Result<Bytes>> {
        loop {
            let time_left = self.caller.time_left(self.context.timer.now());
            match self.context.timer.within(time_left, self.response.body.frame()).await {
                Some(None) if self.is_cut_short().await => {
                    self.record_broken();
                    return Some(Err(truncated("the endpoint's process has ended")));
                }
                Some(None) => return None,
                Some(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Some(Some(Err(_error))) => {
                    self.record_broken();
                    return Some(Err(truncated("the endpoint's response broke off")));
                }
                None => return Some(Err(truncated("the caller's time is up"))),
            }
        }
    }

    /// Whether the body ended with the endpoint's process, which is not asked without a slot that names it.
    async fn is_cut_short(&self) -> bool {
        match &self.slot {
            Some(slot) => !self.response.has_whole_body(&self.context, &self.caller, &slot.target).await,
            None => false,
        }
    }

    /// Records that the endpoint, whose response counted as good by its beginning, did not send the end.
    fn record_broken(&self) {
        if let Some(slot) = &self.slot {
            let outcome = Some(VersionOutcome::Broken);
            record_version_outcome(&self.context, &self.caller, &slot.target, outcome, AttemptTimes::default());
        }
    }

    fn release(self) {
        if let Some(slot) = &self.slot {
            self.response.release(&self.context, slot.id());
        }
    }
}

struct BodyState {
    held: Option<Bytes>,
    /// Absent once the body has ended.
    rest: Option<ResponseRest>,
}

async fn next_frame(mut state: BodyState) -> Option<(Result<Frame<Bytes>>, BodyState)> {
    if let Some(held) = state.held.take() {
        return Some((Ok(Frame::data(held)), state));
    }
    let mut rest = state.rest.take()?;
    match rest.next().await {
        None => {
            rest.release();
            None
        }
        Some(Ok(bytes)) => {
            state.rest = Some(rest);
            Some((Ok(Frame::data(bytes)), state))
        }
        Some(Err(error)) => {
            tracing::info!(request = %rest.caller.head.attempt_id, reason = %error.message(), "response.truncated");
            rest.context.recorder.count("responses_truncated");
            drop(rest);
            let_connection_flush().await;
            Some((Err(error), state))
        }
    }
}

fn truncated(message: &str) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, message)
}
