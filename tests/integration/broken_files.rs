//! Validation of answers, configurations, settings and token files.

use almondpath::access::Tokens;
use almondpath::config::Config;
use almondpath::document::{Document, Problems};
use almondpath::peer;
use almondpath::questionnaire::{Answers, Generated};
use almondpath::settings;
use proptest::prelude::*;

use crate::harness::seeded_config;

const ANSWERS: &str = include_str!("../../examples/ikeja/answers.yaml");
const CONFIG: &str = include_str!("../../examples/dev/config.yaml");
const TOKENS: &str = include_str!("../../examples/dev/tokens.yaml");
const PEER_TOKENS: &str = include_str!("../../examples/dev/peer_tokens.yaml");
const SETTINGS: &str = "\
name: node-1
failure_domain: a
listen: 127.0.0.1:7001
admin: 127.0.0.1:7101
peer: 127.0.0.1:7201
seeds: ['127.0.0.1:7202']
log_service: 127.0.0.1:7300
platform: 127.0.0.1:7301
token_file: tokens.yaml
";

#[derive(Clone, Copy, Debug)]
enum Kind {
    Answers,
    Config,
    Settings,
    Tokens,
    PeerTokens,
}

impl Kind {
    /// Returns a valid file of this kind.
    fn valid_text(self) -> &'static str {
        match self {
            Self::Answers => ANSWERS,
            Self::Config => CONFIG,
            Self::Settings => SETTINGS,
            Self::Tokens => TOKENS,
            Self::PeerTokens => PEER_TOKENS,
        }
    }

    fn validate(self, text: &str) -> Result<(), Problems> {
        let document = Document::parse("file.yaml", text)?;
        match self {
            Self::Answers => Answers::from_document(&document).map(drop),
            Self::Config => Config::from_document(&document).map(drop),
            Self::Settings => settings::Node::from_document(&document).map(drop),
            Self::Tokens => Tokens::from_document(&document).map(drop),
            Self::PeerTokens => peer::Tokens::from_document(&document).map(drop),
        }
    }
}

/// Edits that make a valid file invalid, and the problems that must be reported.
struct Case {
    kind: Kind,
    /// Pairs of a text that occurs in the valid file and its replacement.
    edits: &'static [(&'static str, &'static str)],
    /// Line and path of each problem, sorted by position.
    problems: &'static [(u64, &'static str)],
}

