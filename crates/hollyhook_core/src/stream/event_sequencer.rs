use super::RawEvent;

/// What to do with an event that an attempt sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SequenceVerdict {
    /// It is the next one: deliver it.
    Deliver,
    /// The caller has it already.
    Drop,
    /// An event between the last one and this one is missing: leave the attempt.
    Gap,
}

/// Where one caller is in a stream of numbered events, over all attempts at it.
///
/// The caller gets each event once and in order, whichever attempt it comes from. Numbers grow by one; the first
/// attempt of a caller without a cursor tells where they start.
///
/// ```
/// use hollyhook_core::{RawEvent, EventSequencer, SequenceVerdict};
///
/// let piece = |id| RawEvent { id: Some(id), bytes: Default::default() };
/// let mut relay = EventSequencer::new(Some(6));
/// assert_eq!(relay.classify(&piece(7)), SequenceVerdict::Deliver);
/// assert_eq!(relay.classify(&piece(7)), SequenceVerdict::Drop);
/// assert_eq!(relay.classify(&piece(9)), SequenceVerdict::Gap);
/// assert_eq!(relay.last(), Some(7));
/// ```
#[derive(Debug, Clone, Default)]
pub struct EventSequencer {
    last: Option<u64>,
    delivered: u64,
}

impl EventSequencer {
    /// A relay for a caller that has everything up to `cursor`.
    pub fn new(cursor: Option<u64>) -> Self {
        Self { last: cursor, delivered: 0 }
    }

    /// Judges the next event of the current attempt; one that is to be delivered counts as delivered.
    pub fn classify(&mut self, piece: &RawEvent) -> SequenceVerdict {
        let verdict = match (piece.id, self.last) {
            // Without a number it can't be placed; only an attempt that was never resumed may send it.
            (None, _) | (Some(_), None) => SequenceVerdict::Deliver,
            (Some(id), Some(last)) if id <= last => SequenceVerdict::Drop,
            (Some(id), Some(last)) if id == last + 1 => SequenceVerdict::Deliver,
            (Some(_), Some(_)) => SequenceVerdict::Gap,
        };
        if verdict == SequenceVerdict::Deliver {
            self.delivered += 1;
            self.last = piece.id.or(self.last);
        }
        verdict
    }

    /// The number of the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Events delivered, over all attempts.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }
}
