use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use hollyhook_core::{EndpointId, EndpointState};
use hollyhook_wire::EngineLoad;

use super::HostContext;

/// Pause between two rounds of polls.
const ROUND_PAUSE: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(400);
/// Polls in one round, sent concurrently. At most twenty polls a second keep a host's control traffic below 8 KB a
/// second, however large its subset is; load reports in the responses to its own streams need no extra requests.
const POLLS_PER_ROUND: usize = 10;

/// Polls the engines for their load in turn, which also detects engines that report that they are leaving.
pub(crate) async fn run_load_polls(context: Arc<HostContext>) {
    let mut last_polled: Option<EndpointId> = None;
    loop {
        let targets = next_targets(&context, last_polled.as_ref());
        last_polled = targets.last().map(|(id, _)| EndpointId::clone(id)).or(last_polled);
        let polls = targets.iter().map(|(id, address)| poll(&context, id, *address));
        join_all(polls).await;
        context.timer.wait(ROUND_PAUSE).await;
    }
}

/// The engines to poll next: in the order of their ids, after the last one polled, wrapping around at the end.
fn next_targets(context: &HostContext, last_polled: Option<&EndpointId>) -> Vec<(EndpointId, SocketAddr)> {
    let table = context.fleet.lock();
    let engines = || table.iter().filter(|record| record.binding.is_some());
    let following = engines().filter(|record| last_polled.is_none_or(|last_polled| record.id > *last_polled));
    let wrapped = engines().filter(|record| last_polled.is_some_and(|last_polled| record.id <= *last_polled));
    following
        .chain(wrapped)
        .take(POLLS_PER_ROUND)
        .map(|record| (EndpointId::clone(&record.id), record.address))
        .collect()
}

async fn poll(context: &HostContext, id: &EndpointId, address: SocketAddr) {
    let Ok(report) = context.engine.load(address, TIMEOUT).await else {
        context.recorder.count("load_poll_failed");
        context.fleet.lock().record_failure(context.timer.now(), id);
        return;
    };
    apply_load_report(context, id, &report);
}

/// Applies an engine's load report, received from a poll or with the response that opened a stream.
///
/// An engine that serves another model binding than the configured one is marked as leaving.
pub(crate) fn apply_load_report(context: &HostContext, id: &EndpointId, report: &EngineLoad) {
    let mut table = context.fleet.lock();
    table.update_load(id, report.load);
    let Some(record) = table.get_mut(id) else {
        return;
    };
    let has_configured_binding = record.binding.as_ref() == Some(&report.binding);
    let state = if has_configured_binding { report.state } else { EndpointState::Leaving };
    if record.state != state {
        tracing::info!(endpoint = %id, state = ?state, serves = %report.binding, "endpoint.state");
        record.state = state;
    }
}
