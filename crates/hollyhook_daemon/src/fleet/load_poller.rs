use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use hollyhook_core::{EndpointId, EndpointState};
use hollyhook_wire::EngineLoad;

use super::HostContext;

const INTERVAL: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(400);
/// Polls of one interval, all under way at a time. Twenty a second keep a host's control traffic under 8 KB a second
/// however large its subset; what it hears with its own streams comes on top and costs nothing.
const POLLS: usize = 10;

/// Asks the engines for their load in turn, and learns by their own word when one is leaving.
pub(crate) async fn run_load_polls(context: Arc<HostContext>) {
    let mut last: Option<EndpointId> = None;
    loop {
        let targets = next_targets(&context, last.as_ref());
        last = targets.last().map(|(id, _)| EndpointId::clone(id)).or(last);
        let polls = targets.iter().map(|(id, address)| poll(&context, id, *address));
        join_all(polls).await;
        context.timer.wait(INTERVAL).await;
    }
}

/// The engines behind the one polled last, around the table.
fn next_targets(context: &HostContext, last: Option<&EndpointId>) -> Vec<(EndpointId, SocketAddr)> {
    let table = context.fleet.lock();
    let engines = || table.iter().filter(|record| record.binding.is_some());
    let behind = engines().filter(|record| last.is_none_or(|last| record.id > *last));
    let around = engines().filter(|record| last.is_some_and(|last| record.id <= *last));
    behind.chain(around).take(POLLS).map(|record| (EndpointId::clone(&record.id), record.address)).collect()
}

async fn poll(context: &HostContext, id: &EndpointId, address: SocketAddr) {
    let Ok(answer) = context.engine.load(address, TIMEOUT).await else {
        context.recorder.count("load_poll_failed");
        context.fleet.lock().record_failure(context.timer.now(), id);
        return;
    };
    take_report(context, id, &answer);
}

/// Takes an engine's word on itself in, from a poll or with a stream.
pub(crate) fn take_report(context: &HostContext, id: &EndpointId, answer: &EngineLoad) {
    let mut table = context.fleet.lock();
    table.update_load(id, answer.load);
    let Some(record) = table.get_mut(id) else {
        return;
    };
    let is_bound = record.binding.as_ref() == Some(&answer.binding);
    let state = if is_bound { answer.state } else { EndpointState::Leaving };
    if record.state != state {
        tracing::info!(endpoint = %id, state = ?state, serves = %answer.binding, "endpoint.state");
        record.state = state;
    }
}
