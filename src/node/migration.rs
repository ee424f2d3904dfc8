use std::net::SocketAddr;

use crate::clock::Millis;
use crate::endpoint::{Import, Key};
use crate::reclaim::{self, Costs, Strategy, Stream, Target};
use crate::stream::Source;

use super::driver::Driver;
use super::engine::{EngineEvent, EngineStream};

/// Estimated bytes of a prompt per token.
const BYTES_PER_TOKEN: usize = 4;

/// Migration of a stream whose engine's host is reclaimed.
impl Driver {
    /// Returns whether the stream has to migrate to another engine now.
    pub(super) fn must_migrate(&mut self) -> bool {
        let Some(key) = self
            .endpoint
            .filter(|key| self.node.is_endpoint_leaving(*key))
        else {
            self.leaving_since = None;
            return false;
        };
        let now = self.node.clock.now();
        let leaving_since = self.leaving_since.filter(|(of, _)| *of == key);
        self.leaving_since = leaving_since.or(Some((key, now)));
        matches!(self.choose_migration(), Strategy::Export | Strategy::Resume)
    }

    /// Returns the time until the engine's host is gone.
    ///
    /// Reclaim signals do not carry it, so it is estimated from the usual notice period.
    fn notice_remaining(&self) -> Millis {
        let Some((_, leaving_since)) = self.leaving_since else {
            return Millis::ZERO;
        };
        (leaving_since + self.node.settings.notice_ms) - self.node.clock.now()
    }

    /// Chooses how the stream survives the reclaim.
    fn choose_migration(&mut self) -> Strategy {
        let request = self.entry.request();
        let prompt = u32::try_from(request.prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        let length = self.entry.len();
        let stream = Stream {
            context_tokens: prompt.saturating_add(length),
            remaining_tokens: request.max_tokens.saturating_sub(length),
            token_ms: self.token_interval.average_ms(),
        };
        let target = self.choose().map(|_| Target {
            cached_tokens: 0,
            queue: Millis::ZERO,
        });
        reclaim::choose(stream, self.notice_remaining(), target, &Costs::default())
    }

    /// Moves the stream to another engine by a KV export; returns `None` when it has to be resumed
    /// there from its text.
    pub(super) async fn migrate(&mut self, mut stream: EngineStream) -> Option<EngineStream> {
        let source = self.entry.source();
        let strategy = self.choose_migration();
        if strategy == Strategy::Export
            && let Some(source) = &source
            && let Some((key, address)) = self.choose()
            && let Some(migrated) = self.transfer(&mut stream, source, key, address).await
        {
            count_migration("export");
            return Some(migrated);
        }
        count_migration("resume");
        if let Some(source) = source {
            self.node.cancel(source);
        }
        self.clear_endpoint();
        None
    }

    /// Exports the stream from its engine and imports it at another one.
    async fn transfer(
        &mut self,
        stream: &mut EngineStream,
        source: &Source,
        key: Key,
        address: SocketAddr,
    ) -> Option<EngineStream> {
        let export = self.node.export(source).await.ok()?;
        self.read_until(stream, export.tokens).await?;
        let request = Import {
            kv: export.kv,
            request_id: self.entry.request().id,
            attempt: self.entry.begin_attempt(),
        };
        let migrated = self.node.import(address, &request).await.ok()?;
        self.node.cancel(source.clone());
        self.set_endpoint(key);
        Some(migrated)
    }

    /// Reads until the response has the tokens that the engine had generated at its export.
    async fn read_until(&mut self, stream: &mut EngineStream, tokens: u32) -> Option<()> {
        let stall_timeout = self.node.settings.stall_ms;
        while self.entry.len() < tokens {
            match tokio::time::timeout(stall_timeout.into(), stream.next())
                .await
                .ok()?
            {
                EngineEvent::Token(token) => {
                    self.entry.push(&crate::stream::Chunk {
                        attempt: stream.attempt,
                        offset: token.offset,
                        text: token.text,
                    });
                }
                EngineEvent::Start(_) => {}
                EngineEvent::Done | EngineEvent::Failed(_) | EngineEvent::Disconnected(_) => {
                    return None;
                }
            }
        }
        Some(())
    }
}

fn count_migration(way: &'static str) {
    metrics::counter!("almondpath_reclaimed_streams_total", "way" => way).increment(1);
}
