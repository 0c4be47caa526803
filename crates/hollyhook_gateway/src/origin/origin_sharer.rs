use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::join_all;
use hollyhook_core::{Name, OriginCopy};
use http::StatusCode;

use super::origin_message::{COPY_PATH, OriginCopies, post_message};
use crate::gateway::GatewayContext;
use crate::net::ExchangeError;

/// Delay after copies were sent, in which those of further streams are collected.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Time limit for sending copies to one host.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends copies of the origins of this host's streams to the hosts that are asked for them when this one is lost.
#[derive(Debug)]
pub(crate) struct OriginSharer {
    context: Arc<GatewayContext>,
}

impl OriginSharer {
    /// Records that a caller got events of a stream from a version, and has copies sent if other hosts need them.
    pub(crate) fn record(context: &Arc<GatewayContext>, first_attempt: Name, service: Name, version: Name) {
        context.origins.record_own(first_attempt, service, version);
        Self::spawn_if_needed(context);
    }

    /// Starts sending copies if there are some to send and no task does so.
    pub(crate) fn spawn_if_needed(context: &Arc<GatewayContext>) {
        if context.origins.begin_sharing() {
            task::spawn(Self { context: Arc::clone(context) }.run());
        }
    }

    async fn run(self) {
        loop {
            let origins = self.context.origins.take_unshared();
            if origins.is_empty() {
                break;
            }
            let count = origins.len() as u64;
            self.send(origins).await;
            self.context.recorder.count_by("origins_shared", count);
            self.context.timer.wait(BATCH_DELAY).await;
        }
        self.context.origins.end_sharing();
        // Origins may have been recorded since the last check, when no other task could be started.
        Self::spawn_if_needed(&self.context);
    }

    async fn send(&self, origins: Vec<OriginCopy>) {
        let mut batches: BTreeMap<SocketAddr, OriginCopies> = BTreeMap::new();
        for copy in &origins {
            for holder in self.context.origins.holders(&copy.first_attempt) {
                let copies = batches.entry(holder.address).or_default();
                copies.origins.insert(Name::clone(&copy.first_attempt), Name::clone(&copy.version));
            }
        }
        join_all(batches.into_iter().map(|(address, copies)| self.send_to(address, copies))).await;
    }

    async fn send_to(&self, address: SocketAddr, copies: OriginCopies) {
        if let Err(error) = self.try_send(address, &copies).await {
            // The other holders have copies too.
            self.context.recorder.count("origins_not_copied");
            tracing::info!(%address, count = copies.origins.len(), reason = error.0, "origins.not_copied");
        }
    }

    async fn try_send(&self, address: SocketAddr, copies: &OriginCopies) -> Result<(), ExchangeError> {
        let response = post_message(&self.context.timer, address, COPY_PATH, copies, COPY_TIMEOUT).await?;
        if response.status() != StatusCode::NO_CONTENT {
            return Err(ExchangeError("the host takes no copies from this one"));
        }
        Ok(())
    }
}
