use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::config::Config;
use crate::document::Document;
use crate::endpoint::{Host, State};
use crate::node::Node;
use crate::standin;
use crate::{control, log, settings, transport};

use super::logger::logger;
use super::serve::cancel_on_signal;

const CONFIG: &str = include_str!("../../examples/dev/config.yaml");
const DEFAULT_TOKEN_FILE: &str = "examples/dev/tokens.yaml";

const LISTEN_ADDRESS: &str = "127.0.0.1:7001";
const ADMIN_ADDRESS: &str = "127.0.0.1:7101";
const PEER_ADDRESS: &str = "127.0.0.1:7201";
const LOG_ADDRESS: &str = "127.0.0.1:7300";
const PLATFORM_ADDRESS: &str = "127.0.0.1:7301";
const ENGINE_ADDRESS: &str = "127.0.0.1:7401";
const PLAIN_ADDRESS: &str = "127.0.0.1:7501";

pub(super) fn command() -> Command {
    Command::new("dev")
        .about("Runs a node with test doubles of the platform and of endpoints in one process")
        .arg(
            Arg::new("only")
                .long("only")
                .value_parser(["log", "platform", "engine", "plain"])
                .requires("listen")
                .help("Runs only this test double, without a node"),
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .requires("only")
                .help("Address on which the test double listens"),
        )
        .arg(
            Arg::new("version-name")
                .long("version-name")
                .value_name("VERSION")
                .default_value("v1")
                .help("Version that the engine and the plain service report"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .default_value(DEFAULT_TOKEN_FILE)
                .value_parser(value_parser!(PathBuf))
                .help("File with the tokens of client accounts and operators"),
        )
        .after_help("Example:\n  almondpath dev")
}

pub(super) async fn run(args: &ArgMatches, json_log: bool) -> eyre::Result<ExitCode> {
    let token = CancellationToken::new();
    cancel_on_signal(token.clone())?;
    let version = args
        .get_one::<String>("version-name")
        .expect("has a default");
    if let Some(kind) = args.get_one::<String>("only") {
        let address = *args
            .get_one::<SocketAddr>("listen")
            .expect("required by clap");
        spawn_double(kind, address, version, Vec::new(), token)
            .await?
            .await?;
        return Ok(ExitCode::SUCCESS);
    }
    let hosts = vec![
        host("engine-1", "text", ENGINE_ADDRESS)?,
        host("plain-1", "ledger", PLAIN_ADDRESS)?,
    ];
    for (kind, address) in [
        ("log", LOG_ADDRESS),
        ("engine", ENGINE_ADDRESS),
        ("plain", PLAIN_ADDRESS),
    ] {
        spawn_double(kind, address.parse()?, version, Vec::new(), token.clone()).await?;
    }
    spawn_double(
        "platform",
        PLATFORM_ADDRESS.parse()?,
        version,
        hosts,
        token.clone(),
    )
    .await?;
    let file = args
        .get_one::<PathBuf>("token-file")
        .expect("has a default");
    let node = Node::new(node_settings(file.clone())?, logger(json_log), token)?;
    let node_task = tokio::spawn(node.run());
    let config = Config::from_document(&Document::parse("the built-in configuration", CONFIG)?)?;
    control::publish(
        &log::Client::new(LOG_ADDRESS.parse()?),
        Default::default(),
        "dev",
        None,
        config,
    )
    .await?;
    node_task.await??;
    Ok(ExitCode::SUCCESS)
}

/// Binds the address and spawns a task that serves a test double on it.
async fn spawn_double(
    kind: &str,
    address: SocketAddr,
    version: &str,
    hosts: Vec<Host>,
    token: CancellationToken,
) -> eyre::Result<JoinHandle<()>> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("binding {address}"))?;
    let server = transport::Server::new(listener);
    Ok(match kind {
        "log" => tokio::spawn(server.run(standin::Log::new().filter(), token)),
        "platform" => tokio::spawn(server.run(standin::Platform::new(hosts).filter(), token)),
        "engine" => tokio::spawn(server.run(standin::Engine::new(version.into()).filter(), token)),
        _ => tokio::spawn(server.run(standin::Plain::new(version.into()).filter(), token)),
    })
}

/// Returns an entry of the platform's host list.
fn host(name: &str, service: &str, address: &str) -> eyre::Result<Host> {
    Ok(Host {
        host: name.into(),
        address: address.parse()?,
        domain: "a".into(),
        service: service.into(),
        version: "v1".into(),
        state: State::Live,
        price: 1.0,
    })
}

/// Returns the settings of the node, with the given token file.
fn node_settings(token_file: PathBuf) -> eyre::Result<settings::Node> {
    let text = format!(
        "name: dev\nfailure_domain: a\nlisten: {LISTEN_ADDRESS}\nadmin: {ADMIN_ADDRESS}\npeer: {PEER_ADDRESS}\n\
         log_service: {LOG_ADDRESS}\nplatform: {PLATFORM_ADDRESS}\ntoken_file: set by the command line\n"
    );
    let document = Document::parse("the built-in settings", &text)?;
    let mut settings = settings::Node::from_document(&document)?;
    settings.token_file = token_file;
    Ok(settings)
}
