use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::task;
use hollyhook_core::{AttemptNumber, EndpointId, GenerationId};

use super::HostContext;

/// An order to stop the work for an attempt that was left.
#[derive(Debug, Clone)]
pub(crate) struct CancelOrder {
    pub(crate) endpoint: EndpointId,
    pub(crate) generation: GenerationId,
    pub(crate) attempt: AttemptNumber,
}

impl CancelOrder {
    /// The name of the service's mailbox.
    pub(crate) const SERVICE: &'static str = "cancels";
    /// Orders that may wait; beyond that, the endpoint's own grace time ends the work.
    pub(crate) const CAPACITY: usize = 65_536;
}

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// A paused engine may come back late; after this long its own grace time has ended the work.
const GIVE_UP_AFTER: Duration = Duration::from_mins(1);
/// Orders under way at a time.
const WORKERS: usize = 64;

/// Carries the orders out, again and again until the endpoint confirms or the time is over.
pub(crate) async fn run_cancels(context: Arc<HostContext>, orders: Receiver<CancelOrder>) {
    let (permit, permits) = async_channel::bounded::<()>(WORKERS);
    while let Ok(order) = orders.recv().await {
        if permit.send(()).await.is_err() {
            return;
        }
        let context = Arc::clone(&context);
        let permits = permits.clone();
        task::spawn(async move {
            let is_confirmed = try_order(&context, &order).await;
            let _freed = permits.try_recv();
            if !is_confirmed {
                // An endpoint that does not answer must not hold up the orders for others.
                keep_trying(&context, &order).await;
            }
        });
    }
}

async fn keep_trying(context: &HostContext, order: &CancelOrder) {
    let start = context.timer.now();
    let mut pause = FIRST_PAUSE;
    while context.timer.now() - start < GIVE_UP_AFTER {
        context.timer.wait(pause).await;
        pause *= 2;
        if try_order(context, order).await {
            return;
        }
    }
    context.recorder.count("cancel_given_up");
}

async fn try_order(context: &HostContext, order: &CancelOrder) -> bool {
    let Some(address) = context.fleet.address(&order.endpoint) else {
        return true;
    };
    let call = context.engine.cancel(address, order.generation, order.attempt, CALL_TIMEOUT);
    let is_confirmed = call.await.is_ok();
    if is_confirmed {
        context.recorder.count("cancel_confirmed");
    }
    is_confirmed
}
