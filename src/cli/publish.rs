use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgGroup, ArgMatches, Command, value_parser};
use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::control;
use crate::error::Error;
use crate::log::{self, Offset};

use super::admin::AdminClient;
use super::command::{file_arg, format_arg, is_json};

/// Body of `POST /admin/publish`.
#[derive(Debug, Serialize)]
struct PublishRequest<'a> {
    base: Option<Offset>,
    config: &'a Config,
}

/// Response to `POST /admin/publish`.
#[derive(Debug, Deserialize, Serialize)]
struct PublishResponse {
    version: Offset,
}

pub(super) fn command() -> Command {
    Command::new("publish")
        .about("Publishes a configuration, through a node or directly to the log service")
        .arg(file_arg("Configuration (YAML)"))
        .args(AdminClient::args(false))
        .arg(
            Arg::new("log-service")
                .long("log-service")
                .value_name("ADDRESS")
                .requires("operator")
                .value_parser(value_parser!(SocketAddr))
                .help("Address of the log service, for publishing without a node"),
        )
        .arg(
            Arg::new("operator")
                .long("operator")
                .value_name("NAME")
                .help("Name of the operator, for publishing without a node"),
        )
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("Version that the configuration is based on [default: the active version]"),
        )
        .arg(format_arg())
        .group(
            ArgGroup::new("target")
                .args(["admin", "log-service"])
                .required(true),
        )
        .after_help(
            "Examples:\n  \
             almondpath publish config.yaml --admin 127.0.0.1:7101 --token-file operator.token\n  \
             almondpath publish config.yaml --log-service 127.0.0.1:7300 --operator ada --base 7",
        )
}

pub(super) async fn run(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let file = args.get_one::<PathBuf>("file").expect("required by clap");
    let config = Config::load(file)?;
    let base = args.get_one::<u64>("base").copied().map(Offset);
    let result = match args.get_one::<SocketAddr>("log-service") {
        Some(&address) => {
            let operator = args
                .get_one::<String>("operator")
                .expect("required by clap");
            control::publish(
                &log::Client::new(address),
                Default::default(),
                operator,
                base,
                config,
            )
            .await
        }
        None => publish_through_node(&AdminClient::new(args)?, base, &config).await,
    };
    match result {
        Ok(version) if is_json(args) => {
            outln!("{}", serde_json::to_string(&PublishResponse { version })?);
        }
        Ok(version) => outln!("published as version {version}"),
        Err(error) if is_json(args) => {
            outln!("{}", serde_json::to_string(&error)?);
            return Ok(ExitCode::FAILURE);
        }
        Err(error) => {
            eyre::bail!("could not confirm that the configuration was published: {error}")
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn publish_through_node(
    client: &AdminClient,
    base: Option<Offset>,
    config: &Config,
) -> Result<Offset, Error> {
    let body = PublishRequest { base, config };
    let published: PublishResponse = client.post("/admin/publish", &body).await?;
    Ok(published.version)
}
