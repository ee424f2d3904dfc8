//! Each caller gets the complete response to its own request, from one sampling.

use almondpath::standin::token_text;
use almondpath::stream::{Chunk, Cursor, Phase, Progress, Transcript};
use proptest::prelude::*;

use crate::harness::seeded;

/// One step of a response's life at a chain of holders, in arbitrary order.
#[derive(Clone, Debug)]
enum Step {
    Begin,
    Generate(u8),
    LateChunk(u8),
    OutOfOrder(u8),
    Replicate,
    /// The backup copy takes over; the caller goes there when the flag is set.
    TakeOver(u16, bool),
    Read,
    /// The caller goes back to an earlier holder, which was only paused.
    GoBack,
}

#[derive(Default)]
struct Model {
    holders: Vec<Transcript>,
    copy: Transcript,
    caller: Vec<String>,
    cursor: Cursor,
    at: usize,
}

impl Model {
    fn step(&mut self, step: &Step) {
        let last = self.holders.len() - 1;
        let holder = &mut self.holders[last];
        match *step {
            Step::Begin => {
                holder.begin();
            }
            Step::Generate(count) => {
                for _ in 0..count {
                    let chunk = next_chunk(holder);
                    holder.push(&chunk);
                }
            }
            Step::LateChunk(back) => {
                let attempt = holder.attempt().saturating_sub(u32::from(back) + 1);
                let chunk = Chunk {
                    attempt,
                    ..next_chunk(holder)
                };
                assert!(!holder.push(&chunk), "a chunk of an earlier attempt counts");
            }
            Step::OutOfOrder(ahead) => {
                let mut chunk = next_chunk(holder);
                chunk.offset += u32::from(ahead) + 1;
                assert!(!holder.push(&chunk), "a chunk left a gap");
            }
            Step::Replicate => {
                let progress = progress(holder, self.copy.len().min(holder.len()));
                assert!(self.copy.apply(&progress));
            }
            Step::TakeOver(salt, follow) => {
                let mut copy = self.copy.clone();
                copy.take_over(salt);
                self.holders.push(copy);
                if follow {
                    self.at = last + 1;
                }
            }
            Step::GoBack => self.at = self.at.saturating_sub(1),
            Step::Read => self.read(),
        }
    }

    fn read(&mut self) {
        let batch = self.holders[self.at].read(self.cursor);
        if let Some(restart) = batch.restart {
            assert!(restart.offset <= self.cursor.offset);
            self.caller.truncate(restart.offset as usize);
        }
        for chunk in &batch.chunks {
            assert_eq!(chunk.offset as usize, self.caller.len());
            self.caller.push(chunk.text.to_string());
        }
        self.cursor = batch.cursor;
        assert_one_sampling(&self.caller);
    }
}

fn next_chunk(transcript: &Transcript) -> Chunk {
    let length = transcript.len();
    let last = transcript.texts(length.saturating_sub(1)).next();
    let sampling = format!("{:08x}", transcript.attempt());
    Chunk {
        attempt: transcript.attempt(),
        offset: length,
        text: token_text(length as usize, &sampling, last),
    }
}

fn progress(transcript: &Transcript, offset: u32) -> Progress {
    Progress {
        id: uuid::Uuid::nil(),
        runs: transcript.runs().to_vec(),
        offset,
        texts: transcript.texts(offset).map(String::from).collect(),
        source: None,
        phase: Phase::Running,
    }
}

/// Asserts that each token continues the one before it.
pub(crate) fn assert_one_sampling<T>(tokens: &[T])
where
    T: AsRef<str>,
{
    let mut previous = None;
    for (offset, text) in tokens.iter().enumerate() {
        let text = text.as_ref();
        let sampling = text.split('.').nth(1).expect("a token names its sampling");
        let expected = token_text(offset, sampling, previous);
        assert_eq!(
            text, &*expected,
            "token {offset} continues another sampling"
        );
        previous = Some(text);
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => Just(Step::Begin),
        4 => (1..6_u8).prop_map(Step::Generate),
        1 => (0..3_u8).prop_map(Step::LateChunk),
        1 => (0..3_u8).prop_map(Step::OutOfOrder),
        3 => Just(Step::Replicate),
        1 => (any::<u16>(), any::<bool>()).prop_map(|(salt, go)| Step::TakeOver(salt, go)),
        4 => Just(Step::Read),
        1 => Just(Step::GoBack),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(seeded(2000))]

    /// Guards against a response that joins two samplings, or loses or repeats a chunk, when
    /// holders change, copies lag, and a paused holder comes back.
    #[test]
    fn a_caller_never_joins_two_samplings(steps in steps()) {
        let mut model = Model { holders: vec![Transcript::default()], ..Model::default() };
        model.holders[0].begin();
        for step in &steps {
            model.step(step);
        }
        // At the end the caller follows the last holder, which completes the response.
        model.at = model.holders.len() - 1;
        model.step(&Step::Begin);
        model.step(&Step::Generate(3));
        model.holders[model.at].finish(Phase::Done);
        model.read();
        let all: Vec<String> = model.holders[model.at].texts(0).map(String::from).collect();
        prop_assert_eq!(&model.caller, &all);
    }

    /// Guards against a caller that tells only its offset, as a browser does, and gets the rest of
    /// another sampling from a node that took over with a shorter copy.
    #[test]
    fn an_offset_alone_is_enough_after_a_takeover(
        owned in 0..20_u8, copied in 0..20_u8, generated in 0..20_u8, new_attempt: bool, salt: u16,
    ) {
        let mut model = Model { holders: vec![Transcript::default()], ..Model::default() };
        model.step(&Step::Begin);
        model.step(&Step::Generate(copied.min(owned)));
        model.step(&Step::Replicate);
        model.step(&Step::Generate(owned - copied.min(owned)));
        model.step(&Step::Read);
        model.step(&Step::TakeOver(salt, true));
        if new_attempt {
            model.step(&Step::Begin);
        }
        model.step(&Step::Generate(generated));
        model.cursor.attempt = None;
        model.step(&Step::Read);
        let length = model.holders[1].len() as usize;
        prop_assert_eq!(model.caller.len(), length);
    }
}