const CASES: &[Case] = &[
    Case {
        kind: Kind::Settings,
        edits: &[("listen: 127.0.0.1:7001", "listen: here")],
        problems: &[(3, "listen")],
    },
    Case {
        kind: Kind::Settings,
        edits: &[("name: node-1\n", "")],
        problems: &[(1, "name")],
    },
    Case {
        kind: Kind::Settings,
        edits: &[("failure_domain: a", "failure_domain:")],
        problems: &[(2, "failure_domain")],
    },
    Case {
        kind: Kind::Settings,
        edits: &[("7101", "7001"), ("7201", "7001")],
        problems: &[(4, "admin"), (5, "peer")],
    },
    Case {
        kind: Kind::Settings,
        edits: &[("seeds: ['127.0.0.1:7202']", "seeds: [a, '1.2.3.4:5', b]")],
        problems: &[(6, "seeds[0]"), (6, "seeds[2]")],
    },
    Case {
        kind: Kind::Settings,
        edits: &[("seeds: ['127.0.0.1:7202']", "seeds: none")],
        problems: &[(6, "seeds")],
    },
    Case {
        kind: Kind::Settings,
        edits: &[(
            "token_file: tokens.yaml",
            "token_fiel: x\nstall_ms: -1\nbody_limit_bytes: 0",
        )],
        problems: &[
            (1, "token_file"),
            (9, "token_fiel"),
            (10, "stall_ms"),
            (11, "body_limit_bytes"),
        ],
    },
    Case {
        kind: Kind::Settings,
        edits: &[("name: node-1", "name: [node")],
        problems: &[(2, "")],
    },
    Case {
        kind: Kind::Settings,
        edits: &[("failure_domain: a", "name: again")],
        problems: &[(2, "")],
    },
    Case {
        kind: Kind::Config,
        edits: &[("format: 1", "format: 99")],
        problems: &[(2, "format")],
    },
    Case {
        kind: Kind::Config,
        edits: &[("cost: 0.5", "cost: 2"), ("rollout: 0.5", "rollout: high")],
        problems: &[(4, "weights.cost"), (4, "weights.rollout")],
    },
    Case {
        kind: Kind::Config,
        edits: &[("cost: 0.5", "cost: 0"), ("rollout: 0.5", "rollout: 0")],
        problems: &[(4, "weights")],
    },
    Case {
        kind: Kind::Config,
        edits: &[("failure_domains: [a]", "failure_domains: [a, a, 'B c']")],
        problems: &[(5, "failure_domains[1]"), (5, "failure_domains[2]")],
    },
    Case {
        kind: Kind::Config,
        edits: &[("failure_domains: [a]", "failure_domains: []")],
        problems: &[(5, "failure_domains")],
    },
    Case {
        kind: Kind::Config,
        edits: &[("weight: 1.0", "weight: 0")],
        problems: &[(7, "client_accounts[0].weight")],
    },
    Case {
        kind: Kind::Config,
        edits: &[("weight: 1.0", "weight: 1.0, limit_cost_per_s: .nan")],
        problems: &[(7, "")],
    },
    Case {
        kind: Kind::Config,
        edits: &[("kind: model", "kind: engine")],
        problems: &[
            (10, "services[0].kind"),
            (20, "routes[0].max_tokens"),
            (21, "routes[1].max_tokens"),
        ],
    },
    Case {
        kind: Kind::Config,
        edits: &[("- name: ledger", "- name: text")],
        problems: &[
            (14, "services[1].name"),
            (22, "routes[2].service"),
            (23, "routes[3].service"),
        ],
    },
    Case {
        kind: Kind::Config,
        edits: &[("service: text, class: long", "service: txt, class: slow")],
        problems: &[(21, "routes[1].service"), (21, "routes[1].class")],
    },
    Case {
        kind: Kind::Config,
        edits: &[
            ("deadline_ms: 5000", "deadline_ms: 0"),
            ("idempotent: false", "idempotent: maybe"),
        ],
        problems: &[(22, "routes[2].deadline_ms"), (23, "routes[3].idempotent")],
    },
    Case {
        kind: Kind::Config,
        edits: &[
            (", max_tokens: 256", ""),
            ("deadline_ms: 5000", "deadline_ms: 5000, max_tokens: 9"),
        ],
        problems: &[(20, "routes[0].max_tokens"), (22, "routes[2].max_tokens")],
    },
    Case {
        kind: Kind::Config,
        edits: &[(
            "deadline_ms: 10000",
            "deadline_ms: 10000, status_route: question",
        )],
        problems: &[(23, "routes[3].status_route")],
    },
    Case {
        kind: Kind::Config,
        edits: &[("rollout_deadline_ms: 600000", "rollout_deadline_ms: soon")],
        problems: &[(12, "services[0].rollout_deadline_ms")],
    },
    Case {
        kind: Kind::Answers,
        edits: &[("may_repeat: true", "may_repeat: false")],
        problems: &[(27, "requests[0].may_repeat")],
    },
    Case {
        kind: Kind::Answers,
        edits: &[
            ("longest_answer_words: 300", "longest_answer_words: 0"),
            ("size: large", "size: huge"),
        ],
        problems: &[
            (7, "client_accounts[0].size"),
            (29, "requests[0].longest_answer_words"),
        ],
    },
    Case {
        kind: Kind::Answers,
        edits: &[("status_request: status", "status_request: chat")],
        problems: &[(52, "requests[4].status_request")],
    },
    Case {
        kind: Kind::Answers,
        edits: &[("importance: {cost: 3, rollout: 1}", "importance: 3")],
        problems: &[(4, "importance")],
    },
    Case {
        kind: Kind::Answers,
        edits: &[("someone_waits: true", "someone_wait: true")],
        problems: &[
            (24, "requests[0].someone_waits"),
            (26, "requests[0].someone_wait"),
        ],
    },
    Case {
        kind: Kind::Tokens,
        edits: &[("demo: demo-token", "demo: [demo-token]")],
        problems: &[(3, "client_accounts.demo")],
    },
    Case {
        kind: Kind::Tokens,
        edits: &[("dev: dev-operator-token", "dev: demo-token")],
        problems: &[(3, "client_accounts")],
    },
];

