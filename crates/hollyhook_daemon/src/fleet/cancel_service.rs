use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::task;
use hollyhook_core::{AttemptNumber, EndpointId, GenerationId};

use super::HostContext;

/// Command to cancel the work of an abandoned attempt at its endpoint.
#[derive(Debug, Clone)]
pub(crate) struct CancelCommand {
    pub(crate) endpoint: EndpointId,
    pub(crate) generation: GenerationId,
    pub(crate) attempt: AttemptNumber,
}

impl CancelCommand {
    /// The name under which the mailbox is registered.
    pub(crate) const MAILBOX: &'static str = "cancels";
    /// Commands that can be queued; further ones are dropped, and the endpoint's own grace period ends the work.
    pub(crate) const CAPACITY: usize = 65_536;
}

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// How long a cancellation is retried. An engine that was paused may recover late, but after this time its own grace
/// period has ended the work of an abandoned attempt.
const RETRY_PERIOD: Duration = Duration::from_mins(1);
/// Maximum number of concurrent cancellations; retries don't count.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Sends each cancellation to its endpoint, and retries it until the endpoint confirms or `RETRY_PERIOD` has passed.
pub(crate) async fn run_cancels(context: Arc<HostContext>, commands: Receiver<CancelCommand>) {
    let (permit_sender, permits) = async_channel::bounded::<()>(MAX_CONCURRENT_CALLS);
    while let Ok(command) = commands.recv().await {
        if permit_sender.send(()).await.is_err() {
            return;
        }
        let context = Arc::clone(&context);
        let permits = permits.clone();
        task::spawn(async move {
            let is_confirmed = send_cancel(&context, &command).await;
            let _freed = permits.try_recv();
            if !is_confirmed {
                // Retries run without a permit, so that an endpoint that does not answer does not delay the
                // cancellations at other endpoints.
                retry_cancel(&context, &command).await;
            }
        });
    }
}

async fn retry_cancel(context: &HostContext, command: &CancelCommand) {
    let started_at = context.timer.now();
    let mut backoff = INITIAL_BACKOFF;
    while context.timer.now() - started_at < RETRY_PERIOD {
        context.timer.wait(backoff).await;
        backoff *= 2;
        if send_cancel(context, command).await {
            return;
        }
    }
    context.recorder.count("cancel_given_up");
}

/// Sends a cancellation; returns whether the endpoint confirmed it or is unknown to this host.
async fn send_cancel(context: &HostContext, command: &CancelCommand) -> bool {
    let Some(address) = context.fleet.address(&command.endpoint) else {
        return true;
    };
    let call = context.engine.cancel(address, command.generation, command.attempt, CALL_TIMEOUT);
    let is_confirmed = call.await.is_ok();
    if is_confirmed {
        context.recorder.count("cancel_confirmed");
    }
    is_confirmed
}
