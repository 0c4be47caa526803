use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use hollyhook_core::{AttemptFailure, EndpointRecord, EngineCandidate, EngineReport};
use http::{Request, header};
use http_body_util::Full;

use super::attempt::call_endpoint;
use crate::gateway::GatewayContext;
use crate::path::EndpointTarget;

/// Time limit for the report of an engine that sends no events, after which the engine counts as lost. A live engine
/// reports within milliseconds and needs no free slot to do so.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit for the reports of the candidate engines of a request. An engine of another zone reports within the limit
/// even on a new connection.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(60);

/// Time limit for the reports of the candidate engines of a generation that resumes from its backup, whose caller has
/// had no events for half a second. A live engine reports within the limit even on a new connection to another zone:
/// two round trips of about 3 ms and 1 ms in the engine.
const RESUME_TIMEOUT: Duration = Duration::from_millis(20);

/// Requests the report of an engine that sends no events on a stream; `None` if the engine does not report.
pub(super) async fn probe_silent(context: &GatewayContext, target: &EndpointTarget) -> Option<EngineReport> {
    if context.paths.is_silent_for(&target.group, LIVENESS_TIMEOUT) {
        // Kept connections may be dead without a word; a new one shows whether the path is.
        context.pool.close_idle_direct(&target.id);
    }
    let report = fetch_report(context, target, LIVENESS_TIMEOUT).await;
    let known = report.as_ref();
    tracing::info!(endpoint = %target.id, is_alive = known.is_some(), running = known.map(EngineReport::running),
        reading = known.map(|known| known.reading), waiting = known.map(|known| known.waiting), "endpoint.probed");
    report
}

/// Probes all engines of a shortlist concurrently; an engine that does not report is recorded as not connected.
pub(super) async fn probe_all(context: &GatewayContext, shortlist: Vec<EndpointRecord>) -> Vec<EngineCandidate> {
    let candidates = probe_each(context, shortlist, PLACEMENT_TIMEOUT).await;
    for candidate in candidates.iter().filter(|candidate| candidate.report.is_none()) {
        context.endpoints.record_outcome(&candidate.record.id, Some(AttemptFailure::NotConnected));
    }
    candidates
}

/// Probes the engines of a shortlist without a recent report at this host; an engine that does not report is recorded
/// as not connected.
pub(super) async fn probe_unless_recent(
    context: &GatewayContext,
    shortlist: Vec<EndpointRecord>,
) -> Vec<EngineCandidate> {
    let probes = shortlist.into_iter().map(|record| async move {
        match context.endpoints.recent_report(&record.id) {
            Some(report) => {
                context.recorder.count("reports_reused");
                let speed = context.endpoints.engine_speed(&record.id);
                vec![EngineCandidate { record, report: Some(report), held_tokens: 0, speed }]
            }
            None => probe_all(context, vec![record]).await,
        }
    });
    join_all(probes).await.into_iter().flatten().collect()
}

/// Probes all engines of a shortlist concurrently within the short limit of a resume. An engine that misses this limit
/// is not recorded as failed.
pub(super) async fn probe_quickly(context: &GatewayContext, shortlist: Vec<EndpointRecord>) -> Vec<EngineCandidate> {
    probe_each(context, shortlist, RESUME_TIMEOUT).await
}

/// Probes all engines of a list concurrently; engines that report that they are draining are left out.
async fn probe_each(context: &GatewayContext, list: Vec<EndpointRecord>, limit: Duration) -> Vec<EngineCandidate> {
    let probes = list.into_iter().map(|record| async move {
        let report = fetch_report(context, &EndpointTarget::from(&record), limit).await;
        let speed = context.endpoints.engine_speed(&record.id);
        EngineCandidate { record, report, held_tokens: 0, speed }
    });
    let mut candidates = join_all(probes).await;
    // A host that was partitioned learns it from the report seconds before its endpoint list shows it.
    candidates.retain(|candidate| !candidate.report.as_ref().is_some_and(|report| report.is_leaving));
    candidates
}

/// Probes all engines of a list concurrently, then fetches how much of a prompt part each engine that reported holds.
pub(super) async fn probe_holdings(
    context: &GatewayContext,
    list: Vec<EndpointRecord>,
    part: u64,
) -> Vec<EngineCandidate> {
    let mut candidates = probe_all(context, list).await;
    let answered = candidates.iter_mut().filter(|candidate| candidate.report.is_some());
    let probes = answered.map(|candidate| async move {
        candidate.held_tokens = fetch_held_tokens(context, &EndpointTarget::from(&candidate.record), part).await;
    });
    join_all(probes).await;
    candidates
}

/// Fetches how many tokens of a prompt part an engine holds; zero if the engine gives no usable answer, which only costs
/// another prefill.
async fn fetch_held_tokens(context: &GatewayContext, target: &EndpointTarget, part: u64) -> u64 {
    let Some(body) = fetch_path(context, target, hollyhook_platform::held_parts_path(), PLACEMENT_TIMEOUT).await else {
        return 0;
    };
    match hollyhook_platform::decode_held_parts(&body) {
        Ok(held) => held.iter().find(|known| known.part == part).map_or(0, |known| known.tokens),
        Err(error) => {
            tracing::info!(endpoint = %target.id, reason = %error, "endpoint.holdings_unread");
            0
        }
    }
}

async fn fetch_report(context: &GatewayContext, target: &EndpointTarget, limit: Duration) -> Option<EngineReport> {
    let body = fetch_path(context, target, hollyhook_platform::report_path(), limit).await?;
    let report = hollyhook_platform::decode_report(&body).ok()?;
    if report.is_leaving {
        context.endpoints.record_leaving(&target.id);
    }
    context.endpoints.record_report(&target.id, &report);
    // A report of a later start says nothing about the incarnation that was probed.
    (!context.endpoints.record_restart(&target.id, report.started)).then_some(report)
}

/// Fetches the body at one of an engine's own paths; `None` if the engine does not respond in time or responds with an
/// error status.
async fn fetch_path(context: &GatewayContext, target: &EndpointTarget, path: &str, limit: Duration) -> Option<Bytes> {
    let mut request = Request::get(path).header(header::HOST, target.address.to_string()).body(Full::default()).ok()?;
    hollyhook_platform::set_expected_endpoint(request.headers_mut(), &target.entry);
    let response = call_endpoint(context, target, request, limit).await?;
    if !response.parts.status.is_success() {
        tracing::info!(endpoint = %target.id, status = response.parts.status.as_u16(), "endpoint.probe_refused");
        return None;
    }
    Some(response.body)
}
