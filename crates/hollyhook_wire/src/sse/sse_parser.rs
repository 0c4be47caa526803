/// The most bytes of one event; a longer one ends the stream.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// One event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The `id` field, if the event has one.
    pub id: Option<String>,
    /// The `event` field, if the event has one.
    pub name: Option<String>,
    /// The `data` fields, joined by line feeds.
    pub data: String,
}

/// Takes bytes in any pieces and gives whole events.
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
    used: usize,
    event: SseEvent,
    has_field: bool,
}

impl SseParser {
    /// Takes the next bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.used == self.bytes.len() {
            self.bytes.clear();
            self.used = 0;
        } else if self.used > self.bytes.len() / 2 {
            self.bytes.drain(..self.used);
            self.used = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        while let Some(length) = self.bytes[self.used..].iter().position(|byte| *byte == b'\n') {
            let line = &self.bytes[self.used..self.used + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let line = String::from_utf8_lossy(line);
            if line.is_empty() {
                self.used += length + 1;
                if std::mem::take(&mut self.has_field) {
                    return Some(std::mem::take(&mut self.event));
                }
                continue;
            }
            let is_field = take_field(&mut self.event, &line);
            self.has_field |= is_field;
            self.used += length + 1;
        }
        None
    }

    /// Whether an event is longer than any endpoint sends.
    pub fn is_overfull(&self) -> bool {
        self.bytes.len() - self.used + self.event.data.len() > MAX_EVENT_BYTES
    }
}

fn take_field(event: &mut SseEvent, line: &str) -> bool {
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
        // A comment keeps the connection warm and carries nothing.
        _ => return false,
    }
    true
}
