use std::net::IpAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::DemandSender;
use super::demand_message::{DEMAND_PATH, MAX_BODY_BYTES, read_message};
use crate::gateway::GatewayContext;
use crate::net::{json_response, text_response};

/// Whether a request of another host concerns demand.
pub(crate) fn is_demand_request(request: &Request<Incoming>) -> bool {
    request.uri().path() == DEMAND_PATH
}

/// Answers a message about demand from a host at the address `sender`.
pub(crate) async fn answer_demand_request(
    context: &Arc<GatewayContext>,
    request: Request<Incoming>,
    sender: IpAddr,
) -> Response<Full<Bytes>> {
    if request.method() != Method::POST {
        return refuse(context, StatusCode::METHOD_NOT_ALLOWED, "summaries of demand are sent with POST");
    }
    if !context.paths.is_host(sender) {
        return refuse(context, StatusCode::FORBIDDEN, "only registered hosts may send summaries of demand");
    }
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await else {
        return refuse(context, StatusCode::BAD_REQUEST, "the body must be whole and have at most 256 KB");
    };
    let Some(message) = read_message(&body.to_bytes()) else {
        return refuse(context, StatusCode::BAD_REQUEST, "the body must be a JSON summary of demand within its bounds");
    };
    let Some(record) = context.feed.host_at(&message.host, sender) else {
        return refuse(context, StatusCode::FORBIDDEN, "the sender must be registered at its address");
    };
    let reply = context.demand.receive(&record, message);
    DemandSender::spawn_if_needed(context);
    json_response(&reply, "demand.not_written")
}

fn refuse(context: &GatewayContext, status: StatusCode, reason: &'static str) -> Response<Full<Bytes>> {
    context.recorder.count("demand_messages_refused");
    text_response(status, reason)
}
