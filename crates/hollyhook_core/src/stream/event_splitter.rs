use bytes::{Buf, Bytes, BytesMut};

/// The most bytes of one event; a longer one is a fault of the endpoint.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// One whole event, as the endpoint sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// All its bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// Cuts a stream of bytes into whole events and holds back what is not whole.
///
/// ```
/// use hollyhook_core::EventSplitter;
///
/// let mut cutter = EventSplitter::default();
/// cutter.feed(b"id: 4\ndata: a\n\nid: 5\nda");
/// assert_eq!(cutter.next_event().unwrap().id, Some(4));
/// assert!(cutter.next_event().is_none());
/// assert!(cutter.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    bytes: BytesMut,
    /// Bytes at the start that hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Takes the next bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = self.find_end()?;
        let bytes = self.bytes.split_to(end).freeze();
        self.searched = 0;
        Some(RawEvent { id: find_id(&bytes), bytes })
    }

    /// Whether part of an event is held back.
    pub fn has_partial_event(&self) -> bool {
        self.bytes.has_remaining()
    }

    /// Whether the event held back is longer than any endpoint sends.
    pub fn is_oversized(&self) -> bool {
        self.bytes.len() > MAX_EVENT_BYTES
    }

    fn find_end(&mut self) -> Option<usize> {
        let mut line_start = self.searched;
        while let Some(length) = self.bytes[line_start..].iter().position(|byte| *byte == b'\n') {
            let line = &self.bytes[line_start..line_start + length];
            let next = line_start + length + 1;
            if matches!(line, b"" | b"\r") {
                return Some(next);
            }
            line_start = next;
        }
        self.searched = line_start;
        None
    }
}

fn find_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next_back()?).ok()?;
    text.trim().parse().ok()
}
