//! Runs nodes and test doubles as separate processes and talks to them over HTTP.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use almondpath::client::Client;
use almondpath::clock::Millis;
use almondpath::endpoint::{Host, State};
use almondpath::transport;
use bytes::Bytes;
use hyper::Method;
use serde_json::Value;
use tempfile::TempDir;
use tokio::net::TcpSocket;

/// Timeout for a condition that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Token of the account `demo` in the clusters' token file.
pub(crate) const ACCOUNT_TOKEN: &str = "demo-token";

/// Token of the operator `dev` in the clusters' token file.
pub(crate) const OPERATOR_TOKEN: &str = "dev-operator-token";

/// A child process that is killed when dropped.
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts the program with these arguments.
    ///
    /// Its log is discarded unless `ALMONDPATH_TEST_LOG` is set.
    pub(crate) fn start(args: &[&str]) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_almondpath"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(if std::env::var_os("ALMONDPATH_TEST_LOG").is_some() {
                Stdio::inherit()
            } else {
                Stdio::null()
            })
            .spawn()
            .expect("the program starts");
        Self { child }
    }

    /// Returns the process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, for example `libc::SIGSTOP`.
    pub(crate) fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("process ids fit an i32");
        // SAFETY: `kill` has no memory effects; the child has not been waited for, so that its
        // id can't belong to another process.
        assert_eq!(unsafe { libc::kill(pid, signal) }, 0);
    }

    /// Kills the process with `SIGKILL`.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process can be waited for");
    }

    /// Waits until the process exits by itself and returns whether it succeeded.
    pub(crate) async fn wait(&mut self) -> bool {
        let started = Instant::now();
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status.success();
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "timed out waiting until the process exits"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only when the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A node process and its addresses.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) settings: PathBuf,
    pub(crate) process: Process,
}

/// The process of a test double and its address.
pub(crate) struct TestDouble {
    pub(crate) address: SocketAddr,
    pub(crate) process: Process,
}

/// Nodes and the test doubles of the log service, the platform, engines and plain services, each in
/// a process of its own.
pub(crate) struct Cluster {
    pub(crate) directory: TempDir,
    pub(crate) log: TestDouble,
    pub(crate) platform: TestDouble,
    pub(crate) engines: Vec<TestDouble>,
    pub(crate) plains: Vec<TestDouble>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) http: transport::Client,
}

impl Cluster {
    /// Starts a cluster with the `dev` configuration and waits until all nodes are ready.
    pub(crate) async fn start(nodes: usize, engines: usize, plains: usize) -> Self {
        Self::start_with(nodes, engines, plains, "").await
    }

    /// Starts a cluster whose nodes have additional settings, given in YAML.
    pub(crate) async fn start_with(
        nodes: usize,
        engines: usize,
        plains: usize,
        settings: &str,
    ) -> Self {
        let doubles = |kind: &str, count: usize| (0..count).map(|_| start_double(kind)).collect();
        let directory = tempfile::tempdir().expect("a temporary directory");
        let mut cluster = Self {
            log: start_double("log"),
            platform: start_double("platform"),
            engines: doubles("engine", engines),
            plains: doubles("plain", plains),
            nodes: Vec::new(),
            http: transport::Client::new(Millis(5_000)),
            directory,
        };
        cluster.await_doubles().await;
        cluster.put_hosts(&cluster.hosts()).await;
        cluster.start_nodes(nodes, settings);
        cluster.publish("examples/dev/config.yaml").await;
        for node in &cluster.nodes {
            cluster.await_ready(node).await;
        }
        cluster
    }

    /// Returns the host list with all endpoints live, spread over three failure domains.
    pub(crate) fn hosts(&self) -> Vec<Host> {
        let engines = self.engines.iter().map(|double| ("text", double));
        let plains = self.plains.iter().map(|double| ("ledger", double));
        engines
            .chain(plains)
            .enumerate()
            .map(|(index, (service, double))| Host {
                host: format!("host-{index}").into(),
                address: double.address,
                domain: domain(index).into(),
                service: service.into(),
                version: "v1".into(),
                state: State::Live,
                price: 1.0,
            })
            .collect()
    }

