use std::sync::Arc;

use bytes::Bytes;
use hollyhook_core::{
    AnswerHead, AnswerVerdict, AttemptFailure, EndpointId, EndpointRecord, Name, RouteQuery, TimePoint, evaluate_answer,
};
use hollyhook_platform::AttemptHeaders;
use http::Request;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::front::CallerRequest;
use crate::gateway::GatewayContext;
use crate::path::EndpointTarget;
use crate::pool::{PooledConnection, SendError, keep_alive_time};

/// A concurrency slot reserved at an endpoint; released when dropped.
#[derive(Debug)]
pub(super) struct EndpointSlot {
    context: Arc<GatewayContext>,
    pub(super) target: EndpointTarget,
    /// Requests that this host had open at the endpoint when the endpoint was chosen.
    pub(super) open: u32,
    /// Age of this host's endpoint list when the endpoint was chosen, in milliseconds; `None` before the first list.
    pub(super) known_ms: Option<u64>,
}

impl EndpointSlot {
    /// Chooses an endpoint that matches the query and reserves a slot there; `None` if no endpoint admits a request
    /// now.
    pub(super) fn reserve_any(context: &Arc<GatewayContext>, query: &RouteQuery<'_>) -> Option<Self> {
        let record = context.endpoints.open_any(query)?;
        Some(Self::new(context, &record))
    }

    /// Reserves a slot at a given endpoint, which can process `slots` requests of this size at a time; `None` if the
    /// endpoint admits no request now.
    pub(super) fn reserve(context: &Arc<GatewayContext>, record: &EndpointRecord, slots: Option<u32>) -> Option<Self> {
        context.endpoints.try_open(&record.id, slots).then(|| Self::new(context, record))
    }

    /// Wraps a slot that the endpoint table has already counted as open.
    fn new(context: &Arc<GatewayContext>, record: &EndpointRecord) -> Self {
        let known_ms = context.endpoints.known_ms();
        Self { context: Arc::clone(context), target: EndpointTarget::from(record), open: record.open, known_ms }
    }

    pub(super) fn id(&self) -> &EndpointId {
        &self.target.id
    }
}

impl Drop for EndpointSlot {
    fn drop(&mut self) {
        self.context.endpoints.table().record_close(&self.target.id);
    }
}

/// An endpoint's response whose head has arrived and whose body is still to be read.
#[derive(Debug)]
pub(super) struct OpenResponse {
    pub(super) head: AnswerHead,
    pub(super) parts: Parts,
    pub(super) body: Incoming,
    /// The name of the endpoint that the request was addressed to.
    entry: Name,
    pub(super) connection: PooledConnection,
    /// When the request was sent.
    pub(super) sent_at: TimePoint,
}

impl OpenResponse {
    /// Whether the response may be passed on to the caller, by its head.
    pub(super) fn verdict(&self, caller: &CallerRequest) -> AnswerVerdict {
        evaluate_answer(caller.route.kind, &caller.head.attempt_id, &self.entry, &self.head)
    }

    /// Returns the connection to the pool. The body must have been read to its end.
    pub(super) fn release(self, context: &GatewayContext, id: &EndpointId) {
        let keep = keep_alive_time(&self.parts.headers);
        context.pool.put(id, self.connection, keep);
    }
}

/// Sends a caller's request to an endpoint and waits for the head of the response.
///
/// `on_send` is called with the time at which the request is sent on a connection.
pub(super) async fn send_attempt(
    context: &GatewayContext,
    caller: &CallerRequest,
    target: &EndpointTarget,
    headers: &AttemptHeaders,
    on_send: impl Fn(TimePoint),
) -> Result<OpenResponse, AttemptFailure> {
    let mut request = Request::new(Full::new(caller.body.clone()));
    *request.method_mut() = caller.method.clone();
    *request.uri_mut() = origin_form(caller);
    *request.headers_mut() = caller.headers.clone();
    hollyhook_platform::set_attempt_headers(request.headers_mut(), headers);
    let response = send(context, target, request, Some(&caller.head.attempt_id), on_send).await?;
    if response.head.is_from(&target.entry) {
        context.endpoints.end_terms(&target.id, response.head.terms, response.sent_at);
    }
    if let Some(load) = response.head.load {
        context.endpoints.record_load(&target.id, load);
    }
    Ok(response)
}

