use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{ArgMatches, Command};
use serde::Serialize;

use crate::error::Error;
use crate::node::Status;

use super::admin::AdminClient;
use super::command::{format_arg, is_json};

/// The status of one node, or the error of the request for it.
#[derive(Debug, Serialize)]
struct Report {
    address: SocketAddr,
    #[serde(flatten)]
    result: Outcome,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Outcome {
    Status(Box<Status>),
    Error(Error),
}

pub(super) fn command() -> Command {
    Command::new("status")
        .about("Prints the active configuration and the state of the rollouts of each node")
        .args(AdminClient::args(true))
        .arg(format_arg())
        .after_help(
            "Exit code 1 if a node does not respond, has no active configuration, or versions differ.\n\n\
             Example:\n  \
             almondpath status --admin 127.0.0.1:7101 --admin 127.0.0.1:7102 --token-file operator.token",
        )
}

pub(super) async fn run(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let client = AdminClient::new(args)?;
    let mut reports = Vec::new();
    for &address in client.addresses() {
        let result = match client.get::<Status>(address, "/admin/status").await {
            Ok(status) => Outcome::Status(Box::new(status)),
            Err(error) => Outcome::Error(error),
        };
        reports.push(Report { address, result });
    }
    if is_json(args) {
        outln!("{}", serde_json::to_string_pretty(&reports)?);
    } else {
        reports.iter().for_each(Report::print);
    }
    Ok(ExitCode::from(u8::from(!versions_agree(&reports))))
}

/// Returns whether all nodes responded and have the same active version of the configuration.
fn versions_agree(reports: &[Report]) -> bool {
    let mut versions = reports.iter().map(|report| match &report.result {
        Outcome::Status(status) => status.version,
        Outcome::Error(_) => None,
    });
    let first = versions.next().flatten();
    first.is_some() && versions.all(|version| version == first)
}

impl Report {
    fn print(&self) {
        let status = match &self.result {
            Outcome::Status(status) => status,
            Outcome::Error(error) => {
                outln!("{}: {error}", self.address);
                return;
            }
        };
        let version = status
            .version
            .map_or_else(|| "none".to_owned(), |version| version.to_string());
        let operator = status.operator.as_deref().unwrap_or("nobody");
        outln!(
            "{} {}: {}, configuration {version} by {operator}",
            self.address,
            status.node,
            status.state
        );
        for rollout in &status.rollouts {
            outln!("  {rollout}");
        }
        if let Some(refused) = &status.refused {
            outln!("  refused: {refused}");
        }
    }
}
