//! A TCP relay that can freeze its connections, like a network switch that silently drops packets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a relay does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Forwards all data.
    Pass,
    /// Freezes the existing connections and forwards the data of new ones.
    FreezeOld,
    /// Freezes existing and new connections.
    FreezeAll,
}

/// A relay of TCP connections to one address.
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
            while let Ok((client, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(forward(client, target, modes.clone()));
            }
        });
        Self {
            address,
            mode,
            accepted,
        }
    }

    /// Changes the mode.
    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Returns the number of connections accepted so far.
    pub(crate) fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

/// Forwards a connection in both directions until either side closes it or it is frozen.
async fn forward(mut client: TcpStream, target: SocketAddr, mut modes: watch::Receiver<Mode>) {
    let frozen = *modes.borrow_and_update() == Mode::FreezeAll;
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    let relayed = async {
        if frozen {
            std::future::pending::<()>().await;
        }
        // An error on either side ends the connection.
        let _ = tokio::io::copy_bidirectional(&mut client, &mut server).await;
    };
    let freeze = async {
        while modes.changed().await.is_ok() {
            if *modes.borrow_and_update() != Mode::Pass {
                return;
            }
        }
        std::future::pending().await
    };
    // The mode is looked at first, so that nothing is relayed that was sent after it was set.
    let is_frozen = tokio::select! {
        biased;
        () = freeze => true,
        () = relayed => false,
    };
    if is_frozen {
        // Both sockets stay open, so that neither side sees the connection close.
        std::future::pending().await
    }
}
