use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::io::{AsyncRead, AsyncWrite};
use tokio::time::{Instant, Sleep, sleep};

use crate::clock::Millis;

/// Time without received bytes after which a connection is closed. A node probes each of 370 others
/// every two minutes, so a connection that is idle for longer belongs to a host that is gone.
const IDLE_TIMEOUT: Millis = Millis::from_secs(600);

/// One half of a connection, which counts its bytes and times out reads when it is idle.
pub(super) struct MeteredStream<T> {
    inner: T,
    idle: Pin<Box<Sleep>>,
    counter: metrics::Counter,
}

impl<T> MeteredStream<T> {
    pub(super) fn received(inner: T) -> Self {
        Self::new(inner, "received")
    }

    pub(super) fn sent(inner: T) -> Self {
        Self::new(inner, "sent")
    }

    fn new(inner: T, direction: &'static str) -> Self {
        Self {
            inner,
            idle: Box::pin(sleep(IDLE_TIMEOUT.into())),
            counter: metrics::counter!("almondpath_peer_bytes_total", "direction" => direction),
        }
    }
}

impl<T> AsyncRead for MeteredStream<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = Pin::new(&mut self.inner).poll_read(cx, buf) {
            let count = result?;
            self.counter.increment(count as u64);
            self.idle
                .as_mut()
                .reset(Instant::now() + IDLE_TIMEOUT.into());
            return Poll::Ready(Ok(count));
        }
        ready!(self.idle.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<T> AsyncWrite for MeteredStream<T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.counter.increment(count as u64);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
