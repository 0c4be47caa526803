use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{AccountConfig, Error, ErrorKind, Name, Result, RouteConfig, SiteIndex};
use http::Method;
use http::header::HOST;
use http::request::Parts;
use hyper::body::Incoming;
use rand::Rng;

use super::CallerRequest;
use super::body_reader::read_body;
use crate::gateway::GatewayContext;

/// When the caller of a plain call should come back whose host does not know the configuration, or not for certain:
/// another host most likely does, and a call waits for a second at most.
const UNCERTAIN_CALL_RETRY: Duration = Duration::from_millis(10);
/// The same for a stream; a longer one, to outlast an outage of the store for all hosts, leaves too little time to serve it.
const UNCERTAIN_STREAM_RETRY: Duration = Duration::from_millis(150);
/// When a caller should come back whose host is stopping; the next connection goes to another one.
const STOPPING_RETRY: Duration = Duration::from_millis(20);
/// When a caller should come back whose route leads nowhere: a newer configuration may say otherwise.
const NO_SERVICE_RETRY: Duration = Duration::from_millis(500);

/// Reads and checks a request: where it goes, who asks, whether it can be served here.
///
/// # Errors
///
/// Whatever the caller is to be told; nothing of the request has run then.
pub(super) async fn admit(parts: Parts, body: Incoming, context: &Arc<GatewayContext>) -> Result<CallerRequest> {
    let arrived = context.timer.now();
    let guard = context.load.begin();
    context.wait_for_start().await;
    let site = context.site().ok_or_else(|| uncertain(None))?;
    check_method(&parts)?;
    let head = hollyhook_platform::caller_head(&parts.headers)?;
    let route = find_route(&site, &parts).map_err(|error| certain(error, context))?;
    let account = find_account(&site, &route, head.key.as_ref(), context)?;
    let patience = head.patience.unwrap_or(route.timeout).min(route.timeout);
    check_stop(&route, patience, context)?;
    let deadline = arrived + patience;
    let (body, claim) = read_body(body, site.limits().body_bytes, deadline, context).await?;
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
        site_version: site.version(),
        arrived,
        deadline,
        _claim: claim,
        _guard: guard,
    })
}

/// Refuses what is not meant for a server.
fn check_method(parts: &Parts) -> Result<()> {
    if parts.method == Method::CONNECT {
        return Err(Error::new(ErrorKind::MalformedHead, "this host opens no tunnels").param("method"));
    }
    Ok(())
}

fn find_route(site: &SiteIndex, parts: &Parts) -> Result<Arc<RouteConfig>> {
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

fn find_account(
    site: &SiteIndex,
    route: &RouteConfig,
    key: Option<&Name>,
    context: &GatewayContext,
) -> Result<Option<Arc<AccountConfig>>> {
    if !route.is_public && !context.is_site_current() {
        return Err(uncertain(Some(route)));
    }
    let account = site.account(route, key.map(|key| &**key));
    account.map_err(|error| certain(error, context))
}

/// Refuses for what the configuration says only while it is known to be the newest.
fn certain(error: Error, context: &GatewayContext) -> Error {
    if context.is_site_current() { error } else { uncertain(None) }
}

fn uncertain(route: Option<&RouteConfig>) -> Error {
    let why = "the platform has not confirmed this host's configuration for too long";
    let is_stream = route.is_some_and(|route| route.kind.is_stream());
    let retry = if is_stream { UNCERTAIN_STREAM_RETRY } else { UNCERTAIN_CALL_RETRY };
    Error::new(ErrorKind::PlatformDown, why).retry_after(retry)
}

fn check_stop(route: &RouteConfig, patience: Duration, context: &GatewayContext) -> Result<()> {
    if context.is_taking(route.kind, patience) {
        return Ok(());
    }
    let why = "this host is stopping and the request might not end in time";
    Err(Error::new(ErrorKind::Draining, why).retry_after(STOPPING_RETRY))
}

fn draw_service(route: &RouteConfig) -> Result<Name> {
    let total = route.total_weight();
    let draw = if total > 1 { rand::rng().random_range(0..total) } else { 0 };
    route.service(draw).ok_or_else(|| {
        let why = format!("the route `{}` leads to no service", route.name);
        Error::new(ErrorKind::NoEndpoint, why).retry_after(NO_SERVICE_RETRY)
    })
}
