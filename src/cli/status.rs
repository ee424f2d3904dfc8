use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{ArgMatches, Command};
use serde::Serialize;

use crate::error::Error;
use crate::node::Status;

use super::admin::Operator;
use super::command::{format_arg, is_json};

/// What one node said.
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
        .about("Tells for each node which configuration is active, and the state of each rollout")
        .args(Operator::args(true))
        .arg(format_arg())
        .after_help(
            "Exit code 1 when a node does not answer, or when versions differ.\n\nExample:\n  \
             almondpath status --admin 127.0.0.1:7101 --admin 127.0.0.1:7102 --token-file operator.token",
        )
}

pub(super) async fn run(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let operator = Operator::new(args)?;
    let mut reports = Vec::new();
    for &address in operator.addresses() {
        let result = match operator.get::<Status>(address, "/admin/status").await {
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
    Ok(ExitCode::from(u8::from(!agree(&reports))))
}

/// Returns whether all nodes answered and have the same configuration active.
fn agree(reports: &[Report]) -> bool {
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
        let by = status.operator.as_deref().unwrap_or("nobody");
        outln!(
            "{} {}: {}, configuration {version} by {by}",
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
