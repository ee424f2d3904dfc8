use std::collections::HashMap;
use std::io::Write;

use super::{Line, Request, SharedPrefix};

/// Blocks remembered for finding shared prefixes; when full, all are forgotten, and requests
/// after that count as sharing nothing with those before.
const MAX_BLOCKS: usize = 262_144;

/// Writes a trace while requests are served.
#[derive(Debug)]
pub struct Recorder<W> {
    writer: W,
    next: u64,
    seen: HashMap<u64, (u64, u32)>,
}

impl<W> Recorder<W>
where
    W: Write,
{
    /// Creates a recorder of an empty trace.
    pub fn new(writer: W) -> Self {
        Self {
            writer,
            next: 0,
            seen: HashMap::new(),
        }
    }

    /// Numbers a request that arrives and finds the earlier request with the longest same prefix.
    pub fn record_arrival(&mut self, blocks: &[u64]) -> (u64, Option<SharedPrefix>) {
        let n = self.next;
        self.next += 1;
        if self.seen.len() + blocks.len() > MAX_BLOCKS {
            self.seen.clear();
        }
        let known = blocks.iter().map_while(|block| self.seen.get(block));
        let shared = known.last().map(|&(n, blocks)| SharedPrefix { n, blocks });
        for (depth, block) in (1..).zip(blocks) {
            self.seen.entry(*block).or_insert((n, depth));
        }
        (n, shared)
    }

    /// Writes a line.
    ///
    /// # Errors
    ///
    /// Fails when the writer does.
    pub fn write_line(&mut self, line: &Line) -> std::io::Result<()> {
        let mut text = serde_json::to_string(line)?;
        text.push('\n');
        self.writer.write_all(text.as_bytes())?;
        self.writer.flush()
    }

    /// Writes the line of a request that ended.
    ///
    /// # Errors
    ///
    /// Fails when the writer does.
    pub fn write_request(&mut self, request: Request) -> std::io::Result<()> {
        self.write_line(&Line::Request(request))
    }
}
