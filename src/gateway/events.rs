use bytes::{Buf, Bytes, BytesMut};

/// Largest event that is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Names of fields that may lack a colon and a value.
const BARE_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// One complete event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's bytes, including the terminator.
    pub bytes: Bytes,
    /// The event's id, if it is a number.
    pub id: Option<u64>,
    /// Whether it has no fields, only comments, which endpoints send to keep connections open.
    pub is_comment: bool,
    /// Whether each line is a field or a comment; lines of other text are neither.
    pub is_well_formed: bool,
}

/// Splits an event stream into complete events without changing any byte.
///
/// # Examples
///
/// ```
/// use almondpath::gateway::EventSplitter;
///
/// let mut events = EventSplitter::default();
/// events.push(b"id: 4\ndata: a\n\nid: 5\nda");
/// assert_eq!(events.next().and_then(|event| event.id), Some(4));
/// assert!(events.next().is_none());
/// assert!(events.has_partial());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that are known to contain no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes; returns false if the buffer exceeds the size limit and the stream can't be
    /// used.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns the bytes of memory that the buffer takes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns whether the buffer holds an incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the offset at which the first event ends.
    fn end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut at = self.searched;
        while let Some(offset) = bytes[at..].iter().position(|byte| *byte == b'\n') {
            let line_end = at + offset + 1;
            match &bytes[line_end..] {
                [b'\n', ..] => return Some(line_end + 1),
                [b'\r', b'\n', ..] => return Some(line_end + 2),
                [] | [b'\r'] => {
                    self.searched = line_end - 1;
                    return None;
                }
                _ => at = line_end,
            }
        }
        self.searched = at;
        None
    }
}

impl Iterator for EventSplitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.end()?;
        let bytes = self.buffer.copy_to_bytes(end);
        self.searched = 0;
        let id = id(&bytes);
        let is_comment = is_comment(&bytes);
        let is_well_formed = bytes.split(|byte| *byte == b'\n').all(is_field);
        Some(Event {
            bytes,
            id,
            is_comment,
            is_well_formed,
        })
    }
}

/// Returns whether no line of an event is a field.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Returns whether a line of an event is empty, a comment or a field.
///
/// Names of fields are in lower case, unlike those of HTTP headers, and all but the standard ones come
/// with a colon, unlike the words of an error message.
fn is_field(line: &[u8]) -> bool {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    let has_colon = name.len() < line.len();
    let is_name_byte =
        |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || *byte == b'-';
    line.is_empty() || BARE_FIELDS.contains(&name) || (has_colon && name.iter().all(is_name_byte))
}

/// Returns the number in the `id` field of an event.
fn id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
