use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use hollyhook_core::{Error, ErrorKind, Result};
use hollyhook_platform::remove_hop_headers;
use http::Response;
use http::header::CONTENT_LENGTH;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::let_connection_flush;
use super::stream_run::StreamRun;
use crate::front::{CallerRequest, ResponseBody};
use crate::gateway::{GatewayContext, StreamWaitGuard};

/// Forwards a generation as a stream; returns once the first event, or a response that is not a stream, has arrived.
pub(super) async fn forward_stream(
    context: &Arc<GatewayContext>,
    caller: CallerRequest,
) -> Result<Response<ResponseBody>> {
    let mut run = StreamRun::new(Arc::clone(context), Arc::new(caller));
    let first = match run.next().await {
        Some(Ok(bytes)) => bytes,
        Some(Err(error)) => return Err(error),
        None => Bytes::new(),
    };
    if let Some(response) = run.plain_response.take() {
        return Ok(response.into_response());
    }
    let Some(mut parts) = run.first_head.take() else {
        return Err(Error::new(ErrorKind::Internal, "a stream began without a head"));
    };
    remove_hop_headers(&mut parts.headers);
    // The length is that of one attempt, and the stream may resume at another engine.
    parts.headers.remove(CONTENT_LENGTH);
    let state = StreamState { first: Some(first), run, waiting: None };
    let body = StreamBody::new(stream::unfold(state, next_frame)).boxed_unsync();
    Ok(Response::from_parts(parts, body))
}

struct StreamState {
    first: Option<Bytes>,
    run: StreamRun,
    /// Present from when events are ready until the caller's connection asks for more.
    waiting: Option<StreamWaitGuard>,
}

async fn next_frame(mut state: StreamState) -> Option<(Result<Frame<Bytes>>, StreamState)> {
    state.waiting = None;
    let next = match state.first.take() {
        Some(first) if first.is_empty() => None,
        Some(first) => Some(Ok(first)),
        None => state.run.next().await,
    };
    if matches!(next, Some(Err(_))) {
        let_connection_flush().await;
    }
    state.waiting = Some(state.run.context.load.wait_for_caller());
    next.map(|outcome| (outcome.map(Frame::data), state))
}
