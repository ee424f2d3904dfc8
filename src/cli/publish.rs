use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::bail;
use uuid::Uuid;

use crate::clock::Millis;
use crate::config::Config;
use crate::control::{self, Fold, Outcome, Record};
use crate::log::{self, Service as _};

use super::command::file_arg;

const READ_LIMIT: usize = 256;

pub(super) fn command() -> Command {
    Command::new("publish")
        .about("Publishes a configuration")
        .arg(file_arg("Configuration (YAML)"))
        .arg(
            Arg::new("log-service")
                .long("log-service")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Address of the log service"),
        )
        .arg(
            Arg::new("operator")
                .long("operator")
                .value_name("NAME")
                .required(true)
                .help("Name of the operator who publishes"),
        )
        .after_help(
            "Example:\n  almondpath publish config.yaml --log-service 127.0.0.1:7300 --operator ada",
        )
}

pub(super) async fn run(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let file = args.get_one::<PathBuf>("file").expect("required by clap");
    let address = *args
        .get_one::<SocketAddr>("log-service")
        .expect("required by clap");
    let operator = args
        .get_one::<String>("operator")
        .expect("required by clap");
    let config = Config::load(file)?;
    let version = publish(&log::Client::new(address), operator, config).await?;
    println!("published as version {version}");
    Ok(ExitCode::SUCCESS)
}

/// Publishes a configuration on top of the active one and returns its version.
pub(super) async fn publish(
    log: &log::Client,
    operator: &str,
    config: Config,
) -> eyre::Result<log::Offset> {
    let mut fold = Fold::default();
    read_all(log, &mut fold, None).await?;
    let id = Uuid::new_v4();
    let record = Record::Publish {
        id,
        base: fold.active().map(|active| active.version),
        operator: operator.into(),
        config: Box::new(config),
    };
    let text: Arc<str> = serde_json::to_string(&record)?.into();
    // Whether the append succeeded is decided by reading the stream, not by its response.
    let _ = log.append(control::STREAM, vec![text]).await;
    match read_all(log, &mut fold, Some(id)).await? {
        Some((offset, Outcome::Applied)) => Ok(offset),
        Some((_, Outcome::Rejected(reason))) => bail!("not published: {reason}"),
        None => bail!("may have been published: the record has not appeared in the log"),
    }
}

/// Applies the records up to the end of the stream; returns what became of the record `id`.
async fn read_all(
    log: &log::Client,
    fold: &mut Fold,
    id: Option<Uuid>,
) -> eyre::Result<Option<(log::Offset, Outcome)>> {
    let mut found = None;
    loop {
        let page = log
            .read(control::STREAM, fold.next(), READ_LIMIT, Millis::ZERO)
            .await?;
        for entry in &page.records {
            let outcome = fold.apply(entry.offset, &entry.data);
            let record = serde_json::from_str(&entry.data);
            if let Ok(Record::Publish { id: this, .. }) = record
                && Some(this) == id
            {
                found.get_or_insert((entry.offset, outcome));
            }
        }
        if fold.next() >= page.end {
            return Ok(found);
        }
    }
}