/// Sends a request to an endpoint on a pooled connection, or on a new one if none is pooled.
///
/// `attempt_id` is that of the request, `None` if it carries none. If a pooled connection turns out to be closed before any
/// byte was sent, the request is sent on another connection, and `on_send` is called again.
///
/// # Errors
///
/// `Garbled` also if the first answer on the connection is one to another request. Nothing is learned from it, and the
/// connection is closed.
pub(super) async fn send(
    context: &GatewayContext,
    target: &EndpointTarget,
    mut request: Request<Full<Bytes>>,
    attempt_id: Option<&Name>,
    on_send: impl Fn(TimePoint),
) -> Result<OpenResponse, AttemptFailure> {
    while let Some(connection) = context.pool.take(&target.id, attempt_id) {
        match exchange(context, target, connection, request, attempt_id, &on_send).await {
            Err(SendError::Unsent(unsent)) => request = *unsent,
            outcome => return outcome.map_err(AttemptFailure::from),
        }
    }
    let connection = connect(context, target).await?;
    exchange(context, target, connection, request, attempt_id, &on_send).await.map_err(AttemptFailure::from)
}

/// Sends a request without an attempt id to an endpoint on a new connection, so that no earlier request can be answered
/// in its place.
///
/// # Errors
///
/// As [`send`].
pub(super) async fn send_alone(
    context: &GatewayContext,
    target: &EndpointTarget,
    request: Request<Full<Bytes>>,
) -> Result<OpenResponse, AttemptFailure> {
    let connection = connect(context, target).await?;
    exchange(context, target, connection, request, None, &|_sent_at| {}).await.map_err(AttemptFailure::from)
}

async fn exchange(
    context: &GatewayContext,
    target: &EndpointTarget,
    mut connection: PooledConnection,
    request: Request<Full<Bytes>>,
    attempt_id: Option<&Name>,
    on_send: &impl Fn(TimePoint),
) -> Result<OpenResponse, SendError> {
    if let Some(attempt_id) = attempt_id {
        connection.record_attempt(attempt_id);
    }
    let sent_at = context.timer.now();
    on_send(sent_at);
    let (parts, body) = connection.send(request).await?.into_parts();
    let head = hollyhook_platform::answer_head(&parts);
    if head.is_foreign(attempt_id.map(|id| &**id)) {
        record_foreign(context, target, &head, attempt_id);
        return Err(SendError::Garbled);
    }
    if !connection.is_tunnel() {
        context.paths.record_heard(target);
    }
    if head.is_from(&target.entry) {
        context.endpoints.record_heard(&target.id);
        context.endpoints.apply_terms(&target.id, head.terms);
    }
    Ok(OpenResponse { head, parts, body, entry: Name::clone(&target.entry), connection, sent_at })
}

impl From<SendError> for AttemptFailure {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(_) => Self::NotConnected,
            SendError::Garbled => Self::Garbled,
            SendError::Broken => Self::Broken,
        }
    }
}

/// Records that an answer is not that to the request with `attempt_id`.
fn record_foreign(context: &GatewayContext, target: &EndpointTarget, head: &AnswerHead, attempt_id: Option<&Name>) {
    if let (None, Some(request)) = (&head.attempt_id, attempt_id) {
        context.recorder.count("answers_without_id");
        tracing::info!(%request, endpoint = %target.id, status = head.status, is_not_run = head.is_not_run,
            is_signed = head.is_signed, "answer.without_id");
    }
}

async fn connect(context: &GatewayContext, target: &EndpointTarget) -> Result<PooledConnection, AttemptFailure> {
    let begin = context.timer.now();
    let connected = context.connector.connect(target).await;
    if connected.as_ref().is_ok_and(|connection| !connection.is_tunnel()) {
        context.endpoints.record_network_time(&target.group.zone, context.timer.now().since(begin));
    }
    connected.map_err(|error| {
        context.recorder.count(error.counter());
        tracing::info!(endpoint = %target.id, address = %target.address, zone = %target.group.zone, cause = error.cause(),
            elsewhere = error.elsewhere.as_str(), "endpoint.not_connected");
        AttemptFailure::NotConnected
    })
}

/// Path and query of the caller's URI, without scheme and authority.
fn origin_form(caller: &CallerRequest) -> http::Uri {
    let path = caller.uri.path_and_query().cloned();
    path.map_or_else(|| caller.uri.clone(), http::Uri::from)
}
