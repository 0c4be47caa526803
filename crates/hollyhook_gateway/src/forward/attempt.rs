use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyhook_core::{AnswerHead, AttemptFailure, EndpointId, EndpointRecord, Name, RouteQuery, TimePoint, ZoneName};
use hollyhook_platform::AttemptHeaders;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::front::{AnswerBody, CallerRequest, whole_body};
use crate::gateway::GatewayContext;
use crate::pool::{PooledConnection, SendFault, keep_time};

/// How long a connection to an endpoint may take. Endpoints accept within a few milliseconds; a partition or a dead
/// machine says nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Where an endpoint is.
#[derive(Debug, Clone)]
pub(super) struct EndpointTarget {
    pub(super) id: EndpointId,
    /// The name that it answers to.
    pub(super) entry: Name,
    pub(super) address: SocketAddr,
    pub(super) zone: ZoneName,
    pub(super) version: Name,
}

impl From<&EndpointRecord> for EndpointTarget {
    fn from(record: &EndpointRecord) -> Self {
        Self {
            id: EndpointId::clone(&record.id),
            entry: Name::clone(&record.entry),
            address: record.address,
            zone: ZoneName::clone(&record.zone),
            version: Name::clone(&record.version),
        }
    }
}

/// A place taken at an endpoint; given back when dropped.
#[derive(Debug)]
pub(super) struct EndpointPlace {
    context: Arc<GatewayContext>,
    pub(super) target: EndpointTarget,
    /// Requests of this host that were open there when it was chosen.
    pub(super) open: u32,
    /// How old what the host knew of endpoints was then, in milliseconds.
    pub(super) known_ms: Option<u64>,
}

impl EndpointPlace {
    /// Takes a place at any endpoint that a query allows; none if none takes a request now.
    pub(super) fn take_any(context: &Arc<GatewayContext>, query: &RouteQuery<'_>) -> Option<Self> {
        let record = context.endpoints.open_any(query)?;
        Some(Self::taken(context, &record))
    }

    /// Takes a place at an endpoint that was chosen; none if it takes no request now.
    pub(super) fn take(context: &Arc<GatewayContext>, record: &EndpointRecord) -> Option<Self> {
        context.endpoints.try_open(&record.id).then(|| Self::taken(context, record))
    }

    /// A place that was taken.
    fn taken(context: &Arc<GatewayContext>, record: &EndpointRecord) -> Self {
        let known_ms = context.endpoints.known_ms();
        Self { context: Arc::clone(context), target: EndpointTarget::from(record), open: record.open, known_ms }
    }

    pub(super) fn id(&self) -> &EndpointId {
        &self.target.id
    }
}

impl Drop for EndpointPlace {
    fn drop(&mut self) {
        self.context.endpoints.table().record_close(&self.target.id);
    }
}

/// An endpoint's answer whose head has arrived.
#[derive(Debug)]
pub(super) struct OpenAnswer {
    pub(super) head: AnswerHead,
    pub(super) parts: Parts,
    pub(super) body: Incoming,
    connection: PooledConnection,
    /// When its request was sent.
    sent_at: TimePoint,
}

impl OpenAnswer {
    /// Keeps the connection for the next request; only after the body was read to its end.
    pub(super) fn release(self, context: &GatewayContext, id: &EndpointId) {
        let keep = keep_time(&self.parts.headers);
        context.pool.put(id, self.connection, keep);
    }

    /// Reads the body to its end and keeps the connection.
    ///
    /// # Errors
    ///
    /// `Broken` if the answer breaks off.
    pub(super) async fn read_whole(
        self,
        context: &GatewayContext,
        id: &EndpointId,
    ) -> Result<WholeAnswer, AttemptFailure> {
        let Self { parts, body, connection, .. } = self;
        let body = body.collect().await.map_err(|_error| AttemptFailure::Broken)?.to_bytes();
        context.pool.put(id, connection, keep_time(&parts.headers));
        Ok(WholeAnswer { parts, body })
    }
}

