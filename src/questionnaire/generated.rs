use std::fmt::Display;
use std::sync::Arc;

use crate::clock::Millis;
use crate::config::{self, Class, Config, Weights};

use super::{Account, Answers, Request, Service, Size};

/// Tokens per word of ordinary text. Tokenizers produce about four tokens for three words; this is
/// rounded up.
const TOKENS_PER_WORD: f64 = 1.5;

const SMALL_WEIGHT: f64 = 1.0;
const MEDIUM_WEIGHT: f64 = 2.0;
const LARGE_WEIGHT: f64 = 4.0;

/// The value of a configuration field and the reason for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Derivation {
    /// Path of the field in the configuration.
    pub path: String,
    /// Value of the field.
    pub value: String,
    /// The answer and the rule from which the value is derived.
    pub reason: String,
}

/// A configuration generated from answers, with the reasons for its values.
#[derive(Clone, Debug, PartialEq)]
pub struct Generated {
    /// The configuration.
    pub config: Config,
    /// One entry for each derived value.
    pub derivations: Vec<Derivation>,
}

impl Generated {
    /// Generates the configuration for the answers.
    #[must_use]
    pub fn new(answers: &Answers) -> Self {
        let mut derivations = Vec::new();
        let config = Config {
            format: config::FORMAT,
            deployment: Arc::clone(&answers.deployment),
            weights: derive_weights(answers, &mut derivations),
            failure_domains: answers.failure_domains.clone(),
            client_accounts: answers
                .client_accounts
                .iter()
                .map(|account| derive_account(account, &mut derivations))
                .collect(),
            services: answers
                .services
                .iter()
                .map(|service| derive_service(service, &mut derivations))
                .collect(),
            routes: answers
                .requests
                .iter()
                .map(|request| derive_route(request, &mut derivations))
                .collect(),
        };
        Self {
            config,
            derivations,
        }
    }

    /// Returns the configuration as YAML, with the derivations as comments if `explain` is set.
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

fn record_derivation<V>(derivations: &mut Vec<Derivation>, path: String, value: V, reason: &str)
where
    V: Display,
{
    derivations.push(Derivation {
        path,
        value: value.to_string(),
        reason: reason.to_owned(),
    });
}

fn derive_weights(answers: &Answers, derivations: &mut Vec<Derivation>) -> Weights {
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
    let reason = "importance as a share of the total importance";
    record_derivation(derivations, "weights.cost".to_owned(), weights.cost, reason);
    record_derivation(
        derivations,
        "weights.rollout".to_owned(),
        weights.rollout,
        reason,
    );
    weights
}

fn derive_account(answer: &Account, derivations: &mut Vec<Derivation>) -> config::Account {
    let (weight, reason) = match answer.size {
        Size::Small => (SMALL_WEIGHT, "base weight of a small account"),
        Size::Medium => (
            MEDIUM_WEIGHT,
            "a medium account gets twice the weight of a small one",
        ),
        Size::Large => (
            LARGE_WEIGHT,
            "a large account gets four times the weight of a small one",
        ),
    };
    let path = format!("client_accounts.{}.weight", answer.name);
    record_derivation(derivations, path, weight, reason);
    config::Account {
        name: Arc::clone(&answer.name),
        weight,
        limit_cost_per_s: answer.limit_cost_per_s,
    }
}

fn derive_service(answer: &Service, derivations: &mut Vec<Derivation>) -> config::Service {
    let deadline = Millis(answer.rollout_within_min.saturating_mul(60_000));
    let path = format!("services.{}.rollout_deadline_ms", answer.name);
    let reason = format!(
        "rollouts must finish within {} min",
        answer.rollout_within_min
    );
    record_derivation(derivations, path, deadline.0, &reason);
    config::Service {
        name: Arc::clone(&answer.name),
        kind: answer.kind,
        version: Arc::clone(&answer.version),
        rollout_deadline_ms: deadline,
        checks_fencing: answer.checks_fencing,
    }
}

fn derive_route(answer: &Request, derivations: &mut Vec<Derivation>) -> config::Route {
    let path = |field: &str| format!("routes.{}.{field}", answer.name);
    let (class, name, reason) = if answer.someone_waits {
        (
            Class::Interactive,
            "interactive",
            "a user waits for the response",
        )
    } else {
        (
            Class::Long,
            "long",
            "no user waits, so it yields to interactive requests",
        )
    };
    record_derivation(derivations, path("class"), name, reason);
    let deadline = Millis((answer.answer_within_s * 1_000.0).ceil() as u64);
    let reason = format!("the response is needed within {} s", answer.answer_within_s);
    record_derivation(derivations, path("deadline_ms"), deadline.0, &reason);
    let reason = if answer.may_repeat {
        "it may run more than once, so a failed attempt is retried"
    } else {
        "it must not run more than once, so callers send an idempotency key"
    };
    record_derivation(derivations, path("idempotent"), answer.may_repeat, reason);
    let max_tokens = answer.longest_answer_words.map_or(0, |words| {
        let tokens = (words as f64 * TOKENS_PER_WORD).ceil() as u32;
        let reason = format!("{words} words at {TOKENS_PER_WORD} tokens each");
        record_derivation(derivations, path("max_tokens"), tokens, &reason);
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
