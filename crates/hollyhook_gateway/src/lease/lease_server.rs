use std::net::IpAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::LeaseBorrower;
use super::lease_message::{LEASE_PATH, LeaseMessage, LeaseReply, MAX_BODY_BYTES};
use crate::gateway::GatewayContext;
use crate::net::{json_response, text_response};

/// Whether a request of another host asks for leases.
pub(crate) fn is_lease_request(request: &Request<Incoming>) -> bool {
    request.uri().path() == LEASE_PATH
}

/// Answers questions of a host at the address `sender` about limits that this host owns.
pub(crate) async fn answer_lease_request(
    context: &Arc<GatewayContext>,
    request: Request<Incoming>,
    sender: IpAddr,
) -> Response<Full<Bytes>> {
    if request.method() != Method::POST {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "leases are asked for with POST");
    }
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await else {
        return text_response(StatusCode::BAD_REQUEST, "the body must be whole and have at most 64 KB");
    };
    let Some(message) = LeaseMessage::read(&body.to_bytes()) else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "the body must name a host, a number and at most 512 endpoints with their limits",
        );
    };
    if context.feed.host_at(&message.host, sender).is_none() {
        return text_response(StatusCode::FORBIDDEN, "limits are leased to registered hosts only, at their addresses");
    }
    let now = context.timer.now();
    let leased = context.endpoints.table().answer_leases(now, &message.host, message.number, &message.questions);
    context.recorder.count("lease_questions_answered");
    // This host may have been asked in place of an owner that it then has to find lost.
    LeaseBorrower::spawn_if_needed(context);
    json_response(&LeaseReply { leased }, "lease.not_written")
}