/// Guards against validation that stops at the first problem, misses a problem or reports a wrong
/// position.
#[test]
fn every_problem_is_reported_with_its_position() {
    let mut failures = Vec::new();
    for (index, case) in CASES.iter().enumerate() {
        let mut text = case.kind.valid_text().to_owned();
        for (valid, invalid) in case.edits {
            assert!(
                text.contains(valid),
                "case {index}: `{valid}` is not in the file"
            );
            text = text.replacen(valid, invalid, 1);
        }
        let Err(problems) = case.kind.validate(&text) else {
            failures.push(format!("case {index} is accepted"));
            continue;
        };
        let found: Vec<_> = problems
            .list
            .iter()
            .map(|problem| (problem.line, problem.issue.path.as_str()))
            .collect();
        let have_columns = problems.list.iter().all(|problem| problem.column > 0);
        if found != case.problems || !have_columns {
            let expected = case.problems;
            failures.push(format!(
                "case {index}: expected {expected:?}, found\n{problems}"
            ));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against valid example files being rejected.
#[test]
fn valid_files_are_accepted() {
    let kinds = [
        Kind::Answers,
        Kind::Config,
        Kind::Settings,
        Kind::Tokens,
        Kind::PeerTokens,
    ];
    for kind in kinds {
        kind.validate(kind.valid_text())
            .unwrap_or_else(|p| panic!("{kind:?}: {p}"));
    }
}

/// Guards against a setting that is missing from the reference documentation.
#[test]
fn every_setting_is_documented() {
    let page = include_str!("../../docs/configuration.md");
    let text = format!("{SETTINGS}unknown: 1\n");
    let problems = Kind::Settings.validate(&text).expect_err("an unknown key");
    let message = &problems.list[0].issue.message;
    let keys: Vec<_> = message.split('`').skip(1).step_by(2).collect();
    assert!(keys.len() > 20, "{message}");
    for key in keys {
        assert!(
            page.contains(&format!("`{key}`")),
            "{key} is not documented"
        );
    }
    Kind::Settings
        .validate(include_str!("../../examples/node.yaml"))
        .unwrap_or_else(|problems| panic!("{problems}"));
}

/// Guards against tokens in error messages, which may be logged.
#[test]
fn messages_never_contain_a_token() {
    for (kind, valid, invalid) in [
        (Kind::Tokens, "demo: demo-token", "demo: {secret-token: 1}"),
        (
            Kind::Tokens,
            "dev: dev-operator-token",
            "dev: [secret-token]",
        ),
        (
            Kind::Tokens,
            "operators:",
            "operators: secret-token\nothers:",
        ),
        (
            Kind::PeerTokens,
            "dev: dev-peer-token",
            "a: secret-token\n  b: secret-token",
        ),
        (
            Kind::PeerTokens,
            "dev: dev-peer-token",
            "dev: [secret-token]",
        ),
    ] {
        let text = kind.valid_text().replacen(valid, invalid, 1);
        let message = kind
            .validate(&text)
            .expect_err("the file is invalid")
            .to_string();
        assert!(!message.contains("secret-token"), "{message}");
    }
}

/// Guards against generated configurations that are invalid or that change when they are written as
/// YAML and read again.
#[test]
fn generated_configurations_are_valid() {
    let answers = [
        ANSWERS,
        include_str!("../../examples/canelones/answers.yaml"),
        include_str!("../../examples/library/answers.yaml"),
    ];
    for text in answers {
        let document = Document::parse("answers.yaml", text).expect("valid YAML");
        let generated = Generated::new(&Answers::from_document(&document).expect("valid answers"));
        for explain in [false, true] {
            let yaml = generated.to_yaml(explain).expect("it serializes");
            let document = Document::parse("config.yaml", &yaml).expect("valid YAML");
            let config = Config::from_document(&document).expect("a valid configuration");
            assert_eq!(config, generated.config);
        }
    }
}

proptest! {
    #![proptest_config(seeded_config(512))]

    /// Guards against a panic on corrupted files.
    #[test]
    fn corrupted_files_never_panic(
        kind in prop_oneof![
            Just(Kind::Answers), Just(Kind::Config), Just(Kind::Settings), Just(Kind::Tokens)
        ],
        cut in any::<prop::sample::Index>(),
        length in 0_usize..40,
        insert in "[-\\[\\]{}:,&*!|>'\"#%@` a-z0-9\\n\\t\\\\.]{0,12}",
    ) {
        let mut text = kind.valid_text().to_owned();
        let start = cut.index(text.len());
        let end = (start + length).min(text.len());
        text.replace_range(start..end, &insert);
        let _ = kind.validate(&text);
    }
}
