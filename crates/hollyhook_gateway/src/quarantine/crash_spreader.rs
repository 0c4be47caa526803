use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use futures::future::join_all;
use hollyhook_core::{CrashRecords, HostRecord, SpreadScope, SpreadStep, spread_plan, spread_through};

use super::crash_message::post_crashes;
use crate::gateway::GatewayContext;
use crate::sync::lock;

/// Delay before records are sent, in which those of further crashes and of other hosts are collected.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Whose crash records this host sends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RecordSource {
    Own,
    /// Another host's, which have to go as far as this.
    Received(SpreadScope),
}

/// The crash records that this host still has to send to others.
#[derive(Debug, Default)]
pub(crate) struct SpreadQueue {
    pending: Mutex<BTreeMap<RecordSource, CrashRecords>>,
    /// Whether a task of this host sends records.
    is_sending: AtomicBool,
}

impl SpreadQueue {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "crash_spread";

    fn add(&self, source: RecordSource, records: &CrashRecords) {
        let mut pending = lock(&self.pending);
        let known = pending.entry(source).or_default();
        for (digest, record) in records {
            known.entry(*digest).or_default().merge(record);
        }
    }

    fn take(&self) -> BTreeMap<RecordSource, CrashRecords> {
        std::mem::take(&mut *lock(&self.pending))
    }

    fn has_pending(&self) -> bool {
        !lock(&self.pending).is_empty()
    }
}

/// Sends crash records to the other hosts without the store.
#[derive(Debug)]
pub(crate) struct CrashSpreader {
    context: Arc<GatewayContext>,
}

impl CrashSpreader {
    /// Sends the records of this host that the others don't have yet.
    pub(crate) fn spread_own(context: &Arc<GatewayContext>) {
        let records = context.quarantine.take_untold();
        if records.is_empty() {
            return;
        }
        context.recorder.count("crash_records_spread");
        tracing::info!(count = records.len(), "quarantine.spread");
        context.crash_spread.add(RecordSource::Own, &records);
        Self::spawn_if_needed(context);
    }

    /// Passes records on that another host sent.
    pub(crate) fn pass_on(context: &Arc<GatewayContext>, scope: SpreadScope, records: &CrashRecords) {
        if scope != SpreadScope::Host && !records.is_empty() {
            context.crash_spread.add(RecordSource::Received(scope), records);
            Self::spawn_if_needed(context);
        }
    }

    fn spawn_if_needed(context: &Arc<GatewayContext>) {
        let queue = &context.crash_spread;
        if queue.has_pending() && !queue.is_sending.swap(true, Ordering::AcqRel) {
            task::spawn(Self { context: Arc::clone(context) }.run());
        }
    }

    async fn run(self) {
        while self.context.crash_spread.has_pending() {
            self.context.timer.wait(BATCH_DELAY).await;
            let pending = self.context.crash_spread.take();
            join_all(pending.iter().map(|(source, records)| self.send(*source, records))).await;
        }
        self.context.crash_spread.is_sending.store(false, Ordering::Release);
        // Records may have been added since the last check, when no other task could be started.
        Self::spawn_if_needed(&self.context);
    }

    async fn send(&self, source: RecordSource, records: &CrashRecords) {
        let (own, hosts) = self.context.feed.with_topology(|topology| {
            let hosts: Vec<HostRecord> = topology.hosts().cloned().collect();
            (hosts.iter().find(|record| topology.is_own(record)).cloned(), hosts)
        });
        // Other hosts take records only from registered hosts.
        let Some(own) = own else {
            return;
        };
        if let RecordSource::Received(scope) = source {
            return self.send_all(&spread_plan(&own, scope, &hosts), records).await;
        }
        let through = spread_through(&own, &hosts);
        let is_sent = match &through {
            Some(step) => self.send_first(step, records).await,
            None => false,
        };
        if !is_sent {
            self.send_all(&spread_plan(&own, SpreadScope::Site, &hosts), records).await;
        }
    }

    async fn send_all(&self, steps: &[SpreadStep], records: &CrashRecords) {
        join_all(steps.iter().map(|step| self.send_first(step, records))).await;
    }

    /// Sends records to the first recipient that answers; returns whether one did.
    async fn send_first(&self, step: &SpreadStep, records: &CrashRecords) -> bool {
        for host in &step.recipients {
            match post_crashes(&self.context.timer, host, step.scope, records).await {
                Ok(()) => return true,
                Err(error) => {
                    self.context.recorder.count("crash_records_not_spread");
                    tracing::info!(host = %host.host, reason = error.0, "quarantine.not_spread");
                }
            }
        }
        false
    }
}
