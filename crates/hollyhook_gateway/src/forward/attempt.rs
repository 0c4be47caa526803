use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hollyhook_core::{AnswerHead, AttemptFailure, EndpointId, EndpointRecord, RouteQuery, TimePoint};
use hollyhook_platform::AttemptHeaders;
use http::header::{self, CONTENT_LENGTH};
use http::response::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};

use super::response_rest::ResponseRest;
use crate::front::{CallerRequest, ResponseBody, full_body};
use crate::gateway::GatewayContext;
use crate::path::EndpointTarget;
use crate::pool::{PooledConnection, SendError, keep_alive_time};

/// Maximum size of a response body that is held in memory, so that another attempt can replace it if it breaks off.
const MAX_HELD_BYTES: usize = 256 << 10;

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
    pub(super) connection: PooledConnection,
    /// When the request was sent.
    pub(super) sent_at: TimePoint,
}

impl OpenResponse {
    /// Returns the connection to the pool. The body must have been read to its end.
    pub(super) fn release(self, context: &GatewayContext, id: &EndpointId) {
        let keep = keep_alive_time(&self.parts.headers);
        context.pool.put(id, self.connection, keep);
    }

    /// Reads the body to its end and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// `Broken` if the connection fails before the body is complete.
    async fn read_to_end(self, context: &GatewayContext, id: &EndpointId) -> Result<BufferedResponse, AttemptFailure> {
        let Self { parts, body, connection, .. } = self;
        let body = body.collect().await.map_err(|_error| AttemptFailure::Broken)?.to_bytes();
        context.pool.put(id, connection, keep_alive_time(&parts.headers));
        Ok(BufferedResponse { parts, body, rest: None })
    }

    /// Reads the body up to [`MAX_HELD_BYTES`]; the rest of a longer one is read while it is sent to the caller.
    ///
    /// # Errors
    ///
    /// `Broken` if the connection fails before that.
    pub(super) async fn read_for_caller(
        mut self,
        context: &Arc<GatewayContext>,
        caller: &Arc<CallerRequest>,
        id: &EndpointId,
    ) -> Result<BufferedResponse, AttemptFailure> {
        let is_short = self.body.size_hint().upper().is_some_and(|bytes| bytes <= MAX_HELD_BYTES as u64);
        if is_short {
            return self.read_to_end(context, id).await;
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
        let parts = self.parts.clone();
        self.release(context, id);
        Ok(BufferedResponse { parts, body: held.freeze(), rest: None })
    }
}

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

/// Sends a caller's request to an endpoint and waits for the head of the response.
pub(super) async fn send_attempt(
    context: &GatewayContext,
    caller: &CallerRequest,
    target: &EndpointTarget,
    headers: &AttemptHeaders,
) -> Result<OpenResponse, AttemptFailure> {
    let mut request = Request::new(Full::new(caller.body.clone()));
    *request.method_mut() = caller.method.clone();
    *request.uri_mut() = origin_form(caller);
    *request.headers_mut() = caller.headers.clone();
    hollyhook_platform::set_attempt_headers(request.headers_mut(), headers);
    let response = send(context, target, request).await?;
    if response.head.is_from(&target.entry) {
        context.endpoints.end_terms(&target.id, response.head.terms, response.sent_at);
    }
    Ok(response)
}

/// Sends a request to an endpoint on a pooled connection, or on a new one if none is pooled.
///
/// If a pooled connection turns out to be closed before any byte was sent, the request is sent on another connection.
pub(super) async fn send(
    context: &GatewayContext,
    target: &EndpointTarget,
    mut request: Request<Full<Bytes>>,
) -> Result<OpenResponse, AttemptFailure> {
    loop {
        let pooled = context.pool.take(&target.id);
        let is_pooled = pooled.is_some();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => connect(context, target).await?,
        };
        let sent_at = context.timer.now();
        match connection.send(request).await {
            Ok(response) => {
                if !connection.is_tunnel() {
                    context.paths.record_heard(target);
                }
                let (parts, body) = response.into_parts();
                let head = hollyhook_platform::answer_head(&parts);
                if head.is_from(&target.entry) {
                    context.endpoints.record_heard(&target.id);
                    context.endpoints.apply_terms(&target.id, head.terms);
                }
                return Ok(OpenResponse { head, parts, body, connection, sent_at });
            }
            Err(SendError::Unsent(unsent)) if is_pooled => request = *unsent,
            Err(SendError::Unsent(_)) => return Err(AttemptFailure::NotConnected),
            Err(SendError::Garbled) => return Err(AttemptFailure::Garbled),
            Err(SendError::Broken) => return Err(AttemptFailure::Broken),
        }
    }
}

/// Sends a request of hollyhook's own to an endpoint and reads the whole response.
///
/// # Errors
///
/// `Silent` if that takes longer than `limit`; `NotConnected`, `Broken` or `Garbled` if the connection fails.
pub(super) async fn call_endpoint(
    context: &GatewayContext,
    target: &EndpointTarget,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<BufferedResponse, AttemptFailure> {
    let exchange = async {
        let response = send(context, target, request).await?;
        response.read_to_end(context, &target.id).await
    };
    context.timer.within(limit, exchange).await.unwrap_or(Err(AttemptFailure::Silent))
}

/// Sends an engine an order to copy the KV cache of a run, and reads the whole response; `None` if there is
/// none in time.
pub(super) async fn order_copy(
    context: &GatewayContext,
    engine: &EndpointTarget,
    order: Vec<u8>,
    limit: Duration,
) -> Option<BufferedResponse> {
    let request = Request::post(hollyhook_platform::backup_path())
        .header(header::HOST, engine.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(order))
        .ok()?;
    call_endpoint(context, engine, request, limit).await.ok()
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
