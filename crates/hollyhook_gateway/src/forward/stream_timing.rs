use std::time::Duration;

use hollyhook_core::TimePoint;

/// Cause logged for a stream that its caller resumes with a cursor after it began in an earlier request.
const CALLER_BACK: &str = "caller_back";

/// A lost attempt after which no event has reached the caller yet.
#[derive(Debug, Clone, Copy)]
struct StreamLoss {
    since: TimePoint,
    cause: &'static str,
}

/// The end of an interruption: an event has reached the caller after a loss.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamResume {
    /// Cause of the loss: the attempt's failure, or `caller_back`.
    pub(super) cause: &'static str,
    /// Time from the last event before the loss, or from the caller's return, to the next event.
    pub(super) span: Duration,
}

/// Times at which a stream's events reached its caller.
#[derive(Debug, Default)]
pub(super) struct StreamTiming {
    first: Option<TimePoint>,
    last: Option<TimePoint>,
    longest_gap: Duration,
    /// The loss that no event has followed yet.
    lost: Option<StreamLoss>,
    resumes: Vec<Duration>,
}

impl StreamTiming {
    /// Creates the timing of a stream whose caller came back with a cursor.
    pub(super) fn resumed_by_caller(arrived: TimePoint) -> Self {
        Self { lost: Some(StreamLoss { since: arrived, cause: CALLER_BACK }), ..Self::default() }
    }

    /// Records that events are being sent to the caller; returns the resume if they end an interruption.
    pub(super) fn record_event(&mut self, now: TimePoint) -> Option<StreamResume> {
        let gap = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.longest_gap = self.longest_gap.max(gap);
        self.first.get_or_insert(now);
        self.last = Some(now);
        let loss = self.lost.take()?;
        let span = now.since(loss.since);
        self.resumes.push(span);
        Some(StreamResume { cause: loss.cause, span })
    }

    /// Records the loss of an attempt. Only the first of consecutive losses counts; a loss before the first event is
    /// ignored.
    pub(super) fn record_loss(&mut self, cause: &'static str) {
        self.lost = self.lost.or(self.last.map(|since| StreamLoss { since, cause }));
    }

    /// Duration of each interruption, from the last event before the loss, or from the caller's return, to the next
    /// event.
    pub(super) fn resumes(&self) -> &[Duration] {
        &self.resumes
    }

    /// When the first event was sent to the caller.
    pub(super) fn first(&self) -> Option<TimePoint> {
        self.first
    }

    /// The longest time between two events sent to the caller.
    pub(super) fn longest_gap(&self) -> Duration {
        self.longest_gap
    }
}