    /// Replaces the platform's host list.
    pub(crate) async fn put_hosts(&self, hosts: &[Host]) {
        let body = serde_json::to_vec(hosts).expect("hosts serialize");
        let request = self
            .http
            .request(Method::PUT, self.platform.address, "/hosts", body.into())
            .expect("a valid request");
        let response = self
            .http
            .send(request)
            .await
            .expect("the platform responds");
        assert!(response.status().is_success());
    }

    /// Sets the faults of a test double, which replace all earlier ones.
    pub(crate) async fn set_faults(&self, address: SocketAddr, faults: Value) {
        self.http
            .post_json::<_, Value>(address, "/faults", &faults)
            .await
            .expect("the test double accepts the faults");
    }

    /// Returns how often the plain services have executed calls with an idempotency key.
    pub(crate) async fn executions(&self, key: &str) -> u64 {
        let mut total = 0;
        for plain in &self.plains {
            let counts: Value = self
                .http
                .get_json(plain.address, "/executions")
                .await
                .expect("the service responds");
            total += counts[key].as_u64().unwrap_or(0);
        }
        total
    }

    /// Publishes a configuration file with the `publish` command.
    pub(crate) async fn publish(&self, file: &str) {
        let address = self.log.address.to_string();
        let args = [
            "publish",
            file,
            "--log-service",
            &address,
            "--operator",
            "dev",
        ];
        assert!(Process::start(&args).wait().await, "publishing failed");
    }

    /// Waits until a node reports that it is ready.
    pub(crate) async fn await_ready(&self, node: &Node) {
        eventually("the node is ready", async || {
            let request = self
                .http
                .request(Method::GET, node.listen, "/readyz", Bytes::new())
                .expect("a valid request");
            self.http
                .send(request)
                .await
                .is_ok_and(|response| response.status().is_success())
        })
        .await;
    }

    /// Returns a client that knows the nodes with these indices.
    pub(crate) fn client(&self, nodes: &[usize]) -> Client {
        let nodes = nodes.iter().map(|&index| self.nodes[index].listen);
        Client::new(nodes.collect(), ACCOUNT_TOKEN.into())
    }

    /// Returns the path of the nodes' token file.
    pub(crate) fn token_file(&self) -> PathBuf {
        self.directory.path().join("tokens.yaml")
    }

    fn start_nodes(&mut self, count: usize, extra_settings: &str) {
        let source = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples/dev/tokens.yaml");
        std::fs::copy(source, self.token_file()).expect("the token file can be copied");
        let addresses: Vec<_> = (0..count).map(|_| free_addresses()).collect();
        let seeds: Vec<_> = addresses.iter().map(|node| node[2]).collect();
        for node in addresses {
            self.start_node(node, &seeds, self.log.address, extra_settings);
        }
    }

    /// Starts one more node, with this log service and the present nodes as its seeds.
    pub(crate) fn add_node(&mut self, log_service: SocketAddr) {
        let seeds: Vec<_> = self.nodes.iter().map(|node| node.peer).collect();
        self.start_node(free_addresses(), &seeds, log_service, "");
    }

    /// Writes the settings file of a node and starts the node.
    fn start_node(
        &mut self,
        [listen, admin, peer]: [SocketAddr; 3],
        seeds: &[SocketAddr],
        log_service: SocketAddr,
        extra_settings: &str,
    ) {
        let index = self.nodes.len();
        let name = format!("node-{index}");
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let yaml = format!(
            "name: {name}\nfailure_domain: {}\nlisten: {listen}\nadmin: {admin}\n\
             peer: {peer}\nseeds: [{}]\nlog_service: {log_service}\nplatform: {}\n\
             token_file: {}\n{extra_settings}",
            domain(index),
            seeds.join(", "),
            self.platform.address,
            self.token_file().display(),
        );
        let settings = self.directory.path().join(format!("{name}.yaml"));
        std::fs::write(&settings, yaml).expect("the settings can be written");
        let process = Process::start(&["serve", settings.to_str().expect("a UTF-8 path")]);
        self.nodes.push(Node {
            name,
            listen,
            admin,
            peer,
            settings,
            process,
        });
    }

