use std::time::Duration;

use hollyhook_core::TimePoint;

/// The cause that is told of a stream that began elsewhere: its caller came back to go on.
const CALLER_BACK: &str = "caller_back";

/// A loss after which the next event is waited for.
#[derive(Debug, Clone, Copy)]
struct StreamLoss {
    since: TimePoint,
    cause: &'static str,
}

/// A stream that goes on after a loss.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamResume {
    /// What was lost.
    pub(super) cause: &'static str,
    /// From the last event before the loss, or the caller's return, to the next event.
    pub(super) span: Duration,
}

/// How a stream's events reached its caller.
#[derive(Debug, Default)]
pub(super) struct StreamPace {
    first: Option<TimePoint>,
    last: Option<TimePoint>,
    longest_gap: Duration,
    /// Since when, and why, an attempt is looked for after a loss.
    lost: Option<StreamLoss>,
    resumes: Vec<Duration>,
}

impl StreamPace {
    /// The pace of a stream whose caller came back with a cursor.
    pub(super) fn returning(arrived: TimePoint) -> Self {
        Self { lost: Some(StreamLoss { since: arrived, cause: CALLER_BACK }), ..Self::default() }
    }

    /// Takes in that events are on their way to the caller; tells if they end a loss.
    pub(super) fn note(&mut self, now: TimePoint) -> Option<StreamResume> {
        let gap = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.longest_gap = self.longest_gap.max(gap);
        self.first.get_or_insert(now);
        self.last = Some(now);
        let loss = self.lost.take()?;
        let span = now.since(loss.since);
        self.resumes.push(span);
        Some(StreamResume { cause: loss.cause, span })
    }

    /// Takes in that the attempt is lost that sent the last events; of several losses in a row the first is the cause.
    pub(super) fn note_loss(&mut self, cause: &'static str) {
        self.lost = self.lost.or(self.last.map(|since| StreamLoss { since, cause }));
    }

    /// The times from the last event before a loss to the next.
    pub(super) fn resumes(&self) -> &[Duration] {
        &self.resumes
    }

    /// When the first event was there.
    pub(super) fn first(&self) -> Option<TimePoint> {
        self.first
    }

    /// The longest time between two events.
    pub(super) fn longest_gap(&self) -> Duration {
        self.longest_gap
    }
}
