use super::RawEvent;

/// What to do with an event received from an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SequenceVerdict {
    /// The event is the next one: deliver it.
    Deliver,
    /// The event is a duplicate of one that the caller has: drop it.
    Drop,
    /// The event can't follow those that the caller has, most often because one before it is missing: abandon the
    /// attempt.
    Gap,
}

/// The highest number that the first event of a stream may have.
const MAX_FIRST_ID: u64 = 1;

/// Delivers numbered events to one caller exactly once and in order, over all attempts at the stream.
///
/// Event numbers increase by one and count the events of the generation, from 0 or 1. If the first event has no number,
/// no event of the stream may have one; such a stream can't be resumed.
///
/// ```
/// use hollyhook_core::{EventSequencer, RawEvent, SequenceVerdict};
///
/// let event = |id| RawEvent { id: Some(id), bytes: Default::default() };
/// let mut sequencer = EventSequencer::new(Some(6));
/// assert_eq!(sequencer.classify(&event(7)), SequenceVerdict::Deliver);
/// assert_eq!(sequencer.classify(&event(7)), SequenceVerdict::Drop);
/// assert_eq!(sequencer.classify(&event(9)), SequenceVerdict::Gap);
/// assert_eq!(sequencer.last(), Some(7));
/// ```
#[derive(Debug, Clone, Default)]
pub struct EventSequencer {
    last: Option<u64>,
    delivered: u64,
}

impl EventSequencer {
    /// Creates a sequencer for a caller that has all events up to the number `cursor`.
    pub fn new(cursor: Option<u64>) -> Self {
        Self { last: cursor, delivered: 0 }
    }

    /// Classifies the next event of the current attempt, and records the event as delivered if it is to be.
    pub fn classify(&mut self, event: &RawEvent) -> SequenceVerdict {
        if !event.has_event() {
            // Before the first event a caller gets nothing, so that another attempt may still answer in another way.
            return if self.delivered > 0 { SequenceVerdict::Deliver } else { SequenceVerdict::Drop };
        }
        let verdict = match (event.id, self.last) {
            (Some(id), Some(last)) if id <= last => SequenceVerdict::Drop,
            (Some(id), Some(last)) if id == last + 1 => SequenceVerdict::Deliver,
            (Some(id), None) if self.delivered == 0 && id <= MAX_FIRST_ID => SequenceVerdict::Deliver,
            (None, None) => SequenceVerdict::Deliver,
            _ => SequenceVerdict::Gap,
        };
        if verdict == SequenceVerdict::Deliver {
            self.delivered += 1;
            self.last = event.id.or(self.last);
        }
        verdict
    }

    /// Whether another attempt can continue the stream; not if the caller has events without numbers.
    pub fn can_resume(&self) -> bool {
        self.last.is_some() || self.delivered == 0
    }

    /// The number of the last event that the caller has, if known.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// The count of events delivered over all attempts.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }
}
