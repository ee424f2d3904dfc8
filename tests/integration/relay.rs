//! A TCP relay whose connections can be frozen, as by a switch that drops packets silently.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a relay does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Passes everything on.
    Pass,
    /// Freezes the connections made before; new ones pass.
    FreezeOld,
    /// Freezes old and new connections.
    FreezeAll,
}

/// Relays connections to one address.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<Mode>,
    accepted: Arc<AtomicUsize>,
}

impl Relay {
    /// Listens on a free port and relays to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let mode = watch::Sender::new(Mode::Pass);
        let accepted = Arc::new(AtomicUsize::new(0));
        let (modes, count) = (mode.subscribe(), Arc::clone(&accepted));
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(pass(near, target, modes.clone()));
            }
        });
        Self {
            address,
            mode,
            accepted,
        }
    }

    /// Changes what happens to connections.
    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Returns the number of connections accepted so far.
    pub(crate) fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

async fn pass(mut near: TcpStream, target: SocketAddr, mut modes: watch::Receiver<Mode>) {
    let frozen = *modes.borrow_and_update() == Mode::FreezeAll;
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let relayed = async {
        if frozen {
            std::future::pending::<()>().await;
        }
        // The relay ends with either side.
        let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
    };
    let freeze = async {
        while modes.changed().await.is_ok() {
            if *modes.borrow_and_update() != Mode::Pass {
                return;
            }
        }
        std::future::pending().await
    };
    let silent = tokio::select! {
        () = relayed => false,
        () = freeze => true,
    };
    if silent {
        // Both sockets stay open, so that neither side learns anything.
        std::future::pending().await
    }
}
