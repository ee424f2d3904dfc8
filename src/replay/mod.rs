//! Replays a recorded trace in virtual time, with the policy code that also serves requests.
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
//!   `n` whose first `blocks` blocks are the same; absent when no prefix is shared), `output_tokens`
//!   (absent when the request did not finish).
//! - `reclaim`: `at_ms` (loss of the host after the start), `notice_ms` (time between notice and
//!   loss), `endpoint`.
//!
//! A trace contains neither prompt text nor hashes of it: a prompt is described by the blocks that it
//! shares with an earlier request. The line of a request is written when the request ends, so the
//! lines may be out of order of arrival.

mod cache;
mod comparison;
mod driver;
mod engine;
mod event;
mod event_queue;
mod node;
mod options;
mod outcome;
mod recorder;
mod request_state;
mod stats;
mod trace;

pub use self::comparison::{Comparison, compare};
pub use self::driver::Replay;
pub use self::engine::EngineModel;
pub use self::options::Options;
pub use self::outcome::{Outcome, Percentiles, Row};
pub use self::recorder::Recorder;
pub use self::trace::{Account, Endpoint, Header, Line, Reclaim, Request, SharedPrefix, Trace};
