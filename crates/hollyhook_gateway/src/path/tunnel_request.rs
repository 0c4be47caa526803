use bytes::Bytes;
use hollyhook_core::{EndpointId, HostRecord};
use http::header::{CONNECTION, HOST, HeaderName, HeaderValue, UPGRADE};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

const TUNNEL_PATH: &str = "/tunnel";
/// The protocol that the connection is upgraded to (RFC 9110, 7.8): bytes to the endpoint unchanged, those from it in
/// frames. A host that knows another protocol only refuses the upgrade.
const TUNNEL_PROTOCOL: HeaderValue = HeaderValue::from_static("hollyhook-framed-tunnel");
/// The endpoint that the tunnel is to lead to. Naming it by its id leaves the address to the host that connects to it,
/// so that tunnels lead to registered endpoints only.
const ENDPOINT: HeaderName = HeaderName::from_static("hollyhook-endpoint");

/// Whether a request of another host asks for a tunnel.
pub(crate) fn is_tunnel_request(request: &Request<Incoming>) -> bool {
    request.uri().path() == TUNNEL_PATH
}

/// Builds a request for a tunnel to an endpoint; `None` if the id can't be sent in a header.
pub(super) fn build_tunnel_request(host: &HostRecord, endpoint: &EndpointId) -> Option<Request<Full<Bytes>>> {
    let request = Request::get(TUNNEL_PATH)
        .header(HOST, host.address.to_string())
        .header(CONNECTION, "upgrade")
        .header(UPGRADE, TUNNEL_PROTOCOL)
        .header(ENDPOINT, HeaderValue::from_str(endpoint).ok()?);
    request.body(Full::default()).ok()
}

/// The endpoint that a request asks for a tunnel to; `None` if the request is malformed.
pub(super) fn requested_endpoint(request: &Request<Incoming>) -> Option<EndpointId> {
    let is_upgrade = request.headers().get(UPGRADE).is_some_and(|protocol| protocol == TUNNEL_PROTOCOL);
    let endpoint = request.headers().get(ENDPOINT).filter(|_| is_upgrade)?;
    endpoint.to_str().ok().map(EndpointId::from)
}

/// The answer after which the connection carries the tunnel.
pub(super) fn switching_protocols() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("upgrade"));
    response.headers_mut().insert(UPGRADE, TUNNEL_PROTOCOL);
    response
}