/// An endpoint's answer that was read whole.
#[derive(Debug)]
pub(super) struct WholeAnswer {
    pub(super) parts: Parts,
    pub(super) body: Bytes,
}

impl WholeAnswer {
    /// The answer as the caller gets it: status, body and signature unchanged.
    pub(super) fn into_response(self) -> Response<AnswerBody> {
        let mut parts = self.parts;
        hollyhook_platform::remove_hop_headers(&mut parts.headers);
        if !self.body.is_empty() {
            // The body is framed anew, by its real length. Without one, the header tells what HEAD asks for.
            parts.headers.remove(CONTENT_LENGTH);
        }
        Response::from_parts(parts, whole_body(self.body))
    }
}

/// Sends a caller's request to an endpoint and waits for the head of the answer.
pub(super) async fn send_attempt(
    context: &GatewayContext,
    caller: &CallerRequest,
    target: &EndpointTarget,
    headers: &AttemptHeaders,
) -> Result<OpenAnswer, AttemptFailure> {
    let mut request = Request::new(Full::new(caller.body.clone()));
    *request.method_mut() = caller.method.clone();
    *request.uri_mut() = origin_form(caller);
    *request.headers_mut() = caller.headers.clone();
    hollyhook_platform::set_attempt_headers(request.headers_mut(), headers);
    let answer = send(context, target, request).await?;
    if answer.head.is_from(&target.entry) && answer.head.terms.rate_limit.is_none() {
        context.endpoints.note_unlimited(&target.id, answer.sent_at);
    }
    Ok(answer)
}

/// Sends any request to an endpoint: on a kept connection, or on a new one if there is none or it was closed.
pub(super) async fn send(
    context: &GatewayContext,
    target: &EndpointTarget,
    mut request: Request<Full<Bytes>>,
) -> Result<OpenAnswer, AttemptFailure> {
    loop {
        let kept = context.pool.take(&target.id);
        let is_kept = kept.is_some();
        let mut connection = match kept {
            Some(connection) => connection,
            None => connect(context, target).await?,
        };
        let sent_at = context.timer.now();
        match connection.send(request).await {
            Ok(response) => {
                let (parts, body) = response.into_parts();
                let head = hollyhook_platform::answer_head(&parts);
                if head.is_from(&target.entry) {
                    context.endpoints.note_terms(&target.id, head.terms);
                }
                return Ok(OpenAnswer { head, parts, body, connection, sent_at });
            }
            Err(SendFault::Unsent(unsent)) if is_kept => request = *unsent,
            Err(SendFault::Unsent(_)) => return Err(AttemptFailure::NotConnected),
            Err(SendFault::Garbled) => return Err(AttemptFailure::Garbled),
            Err(SendFault::Broken) => return Err(AttemptFailure::Broken),
        }
    }
}

/// Sends a request of hollyhook's own to an endpoint and reads the answer whole; none if that takes longer than `limit`
/// or the connection breaks.
pub(super) async fn ask_endpoint(
    context: &GatewayContext,
    target: &EndpointTarget,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Option<WholeAnswer> {
    let exchange = async {
        let answer = send(context, target, request).await?;
        answer.read_whole(context, &target.id).await
    };
    context.timer.within(limit, exchange).await?.ok()
}

async fn connect(context: &GatewayContext, target: &EndpointTarget) -> Result<PooledConnection, AttemptFailure> {
    let connected = context.pool.connect(target.address, CONNECT_TIMEOUT).await;
    connected.map_err(|error| {
        tracing::debug!(endpoint = %target.id, address = %target.address, %error, "endpoint.not_connected");
        AttemptFailure::NotConnected
    })
}

/// The path and query as the caller wrote them.
fn origin_form(caller: &CallerRequest) -> http::Uri {
    let path = caller.uri.path_and_query().cloned();
    path.map_or_else(|| caller.uri.clone(), http::Uri::from)
}
