//! The adapter's parsers: settings, configuration, registrations of endpoints, headers.

use almondpath::clock::Millis;
use almondpath::gateway::{Dialect, Documents, ForwardMetadata, RetryPolicy, Segment};
use almondpath::platform::{Decoder, Headers, NodeFile};
use hyper::HeaderMap;
use proptest::prelude::*;

const NODE_FILE: &str = r#"
node_name = "edge-a-1"
zone = "a"
port_range = [7600, 7615]
seeds = ["127.0.0.1:8229"]
heartbeat_ms = 1200
a_later_field = "is passed over"
[listen]
front = "127.0.0.1:8221"
ready = "127.0.0.1:8224"
control = "127.0.0.1:8229"
directory = "127.0.0.1:8220"
[limits]
memory_mb = 260
max_fds = 4100
[bounds]
grace_s = 8
config_apply_ms = 2000
drain_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 52
usage_window_s = 5
usage_late_s = 10
ttl_max_s = 5
[platform]
address = "127.0.0.1:8225"
form = "log"
[cloud]
address = "127.0.0.1:8226"
duties = ["usage_report"]
"#;

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r1","hostname":"h.example","path_prefix":"/a/","route_type":"streaming","timeout_ms":4000,
  "target_latency_ms":1500,"priority":1,"service":"s","max_attempts":1,"resume_streams":false,"gap_target_ms":500},
 {"name":"r2","hostname":"h.example","path_prefix":"/a/b/","route_type":"streaming","timeout_ms":6000,
  "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}],"max_attempts":2,"resume_streams":true},
 {"name":"r3","hostname":"h.example","path_prefix":"/c/","route_type":"non_idempotent","timeout_ms":1000,"service":"t"},
 {"name":"r4","hostname":"h.example","path_prefix":"/d/","route_type":"idempotent","timeout_ms":1000,"service":"t","anonymous":true}],
 "services":[{"name":"s","max_connections":360,"engine":{"slots":64,"kv_capacity":448646},
  "scale_limits":{"min":1,"max":6,"boot_s":4.0,"spot_price":0.22,"zone_prices":{"a":0.85}}},{"name":"t","max_connections":96}],
 "limits":{"max_body_bytes":1000},
 "tenants":[{"name":"one","api_keys":["k1","k2"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":100,"burst":50},
  {"name":"two","api_keys":["k3"],"rate_per_s":0}]}"#;

const ENTRY: &str = r#"{"service":"s","address":"127.0.0.1:8080","zone":"a","version":"v1","slots":64,"state":"ready",
 "cold_remaining_ms":0,"sequence":4,"born":1787322464338,"spot":true}"#;

