use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::client::Client;
use crate::door::Door;
use crate::harness::eventually;
use crate::platform::{Behaviour, Deployment, Engine, Framing, Gateway, Host, config};

/// The host of the process; its limits bound the process's memory and descriptors.
const HOST: Host = Host {
    memory_mb: 64,
    max_fds: 400,
};

/// Longest time for which the clients of a crowd send.
const SENDING_TIME: Duration = Duration::from_millis(1_500);

/// Time for which a crowd stays once it has sent, before the process is checked.
const STAY: Duration = Duration::from_millis(300);

/// Receive buffer of a client, so that one which does not read holds its response elsewhere.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// Clients that do the same at the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crowd {
    pub(crate) client: Client,
    pub(crate) size: usize,
    /// Size of the response to an ordinary request, and to one of the crowd at a route.
    pub(crate) response_bytes: usize,
}

impl Crowd {
    /// Sends the crowd to each door in turn; fails with the doors at which a bound did not hold.
    pub(crate) async fn visit(self) {
        let mut faults = Vec::new();
        let mut deployment = self.deployment().await;
        for door in Door::ALL {
            let fault = self.visit_door(&mut deployment.gateways[0], door).await;
            if let Err(fault) = fault {
                faults.push(format!("{door:?}: {fault}"));
                deployment = self.deployment().await;
            }
        }
        assert!(faults.is_empty(), "{self:?}: {}", faults.join("; "));
    }

    /// Starts a process on the host, with endpoints that respond as the crowd wants it.
    pub(crate) async fn deployment(self) -> Deployment {
        let body: &'static str = "x".repeat(self.response_bytes).leak();
        let whole = Behaviour::Whole(Framing::Length, body);
        let engines = vec![
            Engine::start("e0", "app", whole).await,
            Engine::start("e1", "app", whole).await,
        ];
        let mut config = config(1);
        config["limits"] = serde_json::json!({
            "max_body_bytes": crate::client::BODY_BYTES, "max_header_bytes": 65_536,
            "header_timeout_ms": 5_000, "idle_timeout_ms": 60_000,
        });
        Deployment::start_on_hosts(1, HOST, engines, &config).await
    }

    /// Sends the crowd to one door and checks the bounds.
    pub(crate) async fn visit_door(self, gateway: &mut Gateway, door: Door) -> Result<(), String> {
        let address = door.address(gateway);
        let sending = (0..self.size).map(|_| self.member(address, door));
        let connections = futures::future::join_all(sending).await;
        sleep(STAY).await;
        if let Some(success) = gateway.exited_successfully() {
            return Err(format!("the process ended, success: {success}"));
        }
        let descriptors = gateway.open_descriptors();
        // The crowd is still there.
        let served = timeout(
            Duration::from_secs(15),
            eventually("an ordinary request is served", async || {
                door.serves(gateway).await
            }),
        );
        let is_served = served.await.is_ok();
        drop(connections);
        if let Some(success) = gateway.exited_successfully() {
            return Err(format!("the process ended, success: {success}"));
        }
        let memory = gateway.peak_memory_kib();
        println!(
            "{:?} at {door:?}: {descriptors} descriptors, {memory} KiB",
            self.client
        );
        let mut faults = Vec::new();
        if descriptors >= HOST.max_fds as usize {
            faults.push(format!("{descriptors} descriptors"));
        }
        if memory >= u64::from(HOST.memory_mb) * 1_000 {
            faults.push(format!("{memory} KiB"));
        }
        if !is_served {
            faults.push("an ordinary request was not served".to_owned());
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults.join(", "))
        }
    }

    /// Returns the connection of one client after it has sent, so that it stays open.
    async fn member(self, address: SocketAddr, door: Door) -> Option<TcpStream> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
        let mut stream = timeout(SENDING_TIME, socket.connect(address))
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        // The gateway may close the connection of such a client at any time.
        let _ = timeout(SENDING_TIME, self.client.send(&mut stream, door)).await;
        Some(stream)
    }
}
