use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::{Connection, Intake, Kind, Share};

/// Bytes of each head that do not count towards the memory for heads.
const UNCOUNTED_HEAD_BYTES: usize = 4 * 1024;

/// The stream of a caller's connection. It records what the caller sends and takes, counts heads, and
/// reads nothing while the caller takes nothing of its responses.
pub(in crate::gateway) struct CallerStream {
    stream: TcpStream,
    intake: Arc<Intake>,
    connection: Arc<Connection>,
    head_bytes: usize,
    head_share: Share,
    /// Woken when the caller takes bytes again.
    reader: Option<Waker>,
}

impl CallerStream {
    pub(in crate::gateway) fn new(
        stream: TcpStream,
        intake: &Arc<Intake>,
        connection: &Arc<Connection>,
    ) -> Self {
        let head_share = intake.share(Kind::Heads);
        Self {
            stream,
            intake: Arc::clone(intake),
            connection: Arc::clone(connection),
            head_bytes: 0,
            head_share: head_share.with_address(connection.address()),
            reader: None,
        }
    }

    /// Counts bytes of a head; returns whether there is memory for them.
    fn hold_head(&mut self, bytes: usize) -> bool {
        self.head_bytes += bytes;
        let counted = self.head_bytes.saturating_sub(UNCOUNTED_HEAD_BYTES);
        counted == 0 || self.intake.hold(&mut self.head_share, Kind::Heads, counted)
    }

    fn release_head(&mut self) {
        self.head_bytes = 0;
        // Giving back always succeeds.
        let _ = self.head_share.hold(0);
    }

    fn record_write(&mut self, written: &Poll<io::Result<usize>>, offered: usize) {
        match written {
            Poll::Ready(Ok(bytes)) => {
                self.connection.record_written(*bytes, *bytes == offered);
                if let Some(reader) = self.reader.take() {
                    reader.wake();
                }
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.connection.record_blocked(),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.is_blocked() {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        if read > 0 && self.connection.record_read() && !self.hold_head(read) {
            let reason = "the heads of requests exceed the memory for them";
            return Poll::Ready(Err(io::Error::other(reason)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.release_head();
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written, buf.len());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.release_head();
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written, bufs.iter().map(|buf| buf.len()).sum());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
