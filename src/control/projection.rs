use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{Config, FORMAT};
use crate::log::Offset;

use super::{Record, Rollouts};

/// The active configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Active {
    /// Version, which is the offset of the record that published it.
    pub version: Offset,
    /// Name of the operator who published it.
    pub operator: Arc<str>,
    /// The configuration.
    pub config: Arc<Config>,
}

/// Result of applying a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The precondition held and the record took effect.
    Applied,
    /// The record has no effect, for this reason.
    Rejected(String),
}

/// State of the `control` stream up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Projection {
    next: Offset,
    active: Option<Active>,
    #[serde(default)]
    rollouts: Rollouts,
}

impl Projection {
    /// Returns the offset of the next record to apply.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the active configuration, if one was published.
    #[must_use]
    pub fn active(&self) -> Option<&Active> {
        self.active.as_ref()
    }

    /// Returns the rollouts and claims.
    #[must_use]
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Applies the record at `offset`; a record that was already applied has no effect.
    pub fn apply(&mut self, offset: Offset, text: &str) -> Outcome {
        if offset < self.next {
            return Outcome::Rejected(format!("the record at offset {offset} is already applied"));
        }
        self.next = offset.next();
        match serde_json::from_str(text) {
            Ok(Record::Publish {
                base,
                operator,
                config,
                ..
            }) => self.publish(offset, base, operator, *config),
            // This reader already has the state that the checkpoint holds.
            Ok(Record::Checkpoint(_)) => Outcome::Applied,
            Ok(Record::Change(change)) => {
                let config = self.active.as_ref().map(|active| &*active.config);
                self.rollouts.apply(offset, change, config)
            }
            Err(error) => Outcome::Rejected(format!("not a control record: {error}")),
        }
    }

    fn publish(
        &mut self,
        offset: Offset,
        base: Option<Offset>,
        operator: Arc<str>,
        config: Config,
    ) -> Outcome {
        let current = self.active.as_ref().map(|active| active.version);
        if base != current {
            let winner = self.active.as_ref().map_or("nobody", |a| &*a.operator);
            return Outcome::Rejected(format!("{winner} published another version first"));
        }
        if config.format > FORMAT {
            return Outcome::Rejected(format!(
                "format {} is newer than {FORMAT}, the newest this program reads",
                config.format
            ));
        }
        if let Some(issue) = config.validate().first() {
            return Outcome::Rejected(format!("{}: {}", issue.path, issue.message));
        }
        self.rollouts.apply_config(&config);
        self.active = Some(Active {
            version: offset,
            operator,
            config: Arc::new(config),
        });
        Outcome::Applied
    }
}
