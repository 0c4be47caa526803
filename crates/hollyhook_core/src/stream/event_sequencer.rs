use super::RawEvent;

/// What to do with an event received from an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SequenceVerdict {
    /// The event is the next one: deliver it.
    Deliver,
    /// The event is a duplicate of one that the caller has: drop it.
    Drop,
    /// An event before this one is missing: abandon the attempt.
    Gap,
}

/// Delivers numbered events to one caller exactly once and in order, over all attempts at the stream.
///
/// Event numbers increase by one. For a caller without a cursor, the first event of the first attempt sets the number
/// to start from.
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
        let verdict = match (event.id, self.last) {
            // An event without a number can't be put in order; only an attempt that was never resumed may send one.
            (None, _) | (Some(_), None) => SequenceVerdict::Deliver,
            (Some(id), Some(last)) if id <= last => SequenceVerdict::Drop,
            (Some(id), Some(last)) if id == last + 1 => SequenceVerdict::Deliver,
            (Some(_), Some(_)) => SequenceVerdict::Gap,
        };
        if verdict == SequenceVerdict::Deliver {
            self.delivered += 1;
            self.last = event.id.or(self.last);
        }
        verdict
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
