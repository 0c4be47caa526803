use std::time::Duration;

use http::{Request, header};
use http_body_util::{BodyExt, Full};

use super::attempt::{EndpointPlace, send};
use crate::gateway::GatewayContext;

/// How long an engine may take to report; it answers within milliseconds and needs no slot for it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Whether a model engine that is silent on a stream still answers.
pub(super) async fn is_alive(context: &GatewayContext, place: &EndpointPlace) -> bool {
    let exchange = async {
        let request = Request::get(hollyhook_platform::report_path())
            .header(header::HOST, place.address.to_string())
            .body(Full::default())
            .ok()?;
        let mut answer = send(context, place, request).await.ok()?;
        let body = (&mut answer.body).collect().await.ok()?.to_bytes();
        let report = hollyhook_platform::decode_report(&body).ok()?;
        answer.release(context, &place.id);
        Some(report)
    };
    let report = context.timer.within(PROBE_TIMEOUT, exchange).await.flatten();
    tracing::info!(endpoint = %place.id, is_alive = report.is_some(), report = ?report, "endpoint.probed");
    report.is_some()
}
