use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection of a client, whose end counts as regular only after the whole request was written
/// and without a reset.
///
/// A response without a length ends with its connection. The kernel reports a reset once, to the
/// read or the write that comes first; later reads find a regular end. A peer may also end its data
/// before it has read the request, and then reset the connection.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    /// Whether the last write was incomplete, so that a part of a request is still to be written.
    unsent: bool,
}

impl Stream {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            unsent: false,
        }
    }

    /// Checks that the end of the peer's data is regular.
    fn check_end(&self) -> io::Result<()> {
        if self.unsent {
            let reason = "the peer ended its data before the request was written";
            return Err(io::Error::new(io::ErrorKind::ConnectionReset, reason));
        }
        self.stream.take_error()?.map_or(Ok(()), Err)
    }

    /// Records the result of a write of `length` bytes.
    fn record_write(&mut self, written: &Poll<io::Result<usize>>, length: usize) {
        self.unsent = !matches!(written, Poll::Ready(Ok(bytes)) if *bytes == length);
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let is_end = buf.filled().len() == before && buf.remaining() > 0;
        Poll::Ready(if is_end { self.check_end() } else { Ok(()) })
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written, buf.len());
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        let length = bufs.iter().map(|buf| buf.len()).sum();
        self.record_write(&written, length);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl Connection for Stream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}
