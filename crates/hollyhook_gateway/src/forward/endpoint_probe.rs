use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use hollyhook_core::{AttemptFailure, EndpointRecord, EngineCandidate, EngineReport};
use http::{Request, header};
use http_body_util::Full;

use super::attempt::{EndpointTarget, ask_endpoint};
use crate::gateway::GatewayContext;

/// How long a silent engine may take to report before it is taken for lost; it answers within milliseconds and needs
/// no slot for it.
const LIFE_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a request waits for the reports of the engines that it may go to; within it, an engine of another zone
/// answers on a new connection.
const CHOICE_TIMEOUT: Duration = Duration::from_millis(60);

/// The same for a generation that goes on from its backup, whose caller has been without events for half a second: an
/// engine that lives answers by then, also on a new connection to another zone (two ways of some 3 ms, and its own 1 ms).
const RESUME_TIMEOUT: Duration = Duration::from_millis(20);

/// Asks a model engine that is silent on a stream; none if it does not answer.
pub(super) async fn ask_silent(context: &GatewayContext, target: &EndpointTarget) -> Option<EngineReport> {
    let report = ask(context, target, LIFE_TIMEOUT).await;
    let known = report.as_ref();
    tracing::info!(endpoint = %target.id, is_alive = known.is_some(), running = known.map(EngineReport::running),
        reading = known.map(|known| known.reading), waiting = known.map(|known| known.waiting), "endpoint.probed");
    report
}

/// Asks all of a shortlist at once; one that does not answer counts as failed.
pub(super) async fn ask_all(context: &GatewayContext, shortlist: Vec<EndpointRecord>) -> Vec<EngineCandidate> {
    let candidates = ask_each(context, shortlist, CHOICE_TIMEOUT).await;
    for candidate in candidates.iter().filter(|candidate| candidate.report.is_none()) {
        context.endpoints.note_outcome(&candidate.record.id, Some(AttemptFailure::NotConnected));
    }
    candidates
}

/// Asks all of a shortlist at once, for a caller who can't wait; not to answer so soon speaks against no engine.
pub(super) async fn ask_quickly(context: &GatewayContext, shortlist: Vec<EndpointRecord>) -> Vec<EngineCandidate> {
    ask_each(context, shortlist, RESUME_TIMEOUT).await
}

/// What they report; those that say that they leave are not among the candidates.
async fn ask_each(context: &GatewayContext, list: Vec<EndpointRecord>, limit: Duration) -> Vec<EngineCandidate> {
    let asks = list.into_iter().map(|record| async move {
        let report = ask(context, &EndpointTarget::from(&record), limit).await;
        EngineCandidate { record, report, held_tokens: 0 }
    });
    let mut candidates = join_all(asks).await;
    // A host that was cut off hears it so seconds before its list says it.
    candidates.retain(|candidate| !candidate.report.as_ref().is_some_and(|report| report.is_leaving));
    candidates
}

/// Asks all of a list at once for their reports and for what they hold of a prompt part.
pub(super) async fn ask_holdings(
    context: &GatewayContext,
    list: Vec<EndpointRecord>,
    part: u64,
) -> Vec<EngineCandidate> {
    let mut candidates = ask_all(context, list).await;
    let answered = candidates.iter_mut().filter(|candidate| candidate.report.is_some());
    let asks = answered.map(|candidate| async move {
        candidate.held_tokens = ask_held(context, &EndpointTarget::from(&candidate.record), part).await;
    });
    join_all(asks).await;
    candidates
}

/// Tokens of a prompt part that an engine holds; zero if it does not say, which only costs reading them again.
async fn ask_held(context: &GatewayContext, target: &EndpointTarget, part: u64) -> u64 {
    let Some(body) = ask_path(context, target, hollyhook_platform::held_path(), CHOICE_TIMEOUT).await else {
        return 0;
    };
    match hollyhook_platform::decode_held(&body) {
        Ok(held) => held.iter().find(|known| known.part == part).map_or(0, |known| known.tokens),
        Err(fault) => {
            tracing::info!(endpoint = %target.id, reason = %fault, "endpoint.holdings_unread");
            0
        }
    }
}

async fn ask(context: &GatewayContext, target: &EndpointTarget, limit: Duration) -> Option<EngineReport> {
    let body = ask_path(context, target, hollyhook_platform::report_path(), limit).await?;
    let report = hollyhook_platform::decode_report(&body).ok()?;
    if report.is_leaving {
        context.endpoints.note_leaving(&target.id);
    }
    // Of another start, it says nothing of the one that was asked.
    (!context.endpoints.note_start(&target.id, report.started)).then_some(report)
}

/// Asks an engine on one of its own paths; none if it does not answer in time, or with a failure.
async fn ask_path(context: &GatewayContext, target: &EndpointTarget, path: &str, limit: Duration) -> Option<Bytes> {
    let mut request = Request::get(path).header(header::HOST, target.address.to_string()).body(Full::default()).ok()?;
    hollyhook_platform::set_expected_endpoint(request.headers_mut(), &target.entry);
    let answer = ask_endpoint(context, target, request, limit).await?;
    if !answer.parts.status.is_success() {
        tracing::info!(endpoint = %target.id, status = answer.parts.status.as_u16(), "endpoint.probe_refused");
        return None;
    }
    Some(answer.body)
}
