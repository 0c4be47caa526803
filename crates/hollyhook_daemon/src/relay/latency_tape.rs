use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{Name, TimePoint};

use hollyhook_telemetry::{MetricMeasure, MetricRecorder};

/// Samples gathered before the board's lock is taken.
const GATHER: usize = 64;

/// Times of one generation, handed to the board in batches.
#[derive(Debug)]
pub(super) struct LatencyTape {
    recorder: Arc<MetricRecorder>,
    account: Name,
    class: &'static str,
    arrived: TimePoint,
    last_token: Option<TimePoint>,
    is_resuming: bool,
    gaps: Vec<Duration>,
}

impl LatencyTape {
    pub(super) fn new(recorder: Arc<MetricRecorder>, account: Name, class: &'static str, arrived: TimePoint) -> Self {
        Self { recorder, account, class, arrived, last_token: None, is_resuming: false, gaps: Vec::new() }
    }

    pub(super) fn accepted(&self, now: TimePoint) {
        self.record(MetricMeasure::QueueWait, &[now - self.arrived]);
    }

    /// The next gap is a resume latency.
    pub(super) fn lost(&mut self) {
        self.is_resuming = true;
    }

    /// Notes a token; returns the gap before it, if it was an ordinary one.
    pub(super) fn token(&mut self, now: TimePoint) -> Option<Duration> {
        let last = self.last_token.replace(now);
        let was_resuming = std::mem::take(&mut self.is_resuming);
        let Some(last) = last else {
            self.record(MetricMeasure::FirstToken, &[now - self.arrived]);
            return None;
        };
        let gap = now - last;
        if was_resuming {
            self.record(MetricMeasure::ResumeLatency, &[gap]);
            return None;
        }
        self.gaps.push(gap);
        if self.gaps.len() >= GATHER {
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

    fn record(&self, measure: MetricMeasure, spans: &[Duration]) {
        self.recorder.record(measure, &self.account, self.class, spans);
    }
}

impl Drop for LatencyTape {
    fn drop(&mut self) {
        self.flush();
    }
}
