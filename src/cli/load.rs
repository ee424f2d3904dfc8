use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{WrapErr, ensure};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;

use crate::client::Client;
use crate::clock::Millis;

use super::command::file_arg;

/// Bytes of generated prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Maximum number of requests in flight; further arrivals wait and are sent late.
const MAX_IN_FLIGHT: usize = 4_096;

/// Load profile: requests with random arrival times, read from a YAML file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Profile {
    duration_ms: Millis,
    #[serde(rename = "streams")]
    sources: Vec<Source>,
}

/// Requests of one client account to one route.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Source {
    /// Token of the client account.
    token: Arc<str>,
    route: Arc<str>,
    /// Mean arrival rate in requests per second.
    #[serde(rename = "per_s")]
    requests_per_s: f64,
    /// Number of different prefixes that prompts begin with. Prefixes with low numbers are used
    /// more often.
    #[serde(rename = "texts")]
    prefixes: u32,
    /// Minimum and maximum length of a prefix in tokens.
    #[serde(rename = "text_tokens")]
    prefix_tokens: [u32; 2],
    /// Minimum and maximum length of the rest of a prompt in tokens.
    #[serde(rename = "own_tokens")]
    unique_tokens: [u32; 2],
    /// Minimum and maximum number of generated tokens.
    output_tokens: [u32; 2],
}

pub(super) fn command() -> Command {
    Command::new("load")
        .about("Sends the requests of a load profile to nodes, to record traces")
        .arg(file_arg("Load profile (YAML), see traces/profiles"))
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("ADDRESS")
                .required(true)
                .action(clap::ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Address of a node; repeatable"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the arrival times and prompts"),
        )
        .after_help("Example:\n  almondpath load traces/profiles/ikeja.yaml --node 127.0.0.1:7001")
}

pub(super) async fn run(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let file = args.get_one::<PathBuf>("file").expect("required by clap");
    let nodes = args
        .get_many::<SocketAddr>("node")
        .expect("required by clap");
    let nodes: Vec<SocketAddr> = nodes.copied().collect();
    let seed = *args.get_one::<u64>("seed").expect("has a default");
    let text =
        std::fs::read_to_string(file).wrap_err_with(|| format!("reading {}", file.display()))?;
    let profile: Profile =
        serde_saphyr::from_str(&text).wrap_err_with(|| format!("in {}", file.display()))?;
    ensure!(
        profile
            .sources
            .iter()
            .all(|s| s.prefixes > 0 && s.requests_per_s > 0.0),
        "`texts` and `per_s` must be above 0"
    );
    outln!("seed {seed}");
    let failed = send_all(&profile, &nodes, seed).await;
    outln!("{failed} requests failed");
    Ok(ExitCode::SUCCESS)
}

/// Sends the requests of the profile at their arrival times and returns the number that failed.
async fn send_all(profile: &Profile, nodes: &[SocketAddr], seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals: Vec<(f64, usize)> = Vec::new();
    for (index, source) in profile.sources.iter().enumerate() {
        let mut at = 0.0;
        loop {
            // Exponentially distributed gaps result in a Poisson process.
            at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() * 1_000.0 / source.requests_per_s;
            if at >= profile.duration_ms.as_f64() {
                break;
            }
            arrivals.push((at, index));
        }
    }
    arrivals.sort_by(|a, b| a.0.total_cmp(&b.0));
    let started = Instant::now();
    let slots = Arc::new(tokio::sync::Semaphore::new(MAX_IN_FLIGHT));
    let mut calls = tokio::task::JoinSet::new();
    for (index, (at, source)) in arrivals.into_iter().enumerate() {
        let source = &profile.sources[source];
        let body = random_body(source, seed, &mut rng);
        let wait = std::time::Duration::from_secs_f64(at / 1_000.0);
        tokio::time::sleep(wait.saturating_sub(started.elapsed())).await;
        let client = Client::new(vec![nodes[index % nodes.len()]], Arc::clone(&source.token));
        let route = Arc::clone(&source.route);
        let permit = Arc::clone(&slots).acquire_owned().await;
        calls.spawn(async move {
            let result = client.call(&route, None, body.into(), |_| ()).await;
            drop(permit);
            result.is_ok()
        });
    }
    let results = calls.join_all().await;
    results.into_iter().filter(|succeeded| !succeeded).count()
}

/// Returns the body of a request with a random prompt.
///
/// The prefix of the prompt depends only on the seed, the route and the number of the prefix.
fn random_body(source: &Source, seed: u64, rng: &mut SmallRng) -> String {
    // The square makes low numbers more likely, because some prefixes are more popular than others.
    let skewed: f64 = rng.random::<f64>().powi(2);
    let prefix = (skewed * f64::from(source.prefixes)) as u32;
    let mut prefix_rng =
        SmallRng::seed_from_u64(seed ^ u64::from(prefix) << 32 ^ hash(&source.route));
    let prefix_tokens = random_count(source.prefix_tokens, &mut prefix_rng);
    let mut prompt = random_text(prefix_tokens, &mut prefix_rng);
    prompt.push_str(&random_text(random_count(source.unique_tokens, rng), rng));
    let tokens = random_count(source.output_tokens, rng);
    serde_json::json!({ "prompt": prompt, "max_tokens": tokens }).to_string()
}

/// Returns a random number from `min` to `max`.
fn random_count([min, max]: [u32; 2], rng: &mut SmallRng) -> u32 {
    rng.random_range(min..=max.max(min))
}

/// Returns random lowercase letters with the length of `tokens` tokens.
fn random_text(tokens: u32, rng: &mut SmallRng) -> String {
    let bytes = tokens as usize * BYTES_PER_TOKEN;
    (0..bytes).map(|_| rng.random_range('a'..='z')).collect()
}

fn hash(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
