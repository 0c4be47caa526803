use bytes::{Bytes, BytesMut};

use super::{EventSequencer, EventSplitter, RawEvent, SequenceVerdict};

/// Maximum number of bytes between two events that carry an attempt on. It leaves room for thousands of comments that
/// keep a connection from being idle; an attempt that sends more is at fault, since such bytes may never end.
const MAX_IDLE_BYTES: usize = 256 * 1_024;

/// Reads the events of one attempt from the bytes of its response body, up to the first fault.
///
/// An attempt is faulty from the first event that can't follow those that the caller has, and once it has sent too many
/// bytes that do not carry it on: comments, blank lines, events that it has sent before. The events before the fault
/// are still delivered, and no later event and no end of the body makes up for it.
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
    /// The highest number of an event of this attempt.
    highest_id: Option<u64>,
    /// Blocks without an event that precede the caller's first event, with which they are delivered.
    leading: BytesMut,
    /// The number of bytes in whole blocks since the last event that carried the attempt on.
    idle_bytes: usize,
    is_faulty: bool,
}

/// The whole events among the bytes that have arrived.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// The events that the caller does not have yet, in order, and comments between them.
    pub events: Vec<Bytes>,
    /// The number of events that carry the attempt on: those that it has not sent before, even if the caller has them
    /// already. Comments do not count.
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
            let verdict = sequencer.classify(&event);
            batch.received += u32::from(self.record_progress(&event, verdict));
            match verdict {
                SequenceVerdict::Deliver => {
                    let leading = std::mem::take(&mut self.leading);
                    if sequencer.delivered() == 1 && !leading.is_empty() {
                        batch.events.push(leading.freeze());
                    }
                    batch.events.push(event.bytes);
                }
                SequenceVerdict::Drop if !event.has_event() => self.leading.extend_from_slice(&event.bytes),
                SequenceVerdict::Drop => {}
                SequenceVerdict::Gap => self.is_faulty = true,
            }
        }
        self.is_faulty |= self.splitter.is_oversized();
        batch
    }

    /// Records an event, and returns whether it carries the attempt on.
    fn record_progress(&mut self, event: &RawEvent, verdict: SequenceVerdict) -> bool {
        let is_progress = match (verdict, event.id) {
            (SequenceVerdict::Gap, _) => false,
            (_, Some(_)) => event.id > self.highest_id,
            (verdict, None) => event.has_event() && verdict == SequenceVerdict::Deliver,
        };
        self.last_id = event.id.or(self.last_id);
        self.highest_id = self.highest_id.max(event.id);
        self.idle_bytes = if is_progress { 0 } else { self.idle_bytes + event.bytes.len() };
        self.is_faulty |= self.idle_bytes > MAX_IDLE_BYTES;
        is_progress
    }

    /// Whether the attempt sent an event that can't be delivered, or too many bytes without one, so that it must be
    /// abandoned.
    pub fn is_faulty(&self) -> bool {
        self.is_faulty
    }

    /// Whether the attempt has sent bytes since the last event that carried it on.
    pub fn has_idle_bytes(&self) -> bool {
        self.idle_bytes > 0 || self.splitter.has_partial_event()
    }

    /// Whether the caller has the whole stream if the body properly ends here.
    ///
    /// An attempt that ends inside an event, or before the last event that the caller has, was cut short.
    pub fn has_whole_stream(&self, sequencer: &EventSequencer) -> bool {
        let reached_caller = self.last_id.is_none_or(|id| Some(id) == sequencer.last());
        reached_caller && !self.is_faulty && !self.splitter.has_partial_event()
    }
}
