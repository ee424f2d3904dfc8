//! Entries of other writers in the store's topics, which are no endpoint, order, configuration or node.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::harness::eventually;
use crate::platform::{Behaviour, Deployment, Engine, Request, config};

/// Levels of nesting that exceed any stack if a parser is recursive.
const DEPTHS: [usize; 2] = [10_000, 200_000];

/// Size of garbage in bytes.
const GARBAGE_BYTES: usize = 200_000;

/// Fields with a number each in an entry of an endpoint.
const NUMBERS: [&str; 5] = [
    "cold_remaining_ms",
    "leaves_ms",
    "slots",
    "sequence",
    "born",
];

/// Numbers that are too large, too small or none, as they are written.
const ODD_NUMBERS: [&str; 12] = [
    "1e400",
    "-1e400",
    "-1",
    "1e30",
    "1e18",
    "18446744073709551615",
    "18446744073709551616",
    "4294967295",
    "NaN",
    "\"NaN\"",
    "Infinity",
    "0.5e-400",
];

/// Addresses that no endpoint can have.
const ODD_ADDRESSES: [&str; 8] = [
    "\"127.0.0.1:70000\"",
    "\"127.0.0.1:0\"",
    "\"127.0.0.1:-1\"",
    "\"127.0.0.1\"",
    "\"localhost:80\"",
    "\"[::1\"",
    "\"\"",
    "8080",
];

/// Documents that no parser accepts.
fn garbage() -> Vec<Vec<u8>> {
    let mut all = vec![
        b"{}".to_vec(),
        b"null".to_vec(),
        b"\xff\xfe\x00".to_vec(),
        b"{\"service\":\"\xff\xfe\"}".to_vec(),
        vec![b'x'; GARBAGE_BYTES],
        vec![0; GARBAGE_BYTES],
        vec![b'"'; GARBAGE_BYTES],
    ];
    for depth in DEPTHS {
        all.push(b"[".repeat(depth));
        all.push(b"{\"a\":".repeat(depth));
        all.push(nested(depth).into_bytes());
    }
    all
}

/// Returns an array in arrays.
fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

/// Returns the document with another text for the value of a field.
fn with_field(document: &Value, field: &str, text: &str) -> String {
    let mut document = document.clone();
    document[field] = json!("PLACEHOLDER");
    document.to_string().replace("\"PLACEHOLDER\"", text)
}

/// Documents with one odd field each.
fn odd_documents(document: &Value, numbers: &[&str]) -> Vec<Vec<u8>> {
    let mut odd = garbage();
    let numbers = numbers.iter().flat_map(|field| {
        let texts = ODD_NUMBERS.iter();
        texts.map(|text| with_field(document, field, text))
    });
    odd.extend(numbers.map(String::into_bytes));
    for depth in DEPTHS {
        odd.push(with_field(document, "later", &nested(depth)).into_bytes());
    }
    odd
}

/// Asserts that no process has ended and that no task of one has failed.
fn assert_sound(deployment: &mut Deployment) {
    for gateway in &mut deployment.gateways {
        assert_eq!(
            gateway.exited_successfully(),
            None,
            "{} has ended",
            gateway.name
        );
        for text in [
            "child failed, restarting",
            "child failed too often, ending the process",
        ] {
            let failed = gateway.log_lines(text, None);
            assert!(failed.is_empty(), "{}: {failed:?}", gateway.name);
        }
    }
}

async fn wait_for_status(deployment: &Deployment, path: &'static str, status: u16) {
    for gateway in &deployment.gateways {
        eventually(
            &format!("{} responds with {status}", gateway.name),
            async || {
                let response = gateway.send(&Request::new(path)).await;
                response.is_some_and(|response| response.status == status)
            },
        )
        .await;
    }
}

async fn start(gateways: usize) -> Deployment {
    let engine = Engine::start("e0", "app", Behaviour::Respond(200, 0)).await;
    Deployment::start(gateways, vec![engine]).await
}

fn restart(deployment: &mut Deployment) {
    for gateway in &mut deployment.gateways {
        gateway.kill();
        gateway.restart();
    }
}

/// Guards against an entry of another writer that ends a process, hides other endpoints, or stops the
/// list from being followed.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_among_the_endpoints_are_passed_over() {
    let mut deployment = start(4).await;
    let closed: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let mut entry = deployment.engines[0].entry("ready", 1);
    entry["address"] = json!(closed);
    let mut odd = odd_documents(&entry, &NUMBERS);
    let addresses = ODD_ADDRESSES.iter();
    odd.extend(addresses.map(|text| with_field(&entry, "address", text).into_bytes()));
    for (number, document) in odd.iter().enumerate() {
        let key = format!("odd {number}");
        deployment.store.put_bytes("keyed.servers", &key, document);
    }
    let good = entry.to_string();
    let long = "k".repeat(255);
    for key in ["", " ", "a/b?c#d&e=f%", "\u{0}\n\u{7f}", &long] {
        deployment
            .store
            .put_bytes("keyed.servers", key, good.as_bytes());
    }
    let invalid_key = [b"\x03\xff\xfe\xfd", good.as_bytes()].concat();
    for record in [&b""[..], b"\xff", b"\x05abc", b"\x00", &invalid_key] {
        deployment.store.append_raw("keyed.servers", record);
    }
    let late = Engine::start("late", "llm", Behaviour::Stream(3, 1)).await;
    deployment
        .store
        .put("keyed.servers", "late", &late.entry("ready", 1));
    for _ in 0..2 {
        // The first time, the entries are read as records, and the second time as a list.
        wait_for_status(&deployment, "/stream/x", 200).await;
        wait_for_status(&deployment, "/unsafe/x", 200).await;
        assert_sound(&mut deployment);
        restart(&mut deployment);
    }
}

