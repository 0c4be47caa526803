/// The maximum size of an event in bytes; a stream with a larger incomplete event is abandoned.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// A server-sent event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The `id` field, if the event has one.
    pub id: Option<String>,
    /// The `event` field, if the event has one.
    pub name: Option<String>,
    /// The `data` fields, joined by line feeds.
    pub data: String,
}

/// Parses a byte stream, received in chunks of any size, into complete events.
///
/// ```
/// use hollyhook_wire::SseParser;
///
/// let mut parser = SseParser::default();
/// parser.feed(b"id: 4\ndata: hel");
/// assert!(parser.next_event().is_none());
/// parser.feed(b"lo\n\n");
/// let event = parser.next_event().unwrap();
/// assert_eq!((event.id.as_deref(), event.data.as_str()), (Some("4"), "hello"));
/// ```
#[derive(Debug, Default)]
pub struct SseParser {
    bytes: Vec<u8>,
    /// The number of bytes of `bytes` that have been parsed.
    consumed: usize,
    /// The incomplete event whose fields are being parsed.
    event: SseEvent,
    /// Whether the incomplete event has a field, so that an empty line completes it.
    has_field: bool,
}

impl SseParser {
    /// Appends the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.consumed == self.bytes.len() {
            self.bytes.clear();
            self.consumed = 0;
        } else if self.consumed > self.bytes.len() / 2 {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next complete event, or `None` until more bytes arrive.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        while let Some(length) = self.bytes[self.consumed..].iter().position(|byte| *byte == b'\n') {
            let line = &self.bytes[self.consumed..self.consumed + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let line = String::from_utf8_lossy(line);
            if line.is_empty() {
                self.consumed += length + 1;
                if std::mem::take(&mut self.has_field) {
                    return Some(std::mem::take(&mut self.event));
                }
                continue;
            }
            let is_field = apply_field(&mut self.event, &line);
            self.has_field |= is_field;
            self.consumed += length + 1;
        }
        None
    }

    /// Whether the buffered incomplete event exceeds 256 KiB, which is more than any endpoint sends.
    pub fn is_oversized(&self) -> bool {
        self.bytes.len() - self.consumed + self.event.data.len() > MAX_EVENT_BYTES
    }
}

/// Applies a line to the event; returns `false` if the line is not a field that this parser uses.
fn apply_field(event: &mut SseEvent, line: &str) -> bool {
    let (field, value) = line.split_once(':').unwrap_or((line, ""));
    let value = value.strip_prefix(' ').unwrap_or(value);
    match field {
        "id" => event.id = Some(value.to_owned()),
        "event" => event.name = Some(value.to_owned()),
        "data" => {
            if !event.data.is_empty() {
                event.data.push('\n');
            }
            event.data.push_str(value);
        }
        // A comment carries no data; it only keeps the connection from being idle. Unknown fields are ignored.
        _ => return false,
    }
    true
}
