//! A client that keeps its connection open.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// A request of a client.
pub struct Request<'a> {
    pub id: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It was answered with this status.
    Answer(u16),
    /// The connection ended without an answer.
    Closed,
    /// The client gave up at its deadline.
    Late,
    /// No connection could be opened, or the request could not be sent.
    NotSent,
}

pub struct Client {
    front: SocketAddr,
    stream: Option<TcpStream>,
    buffer: Vec<u8>,
    record: Record,
    /// Whether a request was answered on the open connection.
    kept: bool,
    /// Bytes of a body that are sent in a second; all at once if there is no limit.
    pub bytes_per_s: Option<usize>,
}

impl Client {
    pub fn new(front: SocketAddr, record: &Record) -> Self {
        Self {
            front,
            stream: None,
            buffer: Vec::new(),
            record: record.clone(),
            kept: false,
            bytes_per_s: None,
        }
    }

    /// Returns whether the next request goes on a connection on which an earlier one was answered.
    pub fn is_kept(&self) -> bool {
        self.stream.is_some() && self.kept
    }

    /// Sends a request on the open connection, or on a new one, and waits for the answer.
    pub fn send(&mut self, request: &Request<'_>) -> Ending {
        self.record.line(&format!(
            "client sends {} to {} ({} bytes)",
            request.id,
            self.front,
            request.body.len()
        ));
        let ending = self.exchange(request);
        self.kept = matches!(ending, Ending::Answer(_));
        if !self.kept {
            self.stream = None;
            self.buffer.clear();
        }
        self.record
            .line(&format!("client sees {ending:?} for {}", request.id));
        ending
    }

    fn exchange(&mut self, request: &Request<'_>) -> Ending {
        if self.stream.is_none() {
            let connected = TcpStream::connect_timeout(&self.front, Duration::from_secs(1));
            self.stream = connected.ok();
        }
        let Some(stream) = &mut self.stream else {
            return Ending::NotSent;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(request.deadline));
        let _ = stream.set_write_timeout(Some(request.deadline));
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: h.example\r\nX-Almondpath-Attempt-Id: {}\r\n\
             X-Almondpath-Deadline-Ms: {}\r\nX-Api-Key: {}\r\nContent-Length: {}\r\n\r\n",
            request.path,
            request.id,
            request.deadline.as_millis(),
            request.key,
            request.body.len()
        );
        if http::write(stream, head.as_bytes()).is_err()
            || send_body(stream, request.body, self.bytes_per_s).is_err()
        {
            return Ending::NotSent;
        }
        match http::read_request(stream, &mut self.buffer) {
            Some((head, _)) => {
                if head
                    .header("connection")
                    .is_some_and(|v| v.eq_ignore_ascii_case("close"))
                {
                    self.stream = None;
                }
                Ending::Answer(head.status())
            }
            None => {
                let mut byte = [0];
                let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
                match stream.peek(&mut byte) {
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Ending::Late,
                    _ => Ending::Closed,
                }
            }
        }
    }
}

/// Time between two parts of a body that is sent at a limited rate.
const PART_TIME: Duration = Duration::from_millis(50);

fn send_body(stream: &mut TcpStream, body: &[u8], bytes_per_s: Option<usize>) -> io::Result<()> {
    let Some(bytes_per_s) = bytes_per_s else {
        return http::write(stream, body);
    };
    let part = (bytes_per_s as f64 * PART_TIME.as_secs_f64()) as usize;
    for part in body.chunks(part.max(1)) {
        http::write(stream, part)?;
        thread::sleep(PART_TIME);
    }
    Ok(())
}