    /// Kills a node and starts it again with the same settings.
    pub(crate) fn restart_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.process.kill();
        let settings = node.settings.to_str().expect("a UTF-8 path");
        node.process = Process::start(&["serve", settings]);
    }

    /// Returns the state dump of a node; `None` when it does not respond.
    pub(crate) async fn dump(&self, node: &Node) -> Option<Value> {
        let mut request = self
            .http
            .request(Method::GET, node.admin, "/admin/dump", Bytes::new())
            .expect("a valid request");
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let token = token.parse().expect("a valid header");
        request.headers_mut().insert("authorization", token);
        let response = self.http.send(request).await.ok()?;
        let body = self.http.body(response).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Replaces the platform's reclaim notices with one for each of these hosts.
    pub(crate) async fn put_notices(&self, hosts: &[&str]) {
        let notices = hosts
            .iter()
            .map(|host| serde_json::json!({"host": host, "deadline_ms": 30_000}));
        let body = Value::Array(notices.collect()).to_string();
        let request = self
            .http
            .request(Method::PUT, self.platform.address, "/notices", body.into())
            .expect("a valid request");
        let response = self
            .http
            .send(request)
            .await
            .expect("the platform responds");
        assert!(response.status().is_success());
    }

    /// Waits until all test doubles accept connections.
    pub(crate) async fn await_doubles(&self) {
        let all = [&self.log, &self.platform];
        for double in all.into_iter().chain(&self.engines).chain(&self.plains) {
            eventually("a test double listens", async || {
                tokio::net::TcpStream::connect(double.address).await.is_ok()
            })
            .await;
        }
    }
}

/// Runs the program with these arguments and returns its output.
pub(crate) async fn run_program(args: &[String]) -> std::process::Output {
    tokio::process::Command::new(env!("CARGO_BIN_EXE_almondpath"))
        .args(args)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output()
        .await
        .expect("the program starts")
}

/// Starts a test double of a kind, an argument of `dev --only`, at a free address.
pub(crate) fn start_double(kind: &str) -> TestDouble {
    let address = free_address();
    let listen = address.to_string();
    let process = Process::start(&["dev", "--only", kind, "--listen", &listen]);
    TestDouble { address, process }
}

/// Returns free addresses of a node for callers, operators and other nodes.
fn free_addresses() -> [SocketAddr; 3] {
    [free_address(), free_address(), free_address()]
}

/// Returns a loopback address whose port stays reserved until the test process exits.
///
/// The reservation is a socket that is bound but never listens. With `SO_REUSEADDR` on both
/// sockets, a server can bind and listen on the port nevertheless, even while a child process holds
/// an inherited copy of the reservation. The ports are below the range that the kernel uses for
/// outgoing connections.
pub(crate) fn free_address() -> SocketAddr {
    const FIRST_PORT: u32 = 10_000;
    const PORT_COUNT: u32 = 22_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    static RESERVED: Mutex<Vec<TcpSocket>> = Mutex::new(Vec::new());
    // Test processes that run at the same time start at different ports.
    let start = std::process::id().wrapping_mul(997);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(step) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if let Ok(socket) = reserve(address) {
            RESERVED.lock().expect("reserved sockets lock").push(socket);
            return address;
        }
    }
}

/// Binds a socket to an address without listening on it.
fn reserve(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Waits until a condition holds; panics when it does not within [`WAIT_TIMEOUT`].
pub(crate) async fn eventually<F>(what: &str, mut condition: F)
where
    F: AsyncFnMut() -> bool,
{
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn domain(index: usize) -> &'static str {
    ["a", "b", "c"][index % 3]
}

/// Returns a configuration of property tests with a fixed seed, so that all runs test the same cases.
pub(crate) fn seeded_config(cases: u32) -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..Default::default()
    }
}
