use std::collections::HashMap;
use std::io::Write;

use super::{Line, Request, SharedPrefix};

/// Maximum number of blocks remembered to find shared prefixes.
///
/// At the limit, all are dropped; later requests then share no prefix with earlier ones.
const MAX_REMEMBERED_BLOCKS: usize = 262_144;

/// Writes a trace while requests are served.
#[derive(Debug)]
pub struct Recorder<W> {
    writer: W,
    /// Number of the next request.
    next: u64,
    /// For each block, the first request that has it and the number of blocks up to its end.
    first_use: HashMap<u64, (u64, u32)>,
}

impl<W> Recorder<W>
where
    W: Write,
{
    /// Creates a recorder that has written nothing yet.
    pub fn new(writer: W) -> Self {
        Self {
            writer,
            next: 0,
            first_use: HashMap::new(),
        }
    }

    /// Returns the number of a request that arrives, and the longest prefix that it shares with an
    /// earlier request.
    pub fn record_arrival(&mut self, blocks: &[u64]) -> (u64, Option<SharedPrefix>) {
        let n = self.next;
        self.next += 1;
        if self.first_use.len() + blocks.len() > MAX_REMEMBERED_BLOCKS {
            self.first_use.clear();
        }
        let known_blocks = blocks.iter().map_while(|block| self.first_use.get(block));
        let shared = known_blocks
            .last()
            .map(|&(n, blocks)| SharedPrefix { n, blocks });
        for (depth, block) in (1..).zip(blocks) {
            self.first_use.entry(*block).or_insert((n, depth));
        }
        (n, shared)
    }

    /// Writes a line and flushes the writer.
    ///
    /// # Errors
    ///
    /// Fails when the line can't be written.
    pub fn write_line(&mut self, line: &Line) -> std::io::Result<()> {
        let mut text = serde_json::to_string(line)?;
        text.push('\n');
        self.writer.write_all(text.as_bytes())?;
        self.writer.flush()
    }

    /// Writes the line of a finished request.
    ///
    /// # Errors
    ///
    /// Fails when the line can't be written.
    pub fn write_request(&mut self, request: Request) -> std::io::Result<()> {
        self.write_line(&Line::Request(request))
    }
}