/// Guards against a record in the operator's topic that ends a process, replaces the configuration, or
/// stops the topic from being followed.
#[tokio::test(flavor = "multi_thread")]
async fn odd_records_in_the_operators_topic_are_passed_over() {
    let mut deployment = start(2).await;
    let order = json!({ "service": "app", "target": "v2", "duration_s": 5 });
    for (number, document) in odd_documents(&order, &["duration_s"]).iter().enumerate() {
        let document = String::from_utf8_lossy(document);
        let service = format!("app{number}");
        let document = document.replace("\"app\"", &format!("\"{service}\""));
        let key = format!("rollout/{service}");
        deployment
            .store
            .put_bytes("keyed.op", &key, document.as_bytes());
    }
    for key in ["", "rollout/", "rollout/\u{0}", "config ", "other"] {
        deployment.store.put_bytes("keyed.op", key, b"[[[");
    }
    for record in [&b""[..], b"\xff", b"\x05abc", b"\x00"] {
        deployment.store.append_raw("keyed.op", record);
    }
    let mut odd = garbage();
    let numbers = [
        "1e400",
        "-1",
        "18446744073709551616",
        "\"9\"",
        "1.5",
        "null",
    ];
    odd.extend(numbers.map(|text| with_field(&config(1), "version", text).into_bytes()));
    let mut unknown_type = config(5);
    unknown_type["routes"] = json!([{ "name": "a" }]);
    odd.push(unknown_type.to_string().into_bytes());
    for document in &odd {
        deployment.store.put_bytes("keyed.op", "config", document);
    }
    deployment.wait_for_propagation().await;
    assert_eq!(versions(&deployment), [[1], [1]]);
    deployment.store.put("keyed.op", "config", &config(7));
    wait_for_version(&deployment, 7).await;
    wait_for_status(&deployment, "/unsafe/x", 200).await;
    assert_sound(&mut deployment);
    restart(&mut deployment);
    wait_for_status(&deployment, "/unsafe/x", 200).await;
    assert_sound(&mut deployment);
}

async fn wait_for_version(deployment: &Deployment, version: u64) {
    eventually("the configuration is active everywhere", async || {
        let versions = versions(deployment);
        versions.iter().all(|versions| versions.contains(&version))
    })
    .await;
}

/// Returns the versions that each gateway has activated.
fn versions(deployment: &Deployment) -> Vec<Vec<u64>> {
    let versions = deployment.gateways.iter().map(|gateway| {
        let lines = gateway.log_lines("configuration", None);
        lines
            .iter()
            .filter_map(|line| line["version"].as_u64())
            .collect()
    });
    versions.collect()
}

/// Guards against a record of another writer in the gateway's own topics that ends a process, or after
/// which the duties are not performed.
#[tokio::test(flavor = "multi_thread")]
async fn odd_records_in_the_gateways_own_topics_are_passed_over() {
    let mut deployment = start(2).await;
    let node = json!({ "peer": "127.0.0.1:1" });
    let mut nodes = odd_documents(&node, &["peer"]);
    nodes.extend(ODD_ADDRESSES.map(|text| with_field(&node, "peer", text).into_bytes()));
    let status = json!({
        "service": "app", "target": "v2", "state": "active", "duration_s": 5, "order": 1, "started": 1,
    });
    let statuses = odd_documents(&status, &["duration_s", "order", "started"]);
    let renewal = json!({ "kind": "renew", "fence": 1, "number": 1 });
    let mut duties = odd_documents(&renewal, &["fence", "number"]);
    let usage = json!({
        "kind": "usage", "fence": u64::MAX, "window": u64::MAX, "number": u64::MAX,
        "counts": { "one": u64::MAX, "small": u64::MAX },
    });
    duties.push(usage.to_string().into_bytes());
    for (number, document) in nodes.iter().enumerate() {
        let key = format!("odd {number}");
        deployment.store.put_bytes("keyed.nodes", &key, document);
    }
    for (number, document) in statuses.iter().enumerate() {
        let document = String::from_utf8_lossy(document);
        let document = document.replace("\"app\"", &format!("\"app{number}\""));
        let key = format!("rollout/app{number}");
        deployment
            .store
            .put_bytes("keyed.status", &key, document.as_bytes());
    }
    for topic in ["keyed.nodes", "keyed.status"] {
        deployment.store.append_raw(topic, b"\x05abc");
        let item = json!({ "key": "odd item", "value": "***", "offset": 0 });
        deployment.store.add_odd_item(topic, item);
    }
    for document in &duties {
        deployment.store.append_raw("duties", document);
    }
    for version in [2, 3] {
        let before = deployment.cloud.duty_calls().len();
        wait_for_status(&deployment, "/unsafe/x", 200).await;
        eventually("usage is reported", async || {
            deployment.cloud.duty_calls().len() > before
        })
        .await;
        deployment.store.put("keyed.op", "config", &config(version));
        wait_for_version(&deployment, version).await;
        assert_sound(&mut deployment);
        restart(&mut deployment);
    }
}
