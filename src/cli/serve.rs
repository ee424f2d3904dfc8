use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{ArgMatches, Command};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::node::Node;
use crate::settings;

use super::command::file_arg;
use super::logger::logger;

pub(super) fn command() -> Command {
    Command::new("serve")
        .about("Runs a node")
        .arg(file_arg("Settings file of the node (YAML)"))
        .after_help("Example:\n  almondpath serve node1.yaml")
}

pub(super) async fn run(args: &ArgMatches, json_log: bool) -> eyre::Result<ExitCode> {
    let file = args.get_one::<PathBuf>("file").expect("required by clap");
    let settings = settings::Node::load(file)?;
    let token = CancellationToken::new();
    let node = Node::new(settings, logger(json_log), token)?;
    leave_on_signal(Arc::clone(&node))?;
    node.run().await?;
    Ok(ExitCode::SUCCESS)
}

/// Spawns a task that drains the node on the first SIGTERM or SIGINT, and starts the handover of its
/// requests on the second.
fn leave_on_signal(node: Arc<Node>) -> eyre::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
            node.leave();
        }
    });
    Ok(())
}

/// Spawns a task that cancels the token on SIGTERM or SIGINT.
pub(super) fn cancel_on_signal(token: CancellationToken) -> eyre::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        token.cancel();
    });
    Ok(())
}
