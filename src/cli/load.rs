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

/// Bytes of prompt text generated per token.
const BYTES_PER_TOKEN: usize = 4;

/// Most requests in flight; arrivals beyond wait, which shows in the count of late ones.
const MAX_IN_FLIGHT: usize = 4_096;

/// Callers whose requests arrive at random, read from a YAML file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Profile {
    duration_ms: Millis,
    streams: Vec<Stream>,
}

/// Requests of one account to one route.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Stream {
    /// Token of the client account.
    token: Arc<str>,
    route: Arc<str>,
    /// Mean rate of arrivals.
    per_s: f64,
    /// Different texts that prompts begin with; a text is used the more often the lower its
    /// number.
    texts: u32,
    /// Tokens of such a text: least and most.
    text_tokens: [u32; 2],
    /// Tokens of a prompt after it: least and most.
    own_tokens: [u32; 2],
    /// Generated tokens: least and most.
    output_tokens: [u32; 2],
}

pub(super) fn command() -> Command {
    Command::new("load")
        .about("Sends the requests of a profile to nodes, for recording traces")
        .arg(file_arg("Profile (YAML), see traces/profiles"))
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
                .help("Seed of arrivals and prompts"),
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
        profile.streams.iter().all(|s| s.texts > 0 && s.per_s > 0.0),
        "`texts` and `per_s` are above 0"
    );
    outln!("seed {seed}");
    let failed = send_all(&profile, &nodes, seed).await;
    outln!("{failed} requests failed");
    Ok(ExitCode::SUCCESS)
}

/// Sends the requests at their times and returns how many failed.
async fn send_all(profile: &Profile, nodes: &[SocketAddr], seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals: Vec<(f64, usize)> = Vec::new();
    for (index, stream) in profile.streams.iter().enumerate() {
        let mut at = 0.0;
        loop {
            // Exponential gaps make a Poisson process.
            at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() * 1_000.0 / stream.per_s;
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
    for (index, (at, stream)) in arrivals.into_iter().enumerate() {
        let stream = &profile.streams[stream];
        let body = body(stream, seed, &mut rng);
        let wait = std::time::Duration::from_secs_f64(at / 1_000.0);
        tokio::time::sleep(wait.saturating_sub(started.elapsed())).await;
        let client = Client::new(vec![nodes[index % nodes.len()]], Arc::clone(&stream.token));
        let route = Arc::clone(&stream.route);
        let permit = Arc::clone(&slots).acquire_owned().await;
        calls.spawn(async move {
            let result = client.call(&route, None, body.into(), |_| ()).await;
            drop(permit);
            result.is_ok()
        });
    }
    let ended = calls.join_all().await;
    ended.into_iter().filter(|succeeded| !succeeded).count()
}

fn body(stream: &Stream, seed: u64, rng: &mut SmallRng) -> String {
    // The square makes low numbers likelier, as some texts are asked about more than others.
    let skewed: f64 = rng.random::<f64>().powi(2);
    let text = (skewed * f64::from(stream.texts)) as u32;
    let mut source = SmallRng::seed_from_u64(seed ^ u64::from(text) << 32 ^ hash(&stream.route));
    let shared = between(stream.text_tokens, &mut source);
    let mut prompt = words(shared, &mut source);
    prompt.push_str(&words(between(stream.own_tokens, rng), rng));
    let tokens = between(stream.output_tokens, rng);
    serde_json::json!({ "prompt": prompt, "max_tokens": tokens }).to_string()
}

fn between([least, most]: [u32; 2], rng: &mut SmallRng) -> u32 {
    rng.random_range(least..=most.max(least))
}

fn words(tokens: u32, rng: &mut SmallRng) -> String {
    let bytes = tokens as usize * BYTES_PER_TOKEN;
    (0..bytes).map(|_| rng.random_range('a'..='z')).collect()
}

fn hash(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