/// Guards against fields of the configuration that are mixed up.
#[test]
fn a_configuration_is_parsed_correctly() {
    let config = Decoder.config(CONFIG.as_bytes()).expect("a configuration");
    assert_eq!((config.version, config.limits.body_bytes), (7, 1_000));
    struct Case {
        path: &'static str,
        route: Option<(&'static str, RetryPolicy)>,
    }
    let cases = [
        Case {
            path: "/a/x",
            route: Some(("r1", RetryPolicy::Never)),
        },
        Case {
            path: "/a/b/x",
            route: Some(("r2", RetryPolicy::Resume)),
        },
        Case {
            path: "/c/",
            route: Some(("r3", RetryPolicy::Never)),
        },
        Case {
            path: "/d/1",
            route: Some(("r4", RetryPolicy::Idempotent)),
        },
        Case {
            path: "/ab",
            route: None,
        },
    ];
    for case in cases {
        let route = config.route("h.example", case.path);
        let found = route.map(|route| (&*route.name, route.retry_policy));
        assert_eq!(found, case.route, "{}", case.path);
    }
    assert!(config.route("other.example", "/a/x").is_none());
    let account = |key| {
        config
            .account_by_key(key)
            .map(|account| account.name.to_string())
    };
    assert_eq!(account("k2").as_deref(), Some("one"));
    assert_eq!(account("k4"), None);
    let quota = |key| config.account_by_key(key).and_then(|a| a.quota);
    assert_eq!(quota("k1").map(|q| q.cost(Some(500))), Some(500.0));
    assert_eq!(quota("k1").map(|q| q.cost(None)), Some(200.0));
    assert!(quota("k3").is_none(), "a rate of 0 means no limit");
    let route = config.route("h.example", "/a/b/x").expect("a route");
    assert_eq!(route.pick_service(0.85).map(|s| &**s), Some("s"));
    assert_eq!(route.pick_service(0.95).map(|s| &**s), Some("t"));
}

/// Guards against entries of other writers that are accepted as endpoints.
#[test]
fn entries_that_do_not_describe_an_endpoint_are_rejected() {
    let registration = Decoder
        .registration("e", ENTRY.as_bytes())
        .expect("an entry");
    assert_eq!(registration.identity.born, 1_787_322_464_338);
    assert!(registration.spot && !registration.leaving);
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
    }
    let cases = [
        Case {
            name: "unknown state",
            from: "\"ready\"",
            to: "\"busy\"",
        },
        Case {
            name: "state of another type",
            from: "\"ready\"",
            to: "1",
        },
        Case {
            name: "no address",
            from: "\"address\"",
            to: "\"where\"",
        },
        Case {
            name: "no service",
            from: "\"s\"",
            to: "\"\"",
        },
        Case {
            name: "start as text",
            from: "1787322464338",
            to: "\"1787322464338\"",
        },
        Case {
            name: "start with a fraction",
            from: "1787322464338",
            to: "1787322464338.5",
        },
        Case {
            name: "port that is too large",
            from: "127.0.0.1:8080",
            to: "127.0.0.1:70000",
        },
        Case {
            name: "port 0",
            from: "127.0.0.1:8080",
            to: "127.0.0.1:0",
        },
        Case {
            name: "unspecified address",
            from: "127.0.0.1:8080",
            to: "0.0.0.0:8080",
        },
        Case {
            name: "address that is a name",
            from: "127.0.0.1:8080",
            to: "localhost:8080",
        },
        Case {
            name: "truncated",
            from: "\"spot\":true}",
            to: "",
        },
    ];
    for case in cases {
        let text = ENTRY.replacen(case.from, case.to, 1);
        assert!(
            Decoder.registration("e", text.as_bytes()).is_err(),
            "{}",
            case.name
        );
    }
}

proptest! {
    /// Guards against a panic on documents of other writers.
    #[test]
    fn arbitrary_documents_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Decoder.config(&bytes).is_err());
        prop_assert!(Decoder.registration("e", &bytes).is_err());
        prop_assert!(NodeFile::parse(&String::from_utf8_lossy(&bytes)).is_err());
    }

    /// Guards against a corrupted entry that is mistaken for another endpoint.
    #[test]
    fn a_corrupted_entry_is_rejected_or_describes_the_same_endpoint(at in 0..ENTRY.len(), byte in any::<u8>()) {
        let mut bytes = ENTRY.as_bytes().to_vec();
        bytes[at] = byte;
        if let Ok(registration) = Decoder.registration("e", &bytes) {
            prop_assert_eq!(&*registration.identity.id, "e");
            prop_assert!(!registration.service.is_empty());
        }
    }
}

