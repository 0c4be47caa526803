use bytes::{Buf, Bytes, BytesMut};

/// The maximum size of one event; a larger one is treated as a fault of the endpoint.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// One block of an event stream, up to a blank line, as sent by the endpoint: an event, or comments only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// The event's number, if it has one.
    pub id: Option<u64>,
    /// All bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
}

impl RawEvent {
    /// Whether the block has an event. One of comments and blank lines has none, which keep a connection from being
    /// idle, nor has one that only states the time before a new connection.
    pub fn has_event(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        self.id.is_some() || lines.any(|line| !matches!(line, b"" | b"\r" | [b':', ..]) && !line.starts_with(b"retry:"))
    }
}

/// Splits a byte stream into whole events and buffers the incomplete rest.
///
/// ```
/// use hollyhook_core::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.feed(b"id: 4\ndata: a\n\nid: 5\nda");
/// assert_eq!(splitter.next_event().unwrap().id, Some(4));
/// assert!(splitter.next_event().is_none());
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    bytes: BytesMut,
    /// Where the first line that is not known to be whole begins.
    line_start: usize,
    /// The number of leading bytes that have been searched for line ends.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event, if one is buffered.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = self.find_end()?;
        let bytes = self.bytes.split_to(end).freeze();
        self.line_start = 0;
        self.searched = 0;
        Some(RawEvent { id: find_id(&bytes), bytes })
    }

    /// Whether bytes of an incomplete event are buffered, once all whole events have been removed.
    pub fn has_partial_event(&self) -> bool {
        self.bytes.has_remaining()
    }

    /// Whether the buffered incomplete event exceeds the maximum size, once all whole events have been removed.
    pub fn is_oversized(&self) -> bool {
        self.bytes.len() > MAX_EVENT_BYTES
    }

    fn find_end(&mut self) -> Option<usize> {
        while let Some(length) = self.bytes[self.searched..].iter().position(|byte| *byte == b'\n') {
            let line_end = self.searched + length;
            let line = &self.bytes[self.line_start..line_end];
            if matches!(line, b"" | b"\r") {
                return Some(line_end + 1);
            }
            self.line_start = line_end + 1;
            self.searched = line_end + 1;
        }
        self.searched = self.bytes.len();
        None
    }
}

fn find_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next_back()?).ok()?;
    text.trim().parse().ok()
}
