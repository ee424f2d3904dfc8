//! Operator commands: publishing, status, dumps and tokens.

use std::net::SocketAddr;
use std::process::Output;

use almondpath::config::Config;
use almondpath::control;
use almondpath::error::ErrorKind;
use almondpath::log::{self, Offset};
use almondpath::verdict::Verdict;
use serde_json::Value;

use crate::harness::{Cluster, eventually, run_program};

const CONFIG: &str = "examples/dev/config.yaml";
const TOKEN_FILE: &str = "examples/dev/operator.token";
const ACCOUNT_TOKEN_FILE: &str = "examples/dev/demo.token";

/// Runs a command with the admin addresses and the token file as additional arguments.
async fn run_admin(args: &[&str], addresses: &[SocketAddr], token_file: &str) -> Output {
    let mut all_args: Vec<String> = args.iter().map(ToString::to_string).collect();
    for address in addresses {
        all_args.extend(["--admin".to_owned(), address.to_string()]);
    }
    all_args.extend(["--token-file".to_owned(), token_file.to_owned()]);
    run_program(&all_args).await
}

/// Guards against a configuration that is published through one node but doesn't become active on
/// another, or that `status` doesn't show.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_published_through_one_node_becomes_active_on_all() {
    let cluster = Cluster::start(2, 0, 0).await;
    let addresses: Vec<_> = cluster.nodes.iter().map(|node| node.admin).collect();
    let published = run_admin(&["publish", CONFIG], &addresses[..1], TOKEN_FILE).await;
    assert!(published.status.success(), "{published:?}");
    eventually("the version is active on both nodes", async || {
        let output = run_admin(&["status", "--format", "json"], &addresses, TOKEN_FILE).await;
        let reports: Value = serde_json::from_slice(&output.stdout).expect("JSON");
        let version = |index: usize| reports[index]["status"]["version"].as_u64();
        output.status.success() && version(0) == Some(1) && version(1) == Some(1)
    })
    .await;
    let dump = run_admin(&["dump"], &addresses, TOKEN_FILE).await;
    let dump: Value = serde_json::from_slice(&dump.stdout).expect("JSON");
    assert_eq!(dump[addresses[1].to_string()]["active"]["operator"], "dev");
}

/// Guards against operator commands that accept the token of a client account.
#[tokio::test(flavor = "multi_thread")]
async fn only_operators_publish_and_dump() {
    let cluster = Cluster::start(1, 0, 0).await;
    let addresses = [cluster.nodes[0].admin];
    for args in [&["publish", CONFIG][..], &["dump"], &["status"]] {
        let output = run_admin(args, &addresses, ACCOUNT_TOKEN_FILE).await;
        assert_eq!(output.status.code(), Some(1), "{args:?}: {output:?}");
    }
    let log = log::Client::new(cluster.log.address);
    let read = log::Service::read(&log, control::STREAM, Offset(0), 10, Default::default());
    assert_eq!(read.await.expect("the log service responds").end, Offset(1));
}

/// Guards against a lost update when two operators publish concurrently, and against a conflict
/// error that doesn't name the operator whose configuration was published.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_publications_conflict() {
    let cluster = Cluster::start(0, 0, 0).await;
    let log = log::Client::new(cluster.log.address);
    let config = Config::load(CONFIG.as_ref()).expect("a valid configuration");
    let base = Some(Offset(0));
    let (ada, bola) = tokio::join!(
        control::publish(&log, Default::default(), "ada", base, config.clone()),
        control::publish(&log, Default::default(), "bola", base, config.clone()),
    );
    let (winner, error) = match (&ada, &bola) {
        (Ok(_), Err(error)) => ("ada", error),
        (Err(error), Ok(_)) => ("bola", error),
        both => panic!("exactly one publication must succeed: {both:?}"),
    };
    assert_eq!(error.kind(), ErrorKind::Conflict);
    assert_eq!(error.verdict(), Verdict::NotRun);
    assert!(error.message().contains(winner), "{error}");
}

/// Guards against a publication that is reported as failed, or applied twice, when the response of
/// the log service to the append is lost or late, or the record is appended twice.
#[tokio::test(flavor = "multi_thread")]
async fn published_once_when_the_outcome_of_the_append_is_unknown() {
    let faults = [
        serde_json::json!({ "lose_responses": 1 }),
        serde_json::json!({ "late_ms": 300 }),
        serde_json::json!({ "duplicate": 1 }),
    ];
    let config = Config::load(CONFIG.as_ref()).expect("a valid configuration");
    for (index, faults) in faults.into_iter().enumerate() {
        let cluster = Cluster::start(0, 0, 0).await;
        cluster
            .set_faults(cluster.log.address, faults.clone())
            .await;
        let log = log::Client::new(cluster.log.address);
        let version = control::publish(&log, Default::default(), "ada", None, config.clone()).await;
        assert_eq!(version, Ok(Offset(1)), "case {index}: {faults}");
    }
}

/// Guards against an invalid configuration that becomes active: publishing must reject it, and so
/// must a node that reads it from the log.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_configuration_is_never_active() {
    let cluster = Cluster::start(1, 0, 0).await;
    let log = log::Client::new(cluster.log.address);
    let mut config = Config::load(CONFIG.as_ref()).expect("a valid configuration");
    config.routes[0].service = "nowhere".into();
    let error = control::publish(&log, Default::default(), "ada", None, config.clone())
        .await
        .expect_err("the configuration is invalid");
    assert_eq!(error.kind(), ErrorKind::Malformed);

    let record = control::Record::Publish {
        id: uuid::Uuid::new_v4(),
        base: Some(Offset(0)),
        operator: "ada".into(),
        config: Box::new(config),
    };
    let text = serde_json::to_string(&record).expect("it serializes");
    let appended = log::Service::append(&log, control::STREAM, vec![text.into()]).await;
    assert_eq!(appended, Ok(Offset(1)));
    let address = cluster.nodes[0].admin;
    eventually("the node reports why it rejected the record", async || {
        let output = run_admin(&["status", "--format", "json"], &[address], TOKEN_FILE).await;
        let reports: Value = serde_json::from_slice(&output.stdout).expect("JSON");
        let status = &reports[0]["status"];
        let refused = status["refused"].as_str().unwrap_or_default();
        status["version"] == 0 && refused.contains("routes[0].service")
    })
    .await;
}

/// Guards against a node that must be restarted to accept a new token, and against an invalid token
/// file that invalidates the current tokens.
#[tokio::test(flavor = "multi_thread")]
async fn tokens_are_reloaded() {
    let cluster = Cluster::start(1, 0, 0).await;
    let new_token = cluster.directory.path().join("new.token");
    std::fs::write(&new_token, "second-token").expect("the file can be written");
    let new_token = new_token.to_str().expect("a UTF-8 path");
    let address = [cluster.nodes[0].admin];
    let accepted = async |file: &str| {
        run_admin(&["status"], &address, file)
            .await
            .status
            .success()
    };

    std::fs::write(cluster.token_file(), "operators: {ada: second-token}\n").expect("written");
    eventually("the new token is accepted", async || {
        accepted(new_token).await
    })
    .await;
    assert!(
        !accepted(TOKEN_FILE).await,
        "the old token is still accepted"
    );

    std::fs::write(cluster.token_file(), "operators: [broken").expect("written");
    tokio::time::sleep(std::time::Duration::from_millis(1_200)).await;
    assert!(
        accepted(new_token).await,
        "an invalid token file changed the tokens"
    );
}
