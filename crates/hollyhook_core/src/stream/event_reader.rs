use bytes::Bytes;

use super::{EventSequencer, EventSplitter, SequenceVerdict};

/// Reads the events of one attempt from the bytes of its response body, up to the first fault.
///
/// An attempt is faulty from the first event that can't follow those that the caller has. The events before it are
/// still delivered, and no later event and no end of the body makes up for it.
///
/// ```
/// use hollyhook_core::{EventReader, EventSequencer};
///
/// let mut sequencer = EventSequencer::default();
/// let mut reader = EventReader::default();
/// reader.feed(b"id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
/// assert_eq!(reader.take_events(&mut sequencer).events.len(), 1);
/// assert!(reader.is_faulty());
/// assert!(!reader.has_whole_stream(&sequencer));
/// assert_eq!(sequencer.last(), Some(1));
/// ```
#[derive(Debug, Default)]
pub struct EventReader {
    splitter: EventSplitter,
    /// The number of the last event of this attempt.
    last_id: Option<u64>,
    is_faulty: bool,
}

/// The whole events among the bytes that have arrived.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// The events that the caller does not have yet, in order.
    pub events: Vec<Bytes>,
    /// The number of events taken, including those that the caller has already.
    pub received: u32,
}

impl EventReader {
    /// Appends received bytes of the body.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.splitter.feed(bytes);
    }

    /// Takes the whole events that are buffered, and records those that the caller does not have as delivered.
    pub fn take_events(&mut self, sequencer: &mut EventSequencer) -> EventBatch {
        let mut batch = EventBatch::default();
        while !self.is_faulty
            && let Some(event) = self.splitter.next_event()
        {
            batch.received += 1;
            self.last_id = event.id.or(self.last_id);
            match sequencer.classify(&event) {
                SequenceVerdict::Deliver => batch.events.push(event.bytes),
                SequenceVerdict::Drop => {}
                SequenceVerdict::Gap => self.is_faulty = true,
            }
        }
        self.is_faulty |= self.splitter.is_oversized();
        batch
    }

    /// Whether the attempt sent an event that can't be delivered, so that it must be abandoned.
    pub fn is_faulty(&self) -> bool {
        self.is_faulty
    }

    /// Whether the caller has the whole stream if the body properly ends here.
    ///
    /// An attempt that ends inside an event, or before the last event that the caller has, was cut short.
    pub fn has_whole_stream(&self, sequencer: &EventSequencer) -> bool {
        let reached_caller = self.last_id.is_none_or(|id| Some(id) == sequencer.last());
        reached_caller && !self.is_faulty && !self.splitter.has_partial_event()
    }
}
