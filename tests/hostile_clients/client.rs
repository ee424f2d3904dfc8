use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::door::Door;

/// Size of a legal body; the limit of the configuration.
pub(crate) const BODY_BYTES: usize = 1_000_000;

/// Size of what is sent without an end.
const ENDLESS_BYTES: usize = 3_000_000;

/// Pieces of one byte that a client sends one by one.
const PIECES: usize = 500;

/// Chunks of one byte that a client sends at once.
const CHUNKS: usize = 100_000;

/// Requests that a client sends ahead.
const REQUESTS_AHEAD: usize = 150_000;

/// What a client sends before it leaves its connection open.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Client {
    /// A body with a length, in one piece, but for its last byte.
    Body,
    /// The same, after it has asked for a go-ahead and not waited for it.
    BodyAfterExpect,
    /// A part of a body with a length, in pieces of a byte.
    Pieces,
    /// A body in one chunk, without the last one.
    Chunk,
    /// A body in many chunks of a byte, without the last one.
    Chunks,
    /// A body with a length far over the limit.
    TooLarge,
    /// A chunk far over the limit.
    LargeChunk,
    /// A chunk whose extension does not end.
    Extension,
    /// Trailers that do not end.
    Trailers,
    /// A whole head of very many short fields.
    Fields,
    /// A head that does not end.
    EndlessHead,
    /// A part of a head.
    PartOfHead,
    /// Nothing.
    Silence,
    /// Many requests, whose responses it does not read.
    RequestsAhead,
    /// A request whose response it does not read.
    NeverReads,
    /// A request whose response it reads a few bytes at a time.
    ReadsSlowly,
}

impl Client {
    /// Sends what this client sends; fails if the connection is closed meanwhile.
    pub(crate) async fn send(self, stream: &mut TcpStream, door: Door) -> std::io::Result<()> {
        let post = door.head("POST");
        let with_length = |bytes: usize| format!("{post}Content-Length: {bytes}\r\n\r\n");
        let chunked = format!("{post}Transfer-Encoding: chunked\r\n\r\n");
        let text = match self {
            Self::Body => with_length(BODY_BYTES) + &"x".repeat(BODY_BYTES - 1),
            Self::BodyAfterExpect => {
                let head = format!("{post}Expect: 100-continue\r\n");
                format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n") + &"x".repeat(BODY_BYTES - 1)
            }
            Self::Pieces => {
                stream.write_all(with_length(BODY_BYTES).as_bytes()).await?;
                return pieces(stream).await;
            }
            Self::Chunk => {
                let chunk = "x".repeat(BODY_BYTES - 1);
                format!("{chunked}{:x}\r\n{chunk}\r\n", chunk.len())
            }
            Self::Chunks => chunked + &"1\r\nx\r\n".repeat(CHUNKS),
            Self::TooLarge => with_length(BODY_BYTES * 1_000) + &"x".repeat(ENDLESS_BYTES),
            Self::LargeChunk => format!("{chunked}3fffffff\r\n") + &"x".repeat(ENDLESS_BYTES),
            Self::Extension => format!("{chunked}1;a=") + &"x".repeat(ENDLESS_BYTES),
            Self::Trailers => format!("{chunked}0\r\n") + &"a: b\r\n".repeat(ENDLESS_BYTES / 6),
            Self::Fields => format!("{}{}\r\n", door.head("GET"), "a:b\r\n".repeat(12_000)),
            Self::EndlessHead => door.head("GET") + "a: " + &"x".repeat(ENDLESS_BYTES),
            Self::PartOfHead => door.head("GET"),
            Self::Silence => return Ok(()),
            Self::RequestsAhead => door.short_request().repeat(REQUESTS_AHEAD),
            Self::NeverReads => format!("{}\r\n", door.head("GET")),
            Self::ReadsSlowly => {
                let request = format!("{}\r\n", door.head("GET"));
                stream.write_all(request.as_bytes()).await?;
                return read_slowly(stream).await;
            }
        };
        stream.write_all(text.as_bytes()).await
    }
}

async fn pieces(stream: &mut TcpStream) -> std::io::Result<()> {
    for _ in 0..PIECES {
        stream.write_all(b"x").await?;
        sleep(Duration::from_millis(1)).await;
    }
    Ok(())
}

async fn read_slowly(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut bytes = [0; 4];
    loop {
        tokio::io::AsyncReadExt::read_exact(stream, &mut bytes).await?;
        sleep(Duration::from_millis(50)).await;
    }
}
