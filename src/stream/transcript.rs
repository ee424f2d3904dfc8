use std::sync::Arc;

use super::{Batch, Chunk, Cursor, Phase, Progress, Restart, Run};

/// Number of low bits of an attempt number that count within a block.
///
/// Attempts of one owner have consecutive numbers within a block. A node that takes a response over
/// starts in a new block at a random position, so that two nodes that both believe they own the
/// response never give two attempts the same number.
const ATTEMPT_BLOCK_BITS: u32 = 16;

/// Attempts that one owner can begin before its numbers could collide with those of another one.
const ATTEMPTS_PER_OWNER: u16 = 16;

/// The chunks of one response, in order, with the attempts that generated them.
///
/// Texts are kept in one string, because a separate allocation for each token would take several
/// times the memory of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transcript {
    text: String,
    /// End of each chunk in `text`, in bytes.
    ends: Vec<u32>,
    runs: Vec<Run>,
    /// Number of the current attempt; 0 before the first.
    attempt: u32,
    /// Number of chunks at the takeover, if this node took the response over.
    inherited: Option<u32>,
    /// Random number for the first attempt after a takeover.
    salt: Option<u16>,
    phase: Phase,
}

/// Offset at which a caller continues.
enum ResumePoint {
    /// Continue at this offset.
    At(u32),
    /// Discard the text from this offset on and continue there.
    Restart(u32),
    /// Wait for further chunks.
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

/// Generation by the owner, and updates of backup copies.
impl Transcript {
    /// Begins the next attempt, which continues after the chunks so far, and returns its number.
    pub fn begin_attempt(&mut self) -> u32 {
        self.attempt = match self.salt.take() {
            Some(salt) => {
                let block = (self.attempt >> ATTEMPT_BLOCK_BITS) + 1;
                (block << ATTEMPT_BLOCK_BITS) | u32::from(salt - salt % ATTEMPTS_PER_OWNER)
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

    /// Appends a chunk, and returns `false` if it was dropped because it belongs to another
    /// attempt, is out of order or comes after the end.
    pub fn push(&mut self, chunk: &Chunk) -> bool {
        let accepted = chunk.attempt == self.attempt
            && self.attempt > 0
            && chunk.offset == self.len()
            && self.phase == Phase::Running;
        if accepted {
            self.append(&chunk.text);
        }
        accepted
    }

    /// Ends the response or lets another node continue it; has no effect unless the response is
    /// still running.
    pub fn finish(&mut self, phase: Phase) {
        if self.phase == Phase::Running {
            self.phase = phase;
        }
    }

    /// Turns this backup copy into the response that is generated and read here; `salt` is a
    /// random number.
    pub fn take_over(&mut self, salt: u16) {
        self.inherited = Some(self.len());
        self.salt = Some(salt);
        if matches!(self.phase, Phase::Moved(_)) {
            self.phase = Phase::Running;
        }
    }

    /// Applies the owner's progress to a backup copy.
    ///
    /// Returns `false` when chunks before the progress are missing, so that the owner has to send
    /// it from an earlier offset.
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

    /// Returns whether there are no chunks yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the number of the current attempt; 0 before the first.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the phase.
    #[must_use]
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the texts of the chunks from an offset on.
    pub fn texts(&self, offset: u32) -> impl Iterator<Item = &str> {
        (offset..self.len()).map(|offset| self.text_at(offset))
    }

    /// Returns all attempts that have generated chunks, and the current one.
    #[must_use]
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }

    /// Returns the memory usage of the chunks in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.text.capacity()
            + self.ends.capacity() * size_of::<u32>()
            + self.runs.capacity() * size_of::<Run>()
    }

    /// Returns the next part for a caller with this cursor.
    ///
    /// The result never joins the output of two attempts that diverge: when the caller's last
    /// chunk comes from an attempt that was abandoned before that chunk, the batch contains a
    /// restart at the offset up to which both agree.
    #[must_use]
    pub fn read(&self, cursor: Cursor) -> Batch {
        let (offset, restart) = match self.resume_point(cursor) {
            ResumePoint::At(offset) => (offset, None),
            ResumePoint::Restart(offset) => (offset, Some(offset)),
            ResumePoint::Wait => return self.empty_batch(cursor),
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

    fn empty_batch(&self, cursor: Cursor) -> Batch {
        Batch {
            restart: None,
            chunks: Vec::new(),
            phase: self.phase.clone(),
            cursor,
        }
    }

    fn resume_point(&self, cursor: Cursor) -> ResumePoint {
        let length = self.len();
        let Some(last) = cursor.offset.checked_sub(1) else {
            return ResumePoint::At(0);
        };
        if matches!(self.phase, Phase::Moved(_)) {
            return ResumePoint::Wait;
        }
        let Some(attempt) = cursor.attempt else {
            let verified = self.inherited.unwrap_or(length).min(length);
            return if cursor.offset <= verified {
                ResumePoint::At(cursor.offset)
            } else {
                ResumePoint::Restart(verified)
            };
        };
        // An attempt that this node does not know may have started at any offset.
        if !self.runs.iter().any(|run| run.attempt == attempt) {
            return ResumePoint::Restart(0);
        }
        if last < length && self.attempt_at(last) == attempt {
            return ResumePoint::At(cursor.offset);
        }
        match self.runs.iter().find(|run| run.attempt > attempt) {
            Some(run) => ResumePoint::Restart(run.start),
            None if self.phase == Phase::Running => ResumePoint::Wait,
            None => ResumePoint::Restart(length),
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
