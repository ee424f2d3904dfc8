use crate::stream::{Chunk, Cursor, Restart};

/// The text of a streamed response, assembled from its chunks.
///
/// # Examples
///
/// ```
/// use almondpath::client::Text;
/// use almondpath::stream::{Chunk, Restart};
///
/// let chunk = |attempt, offset, text: &str| Chunk { attempt, offset, text: text.into() };
/// let mut text = Text::default();
/// assert!(text.push(&chunk(1, 0, "a")) && text.push(&chunk(1, 1, "b")));
/// text.restart(Restart { attempt: 2, offset: 1 });
/// assert!(!text.push(&chunk(1, 1, "b")), "a chunk of the abandoned attempt is dropped");
/// assert!(text.push(&chunk(2, 1, "c")));
/// assert_eq!(text.as_str(), "ac");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Text {
    text: String,
    /// Byte offset in `text` at which each chunk ends, and the attempt of the chunk.
    ends: Vec<(usize, u32)>,
    /// Attempt of the last restart; chunks of earlier attempts are dropped.
    min_attempt: u32,
}

impl Text {
    /// Appends a chunk, and returns `false` if it was dropped because it is not the next one or
    /// belongs to an abandoned attempt.
    pub fn push(&mut self, chunk: &Chunk) -> bool {
        let last = self.ends.last().map_or(0, |(_, attempt)| *attempt);
        if chunk.offset as usize != self.ends.len() || chunk.attempt < self.min_attempt.max(last) {
            return false;
        }
        self.text.push_str(&chunk.text);
        self.ends.push((self.text.len(), chunk.attempt));
        true
    }

    /// Discards the chunks from the restart's offset on.
    pub fn restart(&mut self, restart: Restart) {
        self.ends.truncate(restart.offset as usize);
        self.text
            .truncate(self.ends.last().map_or(0, |(end, _)| *end));
        self.min_attempt = restart.attempt;
    }

    /// Returns the position from which a node continues the response after a reconnect.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        Cursor {
            offset: u32::try_from(self.ends.len()).unwrap_or(u32::MAX),
            attempt: self.ends.last().map(|(_, attempt)| *attempt),
        }
    }

    /// Returns the text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }
}
