use std::sync::Arc;

use hollyhook_core::StopPhase;
use http::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use http::{Request, Response, Version};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::admission::admit;
use super::idle_watch::IdleWatch;
use super::unwritten_responses::UnwrittenResponses;
use super::{ResponseBody, error_response};
use crate::forward::forward;
use crate::gateway::{GatewayContext, RequestGuard};

/// Serves one request of a caller.
pub(super) async fn handle(
    request: Request<Incoming>,
    context: &Arc<GatewayContext>,
    watch: Arc<IdleWatch>,
    unwritten: UnwrittenResponses,
) -> Response<ResponseBody> {
    watch.begin();
    if request.version() < Version::HTTP_11 {
        watch.mark_ended_by_close();
    }
    let counted = Some(context.load.begin());
    let active = ActiveGuard { context: Arc::clone(context), watch, unwritten, counted };
    let (parts, body) = request.into_parts();
    // The parser removes a `Content-Length` next to `Transfer-Encoding: chunked` (RFC 9112, 6.3), so that it can't be
    // detected here. A peer that framed the body by that length would take the rest of it for the next request. So the
    // connection is closed after a chunked body.
    let is_chunked = parts.headers.contains_key(TRANSFER_ENCODING);
    let id = hollyhook_platform::attempt_id(&parts.headers).map(str::to_owned);
    let mut response = match admit(parts, body, context).await {
        Ok(caller) => forward(context, caller).await,
        Err(error) => {
            context.recorder.count("requests_refused");
            let version = context.site().map(|site| site.version());
            let confirmed_ms_ago = context.site_age().map(|age| age.as_millis() as u64);
            tracing::info!(request = id, kind = %error.kind(), site_version = version, confirmed_ms_ago,
                phase = ?context.phase(), reason = %error.message(), "request.refused");
            error_response(&error)
        }
    };
    if is_chunked || context.phase() != StopPhase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| {
        let marked = body.map_frame(move |frame| {
            // The connection counts as active until the body has been sent.
            let _active = &active;
            frame
        });
        marked.boxed_unsync()
    })
}

/// Keeps a connection marked as active until the response body is dropped, and the request counted until the response
/// has been written.
struct ActiveGuard {
    context: Arc<GatewayContext>,
    watch: Arc<IdleWatch>,
    unwritten: UnwrittenResponses,
    counted: Option<RequestGuard>,
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.watch.end(self.context.timer.now());
        if let Some(guard) = self.counted.take() {
            self.unwritten.add(guard);
        }
    }
}
