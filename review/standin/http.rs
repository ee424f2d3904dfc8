//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// The first line and the headers of a message.
#[derive(Clone, Debug)]
pub struct Head {
    text: String,
}

impl Head {
    /// Returns the words of the first line.
    pub fn words(&self) -> Vec<&str> {
        let line = self.text.split("\r\n").next().unwrap_or_default();
        line.split(' ').collect()
    }

    fn target(&self) -> &str {
        self.words().get(1).copied().unwrap_or_default()
    }

    /// Returns the path of a request, without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of a request's query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_owned())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.words()
            .get(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }

    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.text.split("\r\n").skip(1);
        let mut pairs = lines.filter_map(|line| line.split_once(':'));
        pairs
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }

    fn length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Accepts connections in the background and serves each in a thread.
pub fn serve<F>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = Arc::clone(&serve);
            let builder = thread::Builder::new().stack_size(256 * 1024);
            let _ = builder.spawn(move || serve(stream));
        }
    });
}

/// Reads a head; `None` when the connection ends before it is complete.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Head> {
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Some(Head { text });
        }
        fill(stream, buffer)?;
    }
}

/// Reads a message whose body has a length.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(Head, Vec<u8>)> {
    let head = read_head(stream, buffer)?;
    let length = head.length();
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    let body = buffer.drain(..length).collect();
    Some((head, body))
}

/// Reads a message whose body has a length, and drops the body; returns the head and the body's length.
pub fn skip_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(Head, usize)> {
    let head = read_head(stream, buffer)?;
    let length = head.length();
    let mut left = length;
    loop {
        let taken = left.min(buffer.len());
        buffer.drain(..taken);
        left -= taken;
        if left == 0 {
            return Some((head, length));
        }
        fill(stream, buffer)?;
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut bytes = [0; 16 * 1024];
    let count = stream.read(&mut bytes).ok().filter(|count| *count > 0)?;
    buffer.extend_from_slice(&bytes[..count]);
    Some(())
}

pub fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes)
}
