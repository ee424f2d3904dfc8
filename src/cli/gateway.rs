use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{ContextCompat, WrapErr};
use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::{Adapters, Node};
use crate::platform::{CloudApi, Decoder, Headers, LogStore, NodeFile};

use super::logger::stdout_logger;

/// Environment variable with the path of the settings file on the platform's hosts.
const NODE_FILE_VARIABLE: &str = "ALMONDPATH_NODE_FILE";

pub(super) fn command() -> Command {
    Command::new("gateway")
        .about("Runs a gateway node on the deployment platform")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings file of the node [default: the path in ALMONDPATH_NODE_FILE]"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(clap::ArgAction::SetTrue)
                .help("Validates the settings file and exits"),
        )
        .after_help("Example:\n  almondpath gateway /etc/almondpath/local.toml --check")
}

pub(super) async fn run(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let path = args
        .get_one::<PathBuf>("file")
        .cloned()
        .or_else(|| std::env::var_os(NODE_FILE_VARIABLE).map(PathBuf::from))
        .wrap_err_with(|| format!("no settings file: pass FILE or set {NODE_FILE_VARIABLE}"))?;
    let file = NodeFile::load(&path)?;
    if args.get_flag("check") {
        println!("{} is valid", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    let adapters = Adapters {
        dialect: Arc::new(Headers),
        documents: Arc::new(Decoder),
        store: Arc::new(LogStore::new(file.store())),
        cloud: Arc::new(CloudApi::new(file.cloud())),
    };
    let (log, _guard) = stdout_logger();
    let node = Node::new(file.settings(), adapters, log);
    handle_signals(Arc::clone(&node), path).wrap_err("installing signal handlers")?;
    node.run().await?;
    Ok(ExitCode::SUCCESS)
}

/// Spawns a task that begins a graceful shutdown on SIGTERM and SIGINT, and validates the settings
/// file on SIGHUP.
fn handle_signals(node: Arc<Node>, path: PathBuf) -> eyre::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = term.recv() => node.leave(),
                _ = interrupt.recv() => node.leave(),
                _ = hangup.recv() => {
                    let file = NodeFile::load(&path).map(|file| file.settings());
                    node.reload(file.map_err(|error| format!("{error:#}")));
                }
            }
        }
    });
    Ok(())
}