/// Guards against a process that starts with invalid settings, or that reports only one of several
/// problems.
#[test]
fn a_settings_file_is_checked_as_a_whole() {
    let file = NodeFile::parse(NODE_FILE).expect("valid settings");
    let settings = file.settings();
    assert_eq!(settings.grace, Millis(8_000));
    assert!(settings.reports_usage && !settings.orders_endpoints);
    assert_eq!(settings.metrics.port(), 7_600);
    let invalid = NODE_FILE
        .replace("memory_mb = 260", "memory_mb = 0")
        .replace("form = \"log\"", "form = \"tables\"")
        .replace("grace_s = 8", "grace_s = 0");
    let error = NodeFile::parse(&invalid).expect_err("three problems");
    let text = format!("{error:#}");
    for setting in ["memory_mb", "platform.form", "grace_s"] {
        assert!(text.contains(setting), "{setting} in {text}");
    }
    let missing = NODE_FILE.replace("zone = \"a\"", "");
    let error = NodeFile::parse(&missing).expect_err("no zone");
    assert!(format!("{error:#}").contains("zone"));
}

fn headers(lines: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        headers.append(*name, value.parse().expect("a value"));
    }
    headers
}

/// Guards against a caller that sets headers which only the gateway may set, and against an API key
/// that reaches an endpoint.
#[test]
fn headers_that_callers_must_not_set_are_replaced() {
    let forged = headers(&[
        ("host", "h.example"),
        ("x-api-key", "k1"),
        ("x-almondpath-tenant", "someone"),
        ("x-almondpath-expect-instance", "e9"),
        ("x-almondpath-request-priority", "0"),
        ("x-almondpath-hold", "h"),
        ("x-almondpath-pin-ms", "4000"),
        ("x-almondpath-kv-backup", "10.0.0.1:1"),
        ("kv-from", "10.0.0.1:1/h"),
        ("kv-fetch", "10.0.0.1:1"),
        ("connection", "keep-alive, x-hop"),
        ("x-hop", "1"),
        ("transfer-encoding", "chunked"),
        ("x-almondpath-attempt-id", "9c41"),
        ("x-almondpath-model", "m"),
        ("x-other", "stays"),
    ]);
    let forward = ForwardMetadata {
        timeout: Millis(900),
        endpoint: "e1".into(),
        account: Some("one".into()),
        resume_after: Some(12),
        priority: Some(3),
    };
    let sent = Headers.forward_headers(&forged, &forward);
    let expected = headers(&[
        ("host", "h.example"),
        ("x-almondpath-attempt-id", "9c41"),
        ("x-almondpath-model", "m"),
        ("x-other", "stays"),
        ("x-almondpath-deadline-ms", "900"),
        ("x-almondpath-expect-instance", "e1"),
        ("x-almondpath-tenant", "one"),
        ("last-event-id", "12"),
        ("x-almondpath-request-priority", "3"),
    ]);
    assert_eq!(sent, expected);
    let anonymous = ForwardMetadata {
        account: None,
        priority: None,
        ..forward
    };
    let sent = Headers.forward_headers(&forged, &anonymous);
    assert!(!sent.contains_key("x-almondpath-tenant"));
    assert!(!sent.contains_key("x-almondpath-request-priority"));
}

/// Guards against prompt segments that are read in another order or with other lengths.
#[test]
fn request_headers_are_parsed_correctly() {
    let head = headers(&[
        ("x-almondpath-attempt-id", "9c41"),
        ("x-almondpath-deadline-ms", "6000"),
        ("x-almondpath-token-usage", "1460,80"),
        (
            "x-almondpath-prompt-prefix",
            "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
        ),
        ("last-event-id", "12"),
    ]);
    let metadata = Headers.parse_request(&head);
    assert_eq!(metadata.timeout, Some(Millis(6_000)));
    assert_eq!(metadata.resume_after, Some(12));
    let prompt = metadata.prompt.expect("a prompt");
    assert_eq!(prompt.total_tokens(), 1_540);
    let shared = [
        Segment {
            id: 0x5c1e_07a2,
            tokens: 800,
        },
        Segment {
            id: 0x91bd_3f06,
            tokens: 410,
        },
    ];
    assert_eq!(prompt.shared_segments(), shared);
    assert_eq!(prompt.affinity_key(), Some(0x91bd_3f06));
}
