use std::sync::Arc;

use super::{Batch, Chunk, Cursor, Phase, Progress, Restart, Run};

/// Attempts of one holder have consecutive numbers within a block of this size; a node that takes
/// a response over starts a new block at a random place, so that two nodes that both believe they
/// hold the response never give two samplings the same number.
const BLOCK_BITS: u32 = 16;

/// Attempts that one holder can begin before its numbers could meet those of another one.
const HOLDER_ATTEMPTS: u16 = 16;

/// The chunks of one response, in order, with the attempts that generated them.
///
/// Texts are kept in one string, because a separate allocation for each token would take several
/// times the memory of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transcript {
    text: String,
    ends: Vec<u32>,
    runs: Vec<Run>,
    attempt: u32,
    inherited: Option<u32>,
    salt: Option<u16>,
    phase: Phase,
}

enum Point {
    At(u32),
    Restart(u32),
    Wait,
}

impl Default for Transcript {
    fn default() -> Self {
        Self {
            text: String::new(),
            ends: Vec::new(),
            runs: Vec::new(),
            attempt: 0,
            inherited: None,
            salt: None,
            phase: Phase::Running,
        }
    }
}

/// Writing by the holder.
impl Transcript {
    /// Begins the next attempt, which continues after the chunks so far, and returns its number.
    pub fn begin_attempt(&mut self) -> u32 {
        self.attempt = match self.salt.take() {
            Some(salt) => {
                let block = (self.attempt >> BLOCK_BITS) + 1;
                (block << BLOCK_BITS) | u32::from(salt - salt % HOLDER_ATTEMPTS)
            }
            None => self.attempt + 1,
        };
        let start = self.len();
        if self.runs.last().is_some_and(|run| run.start == start) {
            self.runs.pop();
        }
        self.runs.push(Run {
            attempt: self.attempt,
            start,
        });
        self.attempt
    }

    /// Appends a chunk; one of another attempt, out of order or after the end is dropped.
    pub fn push(&mut self, chunk: &Chunk) -> bool {
        let fits = chunk.attempt == self.attempt
            && self.attempt > 0
            && chunk.offset == self.len()
            && self.phase == Phase::Running;
        if fits {
            self.append(&chunk.text);
        }
        fits
    }

    /// Ends the response or lets it continue elsewhere; a response that is done stays done.
    pub fn finish(&mut self, phase: Phase) {
        if self.phase == Phase::Running {
            self.phase = phase;
        }
    }

    /// Makes this copy the response that callers read; `salt` is a random number.
    pub fn take_over(&mut self, salt: u16) {
        self.inherited = Some(self.len());
        self.salt = Some(salt);
        if matches!(self.phase, Phase::Moved(_)) {
            self.phase = Phase::Running;
        }
    }

    /// Applies the holder's progress to a backup copy; returns false when chunks are missing in
    /// between, so that the holder has to send from an earlier offset.
    pub fn apply(&mut self, progress: &Progress) -> bool {
        let attempt = progress.runs.last().map_or(0, |run| run.attempt);
        if attempt < self.attempt || self.phase != Phase::Running {
            return true;
        }
        if progress.offset > self.len() {
            return false;
        }
        let count = u32::try_from(progress.texts.len()).unwrap_or(u32::MAX);
        let end = progress.offset.saturating_add(count);
        if attempt > self.attempt || end > self.len() {
            self.truncate(progress.offset);
            for text in &progress.texts {
                self.append(text);
            }
            self.runs.clone_from(&progress.runs);
            self.attempt = attempt;
        }
        if end == self.len() {
            self.phase = progress.phase.clone();
        }
        true
    }

    fn append(&mut self, text: &str) {
        self.text.push_str(text);
        self.ends
            .push(u32::try_from(self.text.len()).unwrap_or(u32::MAX));
    }

    fn truncate(&mut self, length: u32) {
        self.ends.truncate(length as usize);
        self.text
            .truncate(self.ends.last().map_or(0, |end| *end as usize));
    }
}

/// Reading.
impl Transcript {
    /// Returns the number of chunks.
    #[must_use]
    pub fn len(&self) -> u32 {
        u32::try_from(self.ends.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether there is no chunk yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the number of the present attempt; 0 before the first.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the phase.
    #[must_use]
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the texts from an offset on.
    pub fn texts(&self, offset: u32) -> impl Iterator<Item = &str> {
        (offset..self.len()).map(|offset| self.text_at(offset))
    }

    /// Returns all attempts that have generated chunks, and the present one.
    #[must_use]
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }

    /// Returns the memory in bytes that the chunks take.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.text.capacity()
            + self.ends.capacity() * size_of::<u32>()
            + self.runs.capacity() * size_of::<Run>()
    }

    /// Returns what follows for a caller with this cursor.
    ///
    /// The result never joins the output of two samplings: when the caller's last chunk comes
    /// from an attempt that was abandoned before that chunk, the batch names the offset at which
    /// both agree.
    #[must_use]
    pub fn read(&self, cursor: Cursor) -> Batch {
        let (offset, restart) = match self.point(cursor) {
            Point::At(offset) => (offset, None),
            Point::Restart(offset) => (offset, Some(offset)),
            Point::Wait => return self.nothing_yet(cursor),
        };
        let chunks: Vec<Chunk> = (offset..self.len()).map(|at| self.chunk(at)).collect();
        let attempt = match self.len().max(offset) {
            0 => None,
            length => Some(self.attempt_at(length - 1)),
        };
        Batch {
            restart: restart.map(|offset| Restart {
                attempt: self.attempt_at(offset),
                offset,
            }),
            chunks,
            phase: self.phase.clone(),
            cursor: Cursor {
                offset: self.len(),
                attempt,
            },
        }
    }

    fn nothing_yet(&self, cursor: Cursor) -> Batch {
        Batch {
            restart: None,
            chunks: Vec::new(),
            phase: self.phase.clone(),
            cursor,
        }
    }

    fn point(&self, cursor: Cursor) -> Point {
        let length = self.len();
        let Some(last) = cursor.offset.checked_sub(1) else {
            return Point::At(0);
        };
        if matches!(self.phase, Phase::Moved(_)) {
            return Point::Wait;
        }
        let Some(attempt) = cursor.attempt else {
            let known = self.inherited.unwrap_or(length).min(length);
            return if cursor.offset <= known {
                Point::At(cursor.offset)
            } else {
                Point::Restart(known)
            };
        };
        // An attempt that this holder knows nothing of may have started anywhere.
        if !self.runs.iter().any(|run| run.attempt == attempt) {
            return Point::Restart(0);
        }
        if last < length && self.attempt_at(last) == attempt {
            return Point::At(cursor.offset);
        }
        match self.runs.iter().find(|run| run.attempt > attempt) {
            Some(run) => Point::Restart(run.start),
            None if self.phase == Phase::Running => Point::Wait,
            None => Point::Restart(length),
        }
    }

    fn attempt_at(&self, offset: u32) -> u32 {
        let after = self.runs.partition_point(|run| run.start <= offset);
        after
            .checked_sub(1)
            .map_or(self.attempt, |at| self.runs[at].attempt)
    }

    fn text_at(&self, offset: u32) -> &str {
        let offset = offset as usize;
        let start = offset.checked_sub(1).map_or(0, |at| self.ends[at] as usize);
        &self.text[start..self.ends[offset] as usize]
    }

    fn chunk(&self, offset: u32) -> Chunk {
        Chunk {
            attempt: self.attempt_at(offset),
            offset,
            text: Arc::from(self.text_at(offset)),
        }
    }
}
