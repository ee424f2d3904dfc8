//! Calls between nodes: answers, errors and connections that stall.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use almondpath::error::{Error, ErrorKind};
use almondpath::membership::Message;
use almondpath::peer::{self, Handle, Handler};
use almondpath::verdict::Verdict;
use async_trait::async_trait;
use bytes::Bytes;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::harness::free_address;
use crate::relay::{Mode, Relay};

const BOUND: Millis = Millis(300);

/// Answers `hold` with its payload and `find` with an error.
struct Echo;

#[async_trait]
impl Handler for Echo {
    async fn probe(&self, _: SocketAddr, message: Message) -> Result<Message, Error> {
        Ok(message)
    }

    async fn hold(&self, payload: Bytes) -> Result<Bytes, Error> {
        Ok(payload)
    }

    async fn find(&self, _: Bytes) -> Result<Bytes, Error> {
        Err(Error::not_run(ErrorKind::NotFound, "not here"))
    }
}

fn start() -> (SocketAddr, Handle, DropGuard) {
    let address = free_address();
    let token = CancellationToken::new();
    let handle = peer::spawn(address, Arc::new(Echo), BOUND, token.clone()).expect("a free port");
    (address, handle, token.drop_guard())
}

/// Guards against errors of the other node that arrive as a lost connection, and against a method
/// without an implementation that answers like one that ran.
#[tokio::test(flavor = "multi_thread")]
async fn answers_and_errors_reach_the_caller() {
    let (address, handle, _guard) = start();
    let text: String = handle.hold(address, &"copy").await.expect("an answer");
    assert_eq!(text, "copy");
    let found: Result<String, Error> = handle.find(address, &1).await;
    assert_eq!(found.expect_err("an error").kind(), ErrorKind::NotFound);
    let trip: Result<String, Error> = handle.trip(address, &1).await;
    let trip = trip.expect_err("not implemented");
    assert_eq!(
        (trip.kind(), trip.verdict()),
        (ErrorKind::Unavailable, Verdict::NotRun)
    );
}

/// Guards against a peer that counts as unreachable because one connection stalls, and against a
/// call that waits for a stalled peer without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_connection_is_replaced_once() {
    struct Case {
        mode: Mode,
        answered: bool,
        connections: usize,
    }
    let cases = [
        Case {
            mode: Mode::Pass,
            answered: true,
            connections: 1,
        },
        Case {
            mode: Mode::FreezeOld,
            answered: true,
            connections: 2,
        },
        Case {
            mode: Mode::FreezeAll,
            answered: false,
            connections: 2,
        },
    ];
    let (address, handle, _guard) = start();
    for Case {
        mode,
        answered,
        connections,
    } in cases
    {
        let relay = Relay::start(address).await;
        let _: u32 = handle.hold(relay.address, &1).await.expect("an answer");
        relay.set(mode);
        let started = Instant::now();
        let result: Result<u32, Error> = handle.hold(relay.address, &7).await;
        assert_eq!(result.is_ok(), answered, "{mode:?}: {result:?}");
        assert!(started.elapsed() < Duration::from_secs(2), "{mode:?}");
        assert_eq!(relay.accepted(), connections, "{mode:?}");
    }
}
