use std::net::IpAddr;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::quota_message::{LOAN_PATH, LoanAnswer, LoanQuestion, MAX_BODY_BYTES};
use crate::gateway::GatewayContext;
use crate::net::{json_response, text_response};

/// Whether a request of another host asks for a part of this host's quota.
pub(crate) fn is_quota_request(request: &Request<Incoming>) -> bool {
    request.uri().path() == LOAN_PATH
}

/// Answers a question for a part of this host's quota from a host at the address `sender`.
pub(crate) async fn answer_quota_request(
    context: &GatewayContext,
    request: Request<Incoming>,
    sender: IpAddr,
) -> Response<Full<Bytes>> {
    if request.method() != Method::POST {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "quota is asked for with POST");
    }
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await else {
        return text_response(StatusCode::BAD_REQUEST, "the body must be whole and have at most 4 KB");
    };
    let Some(question) = LoanQuestion::read(&body.to_bytes()) else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "the body must name a host, a service and a fraction from 0 to 1",
        );
    };
    if context.feed.host_at(&question.host, sender).is_none() {
        return text_response(StatusCode::FORBIDDEN, "quota is lent to registered hosts only, at their addresses");
    }
    let now = context.timer.now();
    let loan = context.endpoints.table().lend_quota(now, &question.service, &question.host, question.wanted);
    if let Some(loan) = loan {
        context.recorder.count("quota_loans_made");
        tracing::debug!(service = %question.service, to = %question.host, size = loan.part.size(), "quota.lent");
    }
    json_response(&LoanAnswer { loan }, "quota.not_written")
}
