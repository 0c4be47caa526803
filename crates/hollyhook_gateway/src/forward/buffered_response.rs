use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hollyhook_core::{AnswerVerdict, AttemptFailure};
use http::Response;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::attempt::{EndpointSlot, OpenResponse};
use super::body_end::has_survived;
use super::endpoint_reply::EndpointReply;
use super::response_rest::ResponseRest;
use crate::front::{CallerRequest, ResponseBody, full_body};
use crate::gateway::GatewayContext;
use crate::path::EndpointTarget;

/// Maximum size of a response body that is held in memory, so that another attempt can replace it if it breaks off.
const MAX_HELD_BYTES: usize = 256 << 10;
/// Time limit for the body of an error response to a request that may be sent elsewhere. The body is short and follows
/// its head at once; an endpoint that pauses for a second between them only costs another attempt.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Part of the caller's time that is left for an answer in place of an error whose body does not end.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Time limit for a body that is not passed on, and is read only so that its connection can be used again.
const UNUSED_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// An endpoint's response with its body, or the beginning of a long one, in memory.
#[derive(Debug)]
pub(super) struct BufferedResponse {
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    rest: Option<ResponseRest>,
}

impl BufferedResponse {
    /// Whether the whole body is in memory; otherwise the response can't be replaced by another any more.
    pub(super) fn is_whole(&self) -> bool {
        self.rest.is_none()
    }

    /// Keeps the endpoint's slot until the body has been read.
    pub(super) fn hold_slot(&mut self, slot: EndpointSlot) {
        if let Some(rest) = &mut self.rest {
            rest.hold_slot(slot);
        }
    }

    /// Converts to the response sent to the caller; status, body and signature stay unchanged.
    pub(super) fn into_response(self) -> Response<ResponseBody> {
        let mut parts = self.parts;
        hollyhook_platform::remove_hop_headers(&mut parts.headers);
        if let Some(rest) = self.rest {
            return Response::from_parts(parts, rest.into_body(self.body));
        }
        if !self.body.is_empty() {
            // The body is framed again by its real length. If it is empty, the header is kept: it may be the length
            // that a HEAD request asks for.
            parts.headers.remove(CONTENT_LENGTH);
        }
        Response::from_parts(parts, full_body(self.body))
    }
}

impl From<EndpointReply> for BufferedResponse {
    fn from(reply: EndpointReply) -> Self {
        Self { parts: reply.parts, body: reply.body, rest: None }
    }
}

impl OpenResponse {
    /// Reads the body up to [`MAX_HELD_BYTES`]; the rest of a longer one is read while it is sent to the caller.
    ///
    /// The body of an error must end within that size and a time limit; otherwise the endpoint may be sending without
    /// end.
    ///
    /// # Errors
    ///
    /// `Broken` if the connection fails before that or the endpoint's process has ended, `Expired` if the caller's time is
    /// up. For an error whose body does not end, the failure that follows from its head, or `Failed`.
    pub(super) async fn read_for_caller(
        self,
        context: &Arc<GatewayContext>,
        caller: &Arc<CallerRequest>,
        target: &EndpointTarget,
    ) -> Result<BufferedResponse, AttemptFailure> {
        let time_left = caller.time_left(context.timer.now());
        if self.parts.status.is_success() {
            let read = context.timer.within(time_left, Box::pin(self.read_held(context, caller, target))).await;
            return read.unwrap_or(Err(AttemptFailure::Expired));
        }
        let (failure, limit) = match self.verdict(caller) {
            AnswerVerdict::Fail(failure) => (failure, UNUSED_BODY_TIMEOUT),
            AnswerVerdict::Pass | AnswerVerdict::PassOrRetry if caller.route.is_retryable() => {
                (AttemptFailure::Failed, ERROR_BODY_TIMEOUT)
            }
            // Nobody else can answer, and the endpoint may only have paused.
            AnswerVerdict::Pass | AnswerVerdict::PassOrRetry => {
                (AttemptFailure::Failed, time_left.saturating_sub(ANSWER_MARGIN))
            }
        };
        let reading = Box::pin(self.read_error(context, caller, target));
        match context.timer.within(limit.min(time_left), reading).await {
            Some(Err(AttemptFailure::Failed)) => Err(failure),
            Some(read) => read,
            None if limit < time_left => Err(failure),
            None => Err(AttemptFailure::Expired),
        }
    }

    /// Reads the body of an error; one that is passed on must be whole.
    async fn read_error(
        self,
        context: &GatewayContext,
        caller: &CallerRequest,
        target: &EndpointTarget,
    ) -> Result<BufferedResponse, AttemptFailure> {
        let is_passed_on = !matches!(self.verdict(caller), AnswerVerdict::Fail(_));
        let end_is_stated = self.has_stated_end();
        let reply = self.read_to_end(context, &target.id, MAX_HELD_BYTES).await?;
        if is_passed_on && !end_is_stated && !has_survived(context, caller, target).await {
            return Err(AttemptFailure::Broken);
        }
        Ok(reply.into())
    }

    async fn read_held(
        mut self,
        context: &Arc<GatewayContext>,
        caller: &Arc<CallerRequest>,
        target: &EndpointTarget,
    ) -> Result<BufferedResponse, AttemptFailure> {
        let is_short = self.body.size_hint().upper().is_some_and(|bytes| bytes <= MAX_HELD_BYTES as u64);
        if is_short {
            return Ok(self.read_to_end(context, &target.id, MAX_HELD_BYTES).await?.into());
        }
        let mut held = BytesMut::new();
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_error| AttemptFailure::Broken)?;
            if let Ok(data) = frame.into_data() {
                held.extend_from_slice(&data);
            }
            if held.len() > MAX_HELD_BYTES {
                let parts = self.parts.clone();
                let rest = ResponseRest::new(Arc::clone(context), Arc::clone(caller), self);
                return Ok(BufferedResponse { parts, body: held.freeze(), rest: Some(rest) });
            }
        }
        if !self.has_whole_body(context, caller, target).await {
            return Err(AttemptFailure::Broken);
        }
        let parts = self.parts.clone();
        self.release(context, &target.id);
        Ok(BufferedResponse { parts, body: held.freeze(), rest: None })
    }
}
