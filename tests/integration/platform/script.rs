use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::End;
use super::engine::{read, reset};

/// Time for which a connection stays open after its last byte, so that the byte is read before a reset.
const LINGER_TIME: Duration = Duration::from_millis(10);

/// The bytes with which an endpoint answers, and when it writes them.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    /// The response. `{headers}` stands for the headers that make it the answer to the request.
    text: String,
    end: End,
    /// Whether the response begins before the body of the request is read, which it never is then.
    early: bool,
    change: Change,
    /// A pause, and the share of the bytes that are written before it.
    pause: Option<(f64, Duration)>,
}

/// A change of the bytes that an endpoint writes, at shares of their length.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Change {
    Nothing,
    /// The bytes from here on are left out.
    Cut(f64),
    /// The bytes between the two are written twice.
    Repeat(f64, f64),
}

impl Script {
    /// Creates a script that writes this text at once, after the whole request was read.
    pub(crate) fn new<T>(text: T, end: End) -> Self
    where
        T: Into<String>,
    {
        Self {
            text: text.into(),
            end,
            early: false,
            change: Change::Nothing,
            pause: None,
        }
    }

    /// Makes the response begin before the body of the request is read.
    pub(crate) fn early(mut self) -> Self {
        self.early = true;
        self
    }

    /// Changes the bytes.
    pub(crate) fn change(mut self, change: Change) -> Self {
        self.change = change;
        self
    }

    /// Pauses after this share of the bytes.
    pub(crate) fn pause(mut self, share: f64, pause: Duration) -> Self {
        self.pause = Some((share, pause));
        self
    }

    /// Returns the bytes of the response to a request with this head.
    fn bytes(&self, request: &str) -> Vec<u8> {
        let id = request
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(name, _)| name.eq_ignore_ascii_case("x-almondpath-attempt-id"))
            .map_or("none", |(_, value)| value);
        let headers =
            format!("X-Almondpath-Attempt-Id: {id}\r\nX-Almondpath-Engine-Signature: e0.1\r\n");
        let mut bytes = self.text.replace("{headers}", &headers).into_bytes();
        match self.change {
            Change::Nothing => {}
            Change::Cut(share) => bytes.truncate(position(&bytes, share)),
            Change::Repeat(one, other) => {
                let (one, other) = (position(&bytes, one), position(&bytes, other));
                let range = one.min(other)..one.max(other);
                let end = range.end;
                let repeated = bytes[range].to_vec();
                bytes.splice(end..end, repeated);
            }
        }
        bytes
    }
}

fn position(bytes: &[u8], share: f64) -> usize {
    (bytes.len() as f64 * share) as usize
}

/// Test double of an endpoint that answers each request by its script.
#[derive(Clone, Debug)]
pub(crate) struct ScriptedEndpoint {
    pub(crate) address: SocketAddr,
    script: Arc<Mutex<Script>>,
    /// The bytes of the last response.
    written: Arc<Mutex<Vec<u8>>>,
}

impl ScriptedEndpoint {
    pub(crate) async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let endpoint = Self {
            address: listener.local_addr().expect("a bound address"),
            script: Arc::new(Mutex::new(script)),
            written: Arc::default(),
        };
        let serving = endpoint.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let endpoint = serving.clone();
                tokio::spawn(async move { endpoint.play(stream).await });
            }
        });
        endpoint
    }

    pub(crate) fn set_script(&self, script: Script) {
        *self.script.lock().expect("no panic") = script;
    }

    /// Returns the bytes of the last response.
    pub(crate) fn written(&self) -> Vec<u8> {
        self.written.lock().expect("no panic").clone()
    }

    /// Reads a request and answers it; `None` if the peer closes the connection before.
    async fn play(&self, mut stream: TcpStream) -> Option<()> {
        let script = self.script.lock().expect("no panic").clone();
        let request = if script.early {
            read_head(&mut stream).await?
        } else {
            read(&mut stream).await?.0
        };
        let bytes = script.bytes(&request);
        self.written.lock().expect("no panic").clone_from(&bytes);
        let (share, pause) = script.pause.unwrap_or_default();
        let (first, rest) = bytes.split_at(position(&bytes, share));
        stream.write_all(first).await.ok()?;
        tokio::time::sleep(pause).await;
        stream.write_all(rest).await.ok()?;
        if script.end == End::Finish {
            stream.shutdown().await.ok()?;
        }
        tokio::time::sleep(LINGER_TIME).await;
        if script.end == End::Reset {
            reset(&stream);
        }
        Some(())
    }
}

/// Reads the head of a request and nothing of its body.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}
