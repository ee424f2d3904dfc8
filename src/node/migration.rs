use std::net::SocketAddr;

use crate::clock::Millis;
use crate::endpoint::{Import, Key};
use crate::reclaim::{self, Costs, Strategy, Stream, Target};
use crate::stream::Source;

use super::driver::Driver;
use super::engine::{Feed, Item};

/// Bytes of a prompt for each of its tokens, estimated.
const BYTES_PER_TOKEN: usize = 4;

/// Reclaims of engine hosts.
impl Driver {
    /// Returns whether the stream has to leave its engine now.
    pub(super) fn must_move(&mut self) -> bool {
        let Some(key) = self.endpoint.filter(|key| self.node.is_leaving(*key)) else {
            self.noticed = None;
            return false;
        };
        let now = self.node.clock.now();
        let noticed = self.noticed.filter(|(of, _)| *of == key);
        self.noticed = noticed.or(Some((key, now)));
        matches!(self.choose_way(), Strategy::Export | Strategy::Resume)
    }

    /// Returns the time until the engine's host is gone.
    ///
    /// The signals do not tell it, so that it is estimated from the usual length of a notice.
    fn notice_left(&self) -> Millis {
        let Some((_, noticed)) = self.noticed else {
            return Millis::ZERO;
        };
        (noticed + self.node.settings.notice_ms) - self.node.clock.now()
    }

    fn choose_way(&mut self) -> Strategy {
        let work = self.entry.work();
        let prompt = u32::try_from(work.prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        let length = self.entry.len();
        let stream = Stream {
            context_tokens: prompt.saturating_add(length),
            remaining_tokens: work.max_tokens.saturating_sub(length),
            token_ms: self.token_interval.average_ms(),
        };
        let target = self.choose().map(|_| Target {
            cached_tokens: 0,
            queue: Millis::ZERO,
        });
        reclaim::choose(stream, self.notice_left(), target, &Costs::default())
    }

    /// Moves the stream to another engine; none when it has to be resumed there from its text.
    pub(super) async fn move_away(&mut self, mut feed: Feed) -> Option<Feed> {
        let source = self.entry.source();
        let strategy = self.choose_way();
        if strategy == Strategy::Export
            && let Some(source) = &source
            && let Some((key, address)) = self.choose()
            && let Some(moved) = self.transfer(&mut feed, source, key, address).await
        {
            count("export");
            return Some(moved);
        }
        count("resume");
        if let Some(source) = source {
            self.node.cancel(source);
        }
        self.leave();
        None
    }

    async fn transfer(
        &mut self,
        feed: &mut Feed,
        source: &Source,
        key: Key,
        address: SocketAddr,
    ) -> Option<Feed> {
        let export = self.node.export(source).await.ok()?;
        self.read_to(feed, export.tokens).await?;
        let order = Import {
            kv: export.kv,
            request_id: self.entry.work().id,
            attempt: self.entry.begin(),
        };
        let moved = self.node.import(address, &order).await.ok()?;
        self.node.cancel(source.clone());
        self.enter(key);
        Some(moved)
    }

    /// Reads the tokens that the engine had generated when it exported the stream.
    async fn read_to(&mut self, feed: &mut Feed, tokens: u32) -> Option<()> {
        let bound = self.node.settings.stall_ms;
        while self.entry.len() < tokens {
            match tokio::time::timeout(bound.into(), feed.next()).await.ok()? {
                Item::Token(token) => {
                    self.entry.push(&crate::stream::Chunk {
                        attempt: feed.attempt,
                        offset: token.offset,
                        text: token.text,
                    });
                }
                Item::Start(_) => {}
                Item::Done | Item::Failed(_) | Item::Cut(_) => return None,
            }
        }
        Some(())
    }
}

fn count(way: &'static str) {
    metrics::counter!("almondpath_reclaimed_streams_total", "way" => way).increment(1);
}
