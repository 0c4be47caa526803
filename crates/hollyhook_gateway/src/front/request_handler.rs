use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyhook_core::{Error, ErrorKind, Name, Result, RoutePlan, SiteIndex, StopPhase, TimePoint};
use http::header::{CONNECTION, HOST, HeaderValue};
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use rand::Rng;

use super::idle_watch::IdleWatch;
use super::{AnswerBody, CallerRequest, own_answer};
use crate::forward::forward;
use crate::gateway::GatewayContext;

/// When the caller of a plain call should come back whose host does not know the configuration, or not for certain:
/// another host most likely does, and a call waits for a second at most.
const UNCERTAIN_CALL_RETRY: Duration = Duration::from_millis(10);
/// The same for a stream. 2.5 s, to outlast an outage of the store for all hosts, was tried and served fewer.
const UNCERTAIN_STREAM_RETRY: Duration = Duration::from_millis(150);
/// When a caller should come back whose host is stopping; the next connection goes to another one.
const STOPPING_RETRY: Duration = Duration::from_millis(20);
/// When a caller should come back for whom there is no memory.
const MEMORY_RETRY: Duration = Duration::from_millis(500);
/// How long a body may take to arrive, if neither caller nor route gives up sooner.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers one request of a caller.
pub(super) async fn handle(
    request: Request<Incoming>,
    context: &Arc<GatewayContext>,
    watch: Arc<IdleWatch>,
) -> Response<AnswerBody> {
    watch.begin();
    let active = ActiveMark { context: Arc::clone(context), watch };
    let (parts, body) = request.into_parts();
    let mut response = match admit(parts, body, context).await {
        Ok(caller) => forward(context, caller).await,
        Err(error) => {
            tracing::info!(kind = %error.kind(), reason = %error.message(), "request.refused");
            own_answer(&error)
        }
    };
    if context.phase() != StopPhase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| {
        body.map_frame(move |frame| {
            // The connection is not idle before the body has gone.
            let _active = &active;
            frame
        })
        .boxed_unsync()
    })
}

/// Reads and checks a request: where it goes, who asks, whether it can be served here.
async fn admit(parts: Parts, body: Incoming, context: &Arc<GatewayContext>) -> Result<CallerRequest> {
    let arrived = context.timer.now();
    let guard = context.begin_request();
    let site = context.site().ok_or_else(|| uncertain(None))?;
    let head = hollyhook_platform::caller_head(&parts.headers)?;
    let route = find_route(&site, &parts).map_err(|error| certain(error, context))?;
    let account = find_account(&site, &route, head.key.as_ref(), context)?;
    check_phase(&route, context)?;
    let patience = head.patience.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + patience;
    let expected = body.size_hint().lower() as usize;
    let claim = context.claim_body(expected).ok_or_else(|| {
        Error::new(ErrorKind::Overloaded, "requests under way take all memory for bodies").retry_after(MEMORY_RETRY)
    })?;
    let body = read_body(body, site.limits().body_bytes, deadline, context).await?;
    let service = draw_service(&route)?;
    let engine = site.service(&service).and_then(|service| service.engine);
    Ok(CallerRequest {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        head,
        route,
        account,
        service,
        engine,
        arrived,
        deadline,
        _claim: claim,
        _guard: guard,
    })
}

fn find_route(site: &SiteIndex, parts: &Parts) -> Result<Arc<RoutePlan>> {
    let mut hosts = parts.headers.get_all(HOST).iter();
    let host = hosts.next().and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host());
    if hosts.next().is_some() {
        return Err(Error::new(ErrorKind::MalformedHead, "the header `host` stands more than once").param("host"));
    }
    let host =
        host.ok_or_else(|| Error::new(ErrorKind::MalformedHead, "the header `host` is missing").param("host"))?;
    site.route(host, parts.uri.path())
}

/// Refuses for what the configuration says only while it is known to be the newest.
fn certain(error: Error, context: &GatewayContext) -> Error {
    if context.is_site_current() { error } else { uncertain(None) }
}

fn uncertain(route: Option<&RoutePlan>) -> Error {
    let why = "the platform has not confirmed this host's configuration for too long";
    let is_stream = route.is_some_and(|route| route.kind.is_stream());
    let retry = if is_stream { UNCERTAIN_STREAM_RETRY } else { UNCERTAIN_CALL_RETRY };
    Error::new(ErrorKind::PlatformDown, why).retry_after(retry)
}

fn find_account(
    site: &SiteIndex,
    route: &RoutePlan,
    key: Option<&Name>,
    context: &GatewayContext,
) -> Result<Option<Arc<hollyhook_core::AccountPlan>>> {
    if !route.is_public && !context.is_site_current() {
        return Err(uncertain(Some(route)));
    }
    site.account(route, key.map(|key| &**key))
}

fn check_phase(route: &RoutePlan, context: &GatewayContext) -> Result<()> {
    if context.phase().is_taking(route.kind) {
        return Ok(());
    }
    let why = "this host is stopping and the request might not end in time";
    Err(Error::new(ErrorKind::Draining, why).retry_after(STOPPING_RETRY))
}

async fn read_body(body: Incoming, most: usize, deadline: TimePoint, context: &GatewayContext) -> Result<Bytes> {
    let limit = deadline.since(context.timer.now()).min(BODY_TIMEOUT);
    let collected = context.timer.within(limit, Limited::new(body, most).collect()).await;
    match collected {
        None => Err(Error::new(ErrorKind::RequestTimeout, "the body did not arrive in time")),
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Error::new(ErrorKind::BodyTooLarge, format!("the body is larger than {most} bytes")))
        }
        Some(Err(_error)) => Err(Error::new(ErrorKind::MalformedHead, "the body is not framed as HTTP/1.1 says")),
    }
}

fn draw_service(route: &RoutePlan) -> Result<Name> {
    let total = route.total_weight();
    let draw = if total > 1 { rand::rng().random_range(0..total) } else { 0 };
    route.service(draw).ok_or_else(|| {
        Error::new(ErrorKind::NoEndpoint, format!("the route `{}` leads to no service", route.name))
            .retry_after(MEMORY_RETRY)
    })
}

/// Marks a connection as not idle while a request and its answer are under way.
struct ActiveMark {
    context: Arc<GatewayContext>,
    watch: Arc<IdleWatch>,
}

impl Drop for ActiveMark {
    fn drop(&mut self) {
        self.watch.end(self.context.timer.now());
    }
}
