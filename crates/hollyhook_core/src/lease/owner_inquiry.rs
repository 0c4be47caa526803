use std::time::Duration;

use super::refusal_pause::RefusalPause;
use crate::TimePoint;

/// How long the answer to a question is counted on. After that, others are asked, too: a message may be lost.
const EXPECTED_ANSWER_TIME: Duration = Duration::from_millis(30);

/// The questions of this host about one endpoint's limit, one at a time.
#[derive(Debug, Default)]
pub(super) struct OwnerInquiry {
    /// What the question under way asks for, and since when.
    asked: Option<(u32, TimePoint)>,
    pause: RefusalPause,
}

impl OwnerInquiry {
    pub(super) fn is_under_way(&self) -> bool {
        self.asked.is_some()
    }

    /// Whether the owner may be asked now for more.
    pub(super) fn may_ask(&self, now: TimePoint) -> bool {
        self.asked.is_none() && self.pause.is_over(now)
    }

    /// Whether the answer to the question under way is late.
    pub(super) fn is_late(&self, now: TimePoint) -> bool {
        self.asked.is_some_and(|(_, at)| now.since(at) >= EXPECTED_ANSWER_TIME)
    }

    /// What the question under way asks for, unless its answer is late.
    pub(super) fn expected(&self, now: TimePoint) -> Option<u32> {
        self.asked.filter(|_| !self.is_late(now)).map(|(count, _)| count)
    }

    /// The present length of the pause after refusals.
    pub(super) fn pause_span(&self) -> Duration {
        self.pause.span()
    }

    pub(super) fn begin(&mut self, now: TimePoint, wanted: u32) {
        self.asked = Some((wanted, now));
    }

    /// Ends the question under way, which brought `leased`.
    pub(super) fn end(&mut self, now: TimePoint, leased: u32) {
        let asked = self.asked.take().map_or(0, |(asked, _)| asked);
        self.pause.record(now, leased < asked);
    }
}
