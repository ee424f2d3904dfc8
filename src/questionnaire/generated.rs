use std::fmt::Display;
use std::sync::Arc;

use crate::clock::Millis;
use crate::config::{self, Class, Config, Weights};

use super::{Account, Answers, Request, Service, Size};

/// Tokens per word of ordinary text, rounded up; a tokenizer yields about four for three words.
const TOKENS_PER_WORD: f64 = 1.5;

const SMALL_WEIGHT: f64 = 1.0;
const MEDIUM_WEIGHT: f64 = 2.0;
const LARGE_WEIGHT: f64 = 4.0;

/// Why a field of the configuration has its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Derivation {
    /// Path of the field in the configuration.
    pub path: String,
    /// The value.
    pub value: String,
    /// The answer and the rule behind it.
    pub reason: String,
}

/// A configuration and the reasons for its values.
#[derive(Clone, Debug, PartialEq)]
pub struct Generated {
    /// The configuration.
    pub config: Config,
    /// One entry for each derived value.
    pub derivations: Vec<Derivation>,
}

impl Generated {
    /// Generates the configuration of these answers.
    #[must_use]
    pub fn new(answers: &Answers) -> Self {
        let mut log = Vec::new();
        let config = Config {
            format: config::FORMAT,
            deployment: Arc::clone(&answers.deployment),
            weights: weights(answers, &mut log),
            failure_domains: answers.failure_domains.clone(),
            client_accounts: answers
                .client_accounts
                .iter()
                .map(|account| self::account(account, &mut log))
                .collect(),
            services: answers
                .services
                .iter()
                .map(|service| self::service(service, &mut log))
                .collect(),
            routes: answers
                .requests
                .iter()
                .map(|request| route(request, &mut log))
                .collect(),
        };
        Self {
            config,
            derivations: log,
        }
    }

    /// Returns the configuration as YAML, with the reasons as comments if `explain` is set.
    ///
    /// # Errors
    ///
    /// Fails when the configuration can't be serialized.
    pub fn to_yaml(&self, explain: bool) -> eyre::Result<String> {
        let mut text = String::from("# Generated from the questionnaire; change the answers.\n");
        if explain {
            for entry in &self.derivations {
                text.push_str(&format!(
                    "# {} = {}: {}\n",
                    entry.path, entry.value, entry.reason
                ));
            }
        }
        text.push_str(&serde_saphyr::to_string(&self.config)?);
        Ok(text)
    }
}

fn explain<V>(log: &mut Vec<Derivation>, path: String, value: V, reason: &str)
where
    V: Display,
{
    log.push(Derivation {
        path,
        value: value.to_string(),
        reason: reason.to_owned(),
    });
}

fn weights(answers: &Answers, log: &mut Vec<Derivation>) -> Weights {
    let sum = answers.cost_importance + answers.rollout_importance;
    if sum <= 0.0 {
        return Weights {
            cost: 0.0,
            rollout: 0.0,
        };
    }
    let weights = Weights {
        cost: answers.cost_importance / sum,
        rollout: answers.rollout_importance / sum,
    };
    let reason = "share of the stated importance";
    explain(log, "weights.cost".to_owned(), weights.cost, reason);
    explain(log, "weights.rollout".to_owned(), weights.rollout, reason);
    weights
}

fn account(answer: &Account, log: &mut Vec<Derivation>) -> config::Account {
    let (weight, reason) = match answer.size {
        Size::Small => (SMALL_WEIGHT, "a small account"),
        Size::Medium => (MEDIUM_WEIGHT, "a medium account counts twice"),
        Size::Large => (LARGE_WEIGHT, "a large account counts four times"),
    };
    let path = format!("client_accounts.{}.weight", answer.name);
    explain(log, path, weight, reason);
    config::Account {
        name: Arc::clone(&answer.name),
        weight,
        limit_cost_per_s: answer.limit_cost_per_s,
    }
}

fn service(answer: &Service, log: &mut Vec<Derivation>) -> config::Service {
    let deadline = Millis(answer.rollout_within_min.saturating_mul(60_000));
    let path = format!("services.{}.rollout_deadline_ms", answer.name);
    let reason = format!("rollouts finish within {} min", answer.rollout_within_min);
    explain(log, path, deadline.0, &reason);
    config::Service {
        name: Arc::clone(&answer.name),
        kind: answer.kind,
        version: Arc::clone(&answer.version),
        rollout_deadline_ms: deadline,
        checks_fencing: answer.checks_fencing,
    }
}

fn route(answer: &Request, log: &mut Vec<Derivation>) -> config::Route {
    let path = |field: &str| format!("routes.{}.{field}", answer.name);
    let (class, name, reason) = if answer.someone_waits {
        (
            Class::Interactive,
            "interactive",
            "somebody waits for the answer",
        )
    } else {
        (
            Class::Long,
            "long",
            "nobody waits, so it yields to interactive work",
        )
    };
    explain(log, path("class"), name, reason);
    let deadline = Millis((answer.answer_within_s * 1_000.0).ceil() as u64);
    let reason = format!("the answer is needed within {} s", answer.answer_within_s);
    explain(log, path("deadline_ms"), deadline.0, &reason);
    let reason = if answer.may_repeat {
        "it may be repeated, so a failed attempt is retried"
    } else {
        "it must not be repeated, so callers send an idempotency key"
    };
    explain(log, path("idempotent"), answer.may_repeat, reason);
    let max_tokens = answer.longest_answer_words.map_or(0, |words| {
        let tokens = (words as f64 * TOKENS_PER_WORD).ceil() as u32;
        let reason = format!("{words} words at {TOKENS_PER_WORD} tokens each");
        explain(log, path("max_tokens"), tokens, &reason);
        tokens
    });
    config::Route {
        name: Arc::clone(&answer.name),
        service: Arc::clone(&answer.service),
        class,
        idempotent: answer.may_repeat,
        deadline_ms: deadline,
        max_tokens,
        status_route: answer.status_request.clone(),
    }
}
