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

/// Retry-After delay if this host has no configuration, or none that the platform has confirmed recently, for a plain
/// call and before the route is known. Another host most likely has one, and a call waits for one second at most.
const UNCONFIRMED_CALL_RETRY: Duration = Duration::from_millis(10);
/// Retry-After delay of a stream in the same case. A longer delay, to outlast an outage of the store for all hosts,
/// would leave too little time to serve the stream.
const UNCONFIRMED_STREAM_RETRY: Duration = Duration::from_millis(150);
/// Retry-After delay if this host is stopping; the caller's next connection goes to another host.
const STOPPING_RETRY: Duration = Duration::from_millis(20);
/// Retry-After delay if a route leads to no service: a newer configuration may add one.
const NO_SERVICE_RETRY: Duration = Duration::from_millis(500);

/// Reads a request, finds its route, account and service, and checks that this host can serve it.
///
/// # Errors
///
/// The error for the caller; the request has not run then.
pub(super) async fn admit(parts: Parts, body: Incoming, context: &Arc<GatewayContext>) -> Result<CallerRequest> {
    let arrived = context.timer.now();
    context.wait_for_start().await;
    let site = context.site().ok_or_else(|| unconfirmed_error(None))?;
    check_method(&parts)?;
    let head = hollyhook_platform::caller_head(&parts.headers)?;
    let route = find_route(&site, &parts).map_err(|error| if_confirmed(error, context))?;
    let account = find_account(&site, &route, head.key.as_ref(), context)?;
    let wait_limit = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    check_not_stopping(&route, wait_limit, context)?;
    let deadline = arrived + wait_limit;
    let (body, reservation) = read_body(body, site.limits().body_bytes, deadline, context).await?;
    let service = pick_service(&route)?;
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
        _reservation: reservation,
    })
}

/// Refuses `CONNECT`, which asks for a tunnel.
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
        return Err(unconfirmed_error(Some(route)));
    }
    let account = site.account(route, key.map(|key| &**key));
    account.map_err(|error| if_confirmed(error, context))
}

/// Returns an error that follows from the configuration only while the configuration is confirmed to be current;
/// otherwise `PlatformDown`, since a newer configuration may admit the request.
fn if_confirmed(error: Error, context: &GatewayContext) -> Error {
    if context.is_site_current() { error } else { unconfirmed_error(None) }
}

fn unconfirmed_error(route: Option<&RouteConfig>) -> Error {
    let why = "the platform has not confirmed this host's configuration for too long";
    let is_stream = route.is_some_and(|route| route.kind.is_stream());
    let retry = if is_stream { UNCONFIRMED_STREAM_RETRY } else { UNCONFIRMED_CALL_RETRY };
    Error::new(ErrorKind::PlatformDown, why).retry_after(retry)
}

fn check_not_stopping(route: &RouteConfig, wait_limit: Duration, context: &GatewayContext) -> Result<()> {
    if context.is_admitted(route.kind, wait_limit) && !context.load.is_closed() {
        return Ok(());
    }
    let why = "this host is stopping and the request might not end in time";
    Err(Error::new(ErrorKind::Draining, why).retry_after(STOPPING_RETRY))
}

fn pick_service(route: &RouteConfig) -> Result<Name> {
    let total = route.total_weight();
    let draw = if total > 1 { rand::rng().random_range(0..total) } else { 0 };
    route.service(draw).ok_or_else(|| {
        let why = format!("the route `{}` leads to no service", route.name);
        Error::new(ErrorKind::NoEndpoint, why).retry_after(NO_SERVICE_RETRY)
    })
}
