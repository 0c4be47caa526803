use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{Name, TimePoint};

use hollyhook_telemetry::{MetricMeasure, MetricRecorder};

/// Inter-token times that are collected before they are recorded, so that the metrics lock is taken once per batch.
const BATCH_SIZE: usize = 64;

/// Measures the latencies of one generation and records them as metrics, inter-token times in batches.
#[derive(Debug)]
pub(super) struct LatencyTracker {
    recorder: Arc<MetricRecorder>,
    account: Name,
    class: &'static str,
    arrived_at: TimePoint,
    last_token: Option<TimePoint>,
    is_resuming: bool,
    gaps: Vec<Duration>,
}

impl LatencyTracker {
    pub(super) fn new(
        recorder: Arc<MetricRecorder>,
        account: Name,
        class: &'static str,
        arrived_at: TimePoint,
    ) -> Self {
        Self { recorder, account, class, arrived_at, last_token: None, is_resuming: false, gaps: Vec::new() }
    }

    /// Records that an endpoint accepted the request.
    pub(super) fn record_accepted(&self, now: TimePoint) {
        self.record(MetricMeasure::QueueWait, &[now - self.arrived_at]);
    }

    /// Marks the next gap between tokens as a resume latency.
    pub(super) fn mark_resuming(&mut self) {
        self.is_resuming = true;
    }

    /// Records a token; returns the time since the last token, unless the token is the first or follows a resume.
    pub(super) fn record_token(&mut self, now: TimePoint) -> Option<Duration> {
        let last = self.last_token.replace(now);
        let has_resumed = std::mem::take(&mut self.is_resuming);
        let Some(last) = last else {
            self.record(MetricMeasure::FirstToken, &[now - self.arrived_at]);
            return None;
        };
        let gap = now - last;
        if has_resumed {
            self.record(MetricMeasure::ResumeLatency, &[gap]);
            return None;
        }
        self.gaps.push(gap);
        if self.gaps.len() >= BATCH_SIZE {
            self.flush();
        }
        Some(gap)
    }

    fn flush(&mut self) {
        let gaps = std::mem::take(&mut self.gaps);
        if !gaps.is_empty() {
            self.record(MetricMeasure::BetweenTokens, &gaps);
        }
    }

    fn record(&self, measure: MetricMeasure, durations: &[Duration]) {
        self.recorder.record(measure, &self.account, self.class, durations);
    }
}

impl Drop for LatencyTracker {
    fn drop(&mut self) {
        self.flush();
    }
}
