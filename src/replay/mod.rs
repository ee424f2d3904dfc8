//! Replays a recorded trace through the policy code that serves, in virtual time.
//!
//! # Trace format
//!
//! JSON lines, one [`Line`] each, with the field `kind`:
//!
//! - `header`: `format` (1), `deployment`, `block_tokens` (64). The first line.
//! - `account`: `name`, `weight`.
//! - `endpoint`: `name`, `service`, `domain`, `price` per hour.
//! - `request`: `n` (number in order of arrival, from 0), `at_ms` (arrival after the start),
//!   `account`, `route`, `service`, `class`, `idempotent`, `deadline_ms` (from arrival),
//!   `prompt_tokens`, `blocks` (full prefix blocks of the prompt), `shared` (the earlier request
//!   `n` whose first `blocks` are the same; absent when nothing is shared), `output_tokens`
//!   (absent when the request did not finish).
//! - `reclaim`: `at_ms`, `notice_ms` (time between notice and loss), `endpoint`.
//!
//! No text and no hash of a text is recorded: a prompt is described by the blocks that it shares
//! with an earlier request. Lines are written when a request ends and may be out of order.

mod agenda;
mod cache;
mod driver;
mod engine;
mod event;
mod flight;
mod node;
mod options;
mod outcome;
mod recorder;
mod tally;
mod target;
mod trace;

pub use self::driver::Replay;
pub use self::engine::EngineModel;
pub use self::options::Options;
pub use self::outcome::{Outcome, Percentiles, Row};
pub use self::recorder::Recorder;
pub use self::target::{Comparison, compare};
pub use self::trace::{Account, Endpoint, Header, Line, Reclaim, Request, SharedPrefix, Trace};
