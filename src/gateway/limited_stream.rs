use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::transport::Stream;

/// Maximum number of bytes that are read before the final head of a response, interim heads included;
/// more than the HTTP client reads ahead of a body.
const MAX_HEAD_BYTES: usize = 1024 * 1024;

/// Limits the bytes that are read from an endpoint while the head of its response is awaited.
///
/// The HTTP client skips interim heads (1xx) without a limit, so that a faulty endpoint which writes
/// them without end would take all of the processor time.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)))
    }

    /// Begins to count for the next response.
    pub(super) fn start(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit until the next response: the head has arrived.
    pub(super) fn stop(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts bytes that were read; returns whether they are within the limit.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        left >= bytes
    }
}

/// A connection to an endpoint with a [`HeadLimit`].
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: Stream,
    limit: HeadLimit,
}

impl LimitedStream {
    /// Wraps a connection, and returns its limit as well.
    pub(super) fn new(stream: Stream) -> (Self, HeadLimit) {
        let limit = HeadLimit::new();
        let limited = Self {
            stream,
            limit: limit.clone(),
        };
        (limited, limit)
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        if !self.limit.take(read) {
            let reason = format!("no response head within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::other(reason)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
