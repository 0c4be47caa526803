use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use hollyhook_core::{AttemptFailure, EndpointRecord, EngineCandidate, EngineReport};
use http::{Request, header};
use http_body_util::Full;

use super::endpoint_call::call_endpoint;
use crate::gateway::GatewayContext;
use crate::path::EndpointTarget;

/// Time limit for the report of an engine that sends no events, after which the engine is suspected. A live engine
/// reports within milliseconds and needs no free slot to do so.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit for the reports of the candidate engines of a request. An engine of another zone reports within the limit
/// even on a new connection.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(60);

/// Time limit for the reports of the candidate engines of a generation that resumes from its backup, whose caller has
/// had no events for half a second. A live engine reports within the limit even on a new connection to another zone:
/// two round trips of about 3 ms and 1 ms in the engine.
const RESUME_TIMEOUT: Duration = Duration::from_millis(20);

/// Requests the report of an engine that sends no events on a stream; `None` if the engine does not report, which is
/// recorded.
///
/// If `is_shared`, an engine that has just missed another probe is not probed again: otherwise each of its streams would
/// wait alone.
pub(super) async fn probe_silent(
    context: &GatewayContext,
    target: &EndpointTarget,
    is_shared: bool,
) -> Option<EngineReport> {
    if is_shared && context.endpoints.has_just_missed_probe(&target.id) {
        return None;
    }
    if context.paths.is_silent_for(&target.group, LIVENESS_TIMEOUT) {
        // Kept connections may be dead without a word; a new one shows whether the path is.
        context.pool.close_idle_direct(&target.id);
    }
    let outcome = fetch_report(context, target, LIVENESS_TIMEOUT).await;
    if let Err(failure) = &outcome {
        record_missed_probe(context, target, *failure, LIVENESS_TIMEOUT);
    }
    let report = outcome.ok();
    let known = report.as_ref();
    tracing::info!(endpoint = %target.id, is_alive = known.is_some(), running = known.map(EngineReport::running),
        reading = known.map(|known| known.reading), waiting = known.map(|known| known.waiting), "endpoint.probed");
    report
}

/// Records that an engine did not report: within `limit`, which is only a silence, or for another reason.
fn record_missed_probe(context: &GatewayContext, target: &EndpointTarget, failure: AttemptFailure, limit: Duration) {
    if failure == AttemptFailure::Silent {
        context.endpoints.record_silence(&target.id);
        context.connector.check_if_silent(target, limit);
    } else {
        context.endpoints.record_outcome(&target.id, Some(AttemptFailure::NotConnected));
    }
}

/// Whether an engine is alive: it was heard recently on any connection, or reports in time.
pub(super) async fn is_alive(context: &GatewayContext, record: &EndpointRecord) -> bool {
    if context.endpoints.is_alive(&record.id) {
        return true;
    }
    probe_all(context, vec![record.clone()]).await.iter().any(|candidate| candidate.report.is_some())
}

/// Whether an engine that was silent reports within the short limit of a resume.
pub(super) async fn has_reporting(context: &GatewayContext, targets: &[EndpointTarget]) -> bool {
    let probes = targets.iter().map(|target| fetch_report(context, target, RESUME_TIMEOUT));
    join_all(probes).await.iter().any(Result::is_ok)
}

/// Whether an engine reports now.
///
/// A kept connection may end just as it is used, so that a broken one is followed by another.
pub(super) async fn is_reporting(context: &GatewayContext, target: &EndpointTarget) -> bool {
    match fetch_report(context, target, LIVENESS_TIMEOUT).await {
        Err(AttemptFailure::Broken) => fetch_report(context, target, LIVENESS_TIMEOUT).await.is_ok(),
        outcome => outcome.is_ok(),
    }
}

/// Probes all engines of a shortlist concurrently; an engine that does not report is recorded as silent, or as not
/// connected if it refuses.
pub(super) async fn probe_all(context: &GatewayContext, shortlist: Vec<EndpointRecord>) -> Vec<EngineCandidate> {
    let probed = probe_each(context, shortlist, PLACEMENT_TIMEOUT).await;
    for (candidate, failure) in &probed {
        if let Some(failure) = failure {
            record_missed_probe(context, &EndpointTarget::from(&candidate.record), *failure, PLACEMENT_TIMEOUT);
        }
    }
    probed.into_iter().map(|(candidate, _)| candidate).collect()
}

/// Probes the engines of a shortlist without a recent report at this host; an engine that does not report is recorded
/// as silent.
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
    let probed = probe_each(context, shortlist, RESUME_TIMEOUT).await;
    probed.into_iter().map(|(candidate, _)| candidate).collect()
}

/// Probes all engines of a list concurrently; engines that report that they are draining are left out. Returns for each
/// why it did not report, if it did not.
async fn probe_each(
    context: &GatewayContext,
    list: Vec<EndpointRecord>,
    limit: Duration,
) -> Vec<(EngineCandidate, Option<AttemptFailure>)> {
    let probes = list.into_iter().map(|record| async move {
        let outcome = fetch_report(context, &EndpointTarget::from(&record), limit).await;
        let speed = context.endpoints.engine_speed(&record.id);
        let failure = outcome.as_ref().err().copied();
        (EngineCandidate { record, report: outcome.ok(), held_tokens: 0, speed }, failure)
    });
    let mut outcomes = join_all(probes).await;
    // A host that was partitioned learns it from the report seconds before its endpoint list shows it.
    outcomes.retain(|(candidate, _)| !candidate.report.as_ref().is_some_and(|report| report.is_leaving));
    outcomes
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
    let path = hollyhook_platform::held_parts_path();
    let Ok(body) = fetch_path(context, target, path, PLACEMENT_TIMEOUT).await else {
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

/// Fetches an engine's report.
///
/// # Errors
///
/// `Silent` if the engine does not answer in time, `WrongIncarnation` if a later one does; otherwise why there is no
/// usable answer.
async fn fetch_report(
    context: &GatewayContext,
    target: &EndpointTarget,
    limit: Duration,
) -> Result<EngineReport, AttemptFailure> {
    let body = fetch_path(context, target, hollyhook_platform::report_path(), limit).await?;
    let report = hollyhook_platform::decode_report(&body).map_err(|_error| AttemptFailure::Garbled)?;
    if report.is_leaving {
        context.endpoints.record_leaving(&target.id);
    }
    context.endpoints.record_report(&target.id, &report);
    // A report of a later start says nothing about the incarnation that was probed.
    let is_restarted = context.endpoints.record_restart(&target.id, report.started);
    if is_restarted { Err(AttemptFailure::WrongIncarnation) } else { Ok(report) }
}

/// Fetches the body at one of an engine's own paths.
///
/// # Errors
///
/// `Silent` if the engine does not answer in time, `Failed` if it answers with an error status; otherwise why the
/// connection failed.
async fn fetch_path(
    context: &GatewayContext,
    target: &EndpointTarget,
    path: &str,
    limit: Duration,
) -> Result<Bytes, AttemptFailure> {
    let request = Request::get(path).header(header::HOST, target.address.to_string()).body(Full::default());
    let mut request = request.map_err(|_error| AttemptFailure::Failed)?;
    hollyhook_platform::set_expected_endpoint(request.headers_mut(), &target.entry);
    let response = call_endpoint(context, target, request, limit).await?;
    if !response.parts.status.is_success() {
        tracing::info!(endpoint = %target.id, status = response.parts.status.as_u16(), "endpoint.probe_refused");
        return Err(AttemptFailure::Failed);
    }
    Ok(response.body)
}
