use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use hollyhook_core::{EndpointId, EndpointState};

use super::HostContext;

const INTERVAL: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(400);
/// Polls under way at a time.
const PARALLEL: usize = 16;

/// Asks the engines for their load, and learns by their own word when one is leaving.
pub(crate) async fn run_load_polls(context: Arc<HostContext>) {
    loop {
        let targets: Vec<(EndpointId, SocketAddr)> = {
            let table = context.fleet.lock();
            let engines = table.iter().filter(|record| record.binding.is_some());
            engines.map(|record| (EndpointId::clone(&record.id), record.address)).collect()
        };
        let context = &context;
        stream::iter(targets)
            .for_each_concurrent(PARALLEL, |(id, address)| async move { poll(context, &id, address).await })
            .await;
        context.timer.wait(INTERVAL).await;
    }
}

async fn poll(context: &HostContext, id: &EndpointId, address: SocketAddr) {
    let Ok(answer) = context.engine.load(address, TIMEOUT).await else {
        context.board.count("load_poll_failed");
        context.fleet.lock().failed(context.timer.now(), id);
        return;
    };
    let mut table = context.fleet.lock();
    table.report(id, answer.load);
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
