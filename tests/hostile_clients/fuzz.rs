use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, prop_oneof};
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::cases::running;
use crate::client::Client;
use crate::crowd::Crowd;
use crate::door::Door;
use crate::harness::seeded_config;

/// Streams that are played at the same time.
const BATCH: usize = 40;

/// Batches at each door.
const BATCHES: usize = 2;

/// Time for which the responses to a stream are read.
const READING_TIME: Duration = Duration::from_millis(150);

/// Longest delay within a stream.
const MAX_DELAY_MS: u64 = 30;

/// A change of a stream of bytes. Positions are in thousandths of its length.
#[derive(Clone, Copy, Debug)]
enum Edit {
    /// Leaves a part out.
    Cut(usize, usize),
    /// Sends a part twice.
    Repeat(usize, usize),
    /// Sends another byte.
    Replace(usize, u8),
    /// Ends the stream.
    End(usize),
}

impl Edit {
    fn apply(self, bytes: &mut Vec<u8>) {
        let length = bytes.len();
        let at = |thousandths: usize| thousandths * length / 1_000;
        match self {
            Self::Cut(from, part) => {
                bytes.drain(at(from)..at((from + part).min(1_000)));
            }
            Self::Repeat(from, part) => {
                let end = at((from + part).min(1_000));
                let part = bytes[at(from)..end].to_vec();
                bytes.splice(end..end, part);
            }
            Self::Replace(position, byte) => {
                if let Some(place) = bytes.get_mut(at(position)) {
                    *place = byte;
                }
            }
            Self::End(position) => bytes.truncate(at(position)),
        }
    }
}

/// What one caller sends, and where it pauses.
#[derive(Clone, Debug)]
struct Stream {
    edits: Vec<Edit>,
    /// Requests of the stream, as indices into the texts of a door.
    requests: Vec<usize>,
    /// Position in thousandths, and delay in ms.
    delay: (usize, u64),
}

fn stream() -> impl Strategy<Value = Stream> {
    let edit = prop_oneof![
        (0..1_000_usize, 1..200_usize).prop_map(|(from, part)| Edit::Cut(from, part)),
        (0..1_000_usize, 1..200_usize).prop_map(|(from, part)| Edit::Repeat(from, part)),
        (0..1_000_usize, 0..=u8::MAX).prop_map(|(at, byte)| Edit::Replace(at, byte)),
        (0..1_000_usize).prop_map(Edit::End),
    ];
    let edits = prop_oneof![vec(edit, 1..4), Just(Vec::new())];
    let delay = (0..1_000_usize, 0..MAX_DELAY_MS);
    (edits, vec(0..3_usize, 1..4), delay).prop_map(|(edits, requests, delay)| Stream {
        edits,
        requests,
        delay,
    })
}

impl Stream {
    fn bytes(&self, door: Door) -> Vec<u8> {
        let post = door.head("POST");
        let texts = [
            format!("{}\r\n", door.head("GET")),
            format!("{post}Content-Length: 12\r\n\r\nhello, world"),
            format!("{post}Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nc: d\r\n\r\n"),
        ];
        let texts = self.requests.iter().map(|request| texts[*request].as_str());
        let mut bytes = texts.collect::<String>().into_bytes();
        for edit in &self.edits {
            edit.apply(&mut bytes);
        }
        bytes
    }

    /// Sends the stream; returns what came back.
    async fn play(&self, stream: &mut TcpStream, door: Door) -> Vec<u8> {
        let bytes = self.bytes(door);
        let (position, delay) = self.delay;
        let (first, rest) = bytes.split_at(position * bytes.len() / 1_000);
        let mut received = Vec::new();
        // The gateway may close the connection at any time.
        if stream.write_all(first).await.is_ok() {
            sleep(Duration::from_millis(delay)).await;
            let _ = stream.write_all(rest).await;
        }
        let _ = timeout(READING_TIME, stream.read_to_end(&mut received)).await;
        received
    }
}

/// Guards against bytes of a caller that end the process, or get it to write what is no response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn any_bytes_of_callers_are_survived() {
    let _running = running().await;
    let crowd = Crowd {
        client: Client::Silence,
        size: 0,
        response_bytes: 100,
    };
    let mut deployment = crowd.deployment().await;
    let mut runner = TestRunner::new(seeded_config(1));
    for door in Door::ALL {
        for batch in 0..BATCHES {
            let streams: Vec<Stream> = (0..BATCH)
                .map(|_| stream().new_tree(&mut runner).expect("a stream").current())
                .collect();
            let address = door.address(&deployment.gateways[0]);
            let playing = streams.iter().map(|stream| async move {
                let mut connection = TcpStream::connect(address).await.ok()?;
                Some(stream.play(&mut connection, door).await)
            });
            let responses = futures::future::join_all(playing).await;
            for (stream, response) in streams.iter().zip(responses.iter().flatten()) {
                let is_response = response.is_empty() || response.starts_with(b"HTTP/1.1 ");
                assert!(is_response, "{door:?}: {stream:?}: {response:?}");
            }
            let fault = crowd.visit_door(&mut deployment.gateways[0], door).await;
            assert_eq!(fault, Ok(()), "{door:?}, batch {batch}: {streams:?}");
        }
    }
}
