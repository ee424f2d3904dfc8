//! The state of the `calls-*` streams under arbitrary order, loss, delay and duplication.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use almondpath::clock::Millis;
use almondpath::ledger::{
    Action, Assembler, Call, Digest, Effect, Key, NextStep, Outcome, Part, Projection, Record,
    State,
};
use almondpath::log::Offset;
use almondpath::log::writer::{Encode, Group, Queue};
use proptest::prelude::*;

use crate::harness::seeded_config;

const NOW: Millis = Millis(1_900_000_000_000);
const RETRY_WINDOW: Millis = Millis(600_000);
const KEYS: u64 = 3;
const WRITERS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Start {
        writer: usize,
        key: u64,
        body: u8,
    },
    Void {
        writer: usize,
        key: u64,
        body: u8,
    },
    Append {
        writer: usize,
        result: AppendResult,
    },
    DeliverLate {
        index: usize,
        again: bool,
    },
    Read {
        writer: usize,
        records: usize,
        connection_refused: bool,
    },
    Abandon {
        writer: usize,
    },
    Finish {
        writer: usize,
    },
    Checkpoint {
        writer: usize,
    },
    Restart {
        writer: usize,
    },
}

/// What happens to an append at the log service.
#[derive(Clone, Copy, Debug)]
enum AppendResult {
    Done,
    Twice,
    ResponseLost,
    Late,
    Lost,
}

fn step() -> impl Strategy<Value = Step> {
    let writer = 0..WRITERS;
    let result = prop_oneof![
        4 => Just(AppendResult::Done),
        1 => Just(AppendResult::Twice),
        1 => Just(AppendResult::ResponseLost),
        2 => Just(AppendResult::Late),
        1 => Just(AppendResult::Lost),
    ];
    prop_oneof![
        4 => (writer.clone(), 0..KEYS, 0..2_u8)
            .prop_map(|(writer, key, body)| Step::Start { writer, key, body }),
        1 => (writer.clone(), 0..KEYS, 0..2_u8)
            .prop_map(|(writer, key, body)| Step::Void { writer, key, body }),
        5 => (writer.clone(), result)
            .prop_map(|(writer, result)| Step::Append { writer, result }),
        2 => (any::<usize>(), any::<bool>())
            .prop_map(|(index, again)| Step::DeliverLate { index, again }),
        6 => (writer.clone(), 1..6_usize, prop::bool::weighted(0.2))
            .prop_map(|(writer, records, connection_refused)| Step::Read {
                writer,
                records,
                connection_refused,
            }),
        1 => writer.clone().prop_map(|writer| Step::Abandon { writer }),
        2 => writer.clone().prop_map(|writer| Step::Finish { writer }),
        1 => writer.clone().prop_map(|writer| Step::Checkpoint { writer }),
        1 => writer.prop_map(|writer| Step::Restart { writer }),
    ]
}

#[derive(Clone, Debug)]
struct Waiter {
    key: Key,
    digest: Digest,
    void: bool,
}

struct Writer {
    queue: Queue<Action, Waiter>,
    projection: Projection,
    /// Keys whose next `dispatch` takes effect too late to send the call.
    abandoned: BTreeSet<Key>,
    /// Calls that were sent, with the sequence number of the `dispatch` record.
    sent: Vec<(Key, u64)>,
}

#[derive(Default)]
struct Simulation {
    log: Vec<Arc<str>>,
    late: Vec<Vec<Arc<str>>>,
    writers: Vec<Writer>,
    incarnations: u64,
    executions: BTreeMap<Key, u32>,
    not_run: BTreeSet<Key>,
    reused: BTreeSet<(Key, Digest)>,
    ran: BTreeSet<(Key, Digest)>,
}

fn key(number: u64) -> Key {
    Key::new(NOW, number << 8)
}

fn digest(body: u8) -> Digest {
    Digest::of("demo", "payout", &[body])
}

fn accept(key: Key, digest: Digest) -> Action {
    Action::Accept {
        key,
        digest,
        call: Box::new(Call {
            account: "demo".into(),
            route: "payout".into(),
            deadline: NOW + Millis(10_000),
            body: None,
        }),
        horizon: almondpath::ledger::horizon(NOW, RETRY_WINDOW),
    }
}

fn dispatch(key: Key, digest: Digest) -> Action {
    Action::Dispatch {
        key,
        digest,
        endpoint: "host-0".into(),
    }
}

fn void(key: Key, digest: Digest) -> Action {
    Action::Void {
        key,
        digest,
        horizon: almondpath::ledger::horizon(NOW, RETRY_WINDOW),
    }
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self::default();
        for _ in 0..WRITERS {
            let writer = simulation.writer();
            simulation.writers.push(writer);
        }
        simulation
    }

    fn writer(&mut self) -> Writer {
        self.incarnations += 1;
        Writer {
            queue: Queue::new(self.incarnations, 1_000),
            projection: self.bootstrap(),
            abandoned: BTreeSet::new(),
            sent: Vec::new(),
        }
    }

    /// Starts from the last complete checkpoint, like a reader after a gap.
    fn bootstrap(&self) -> Projection {
        let mut assembler = Assembler::default();
        let mut projection = Projection::default();
        for text in &self.log {
            let record: Record = serde_json::from_str(text).expect("a record");
            if let Action::Checkpoint(part) = record.action
                && let Some(state) = assembler.add(record.writer, *part)
            {
                projection = state;
            }
        }
        projection
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Start {
                writer,
                key: number,
                body,
            } => self.start(writer, key(number), digest(body)),
            Step::Void {
                writer,
                key: number,
                body,
            } => {
                let group = group_with_waiter(key(number), digest(body), true)
                    .once(void(key(number), digest(body)));
                self.writers[writer].queue.submit_unbounded(group);
            }
            Step::Append { writer, result } => self.append(writer, result),
            Step::DeliverLate { index, again } => {
                if !self.late.is_empty() {
                    let index = index % self.late.len();
                    let texts = if again {
                        self.late[index].clone()
                    } else {
                        self.late.swap_remove(index)
                    };
                    self.log.extend(texts);
                }
            }
            Step::Read {
                writer,
                records,
                connection_refused,
            } => self.read(writer, records, connection_refused),
            Step::Abandon { writer } => {
                let this = &mut self.writers[writer];
                this.abandoned = (0..KEYS).map(key).collect();
            }
            Step::Finish { writer } => self.finish(writer),
            Step::Checkpoint { writer } => {
                let this = &mut self.writers[writer];
                let parts = Part::split(&this.projection).into_iter();
                let group = parts.fold(Group::default(), |group, part| {
                    group.once(Action::Checkpoint(Box::new(part)))
                });
                this.queue.submit_unbounded(group);
            }
            Step::Restart { writer } => self.writers[writer] = self.writer(),
        }
    }

    fn start(&mut self, writer: usize, key: Key, digest: Digest) {
        let this = &mut self.writers[writer];
        let group = group_with_waiter(key, digest, false);
        match NextStep::new(&this.projection, key, digest) {
            NextStep::Accept => this
                .queue
                .submit_unbounded(group.once(accept(key, digest)).once(dispatch(key, digest))),
            NextStep::Dispatch => this
                .queue
                .submit_unbounded(group.once(dispatch(key, digest))),
            NextStep::Void => {
                self.not_run.insert(key);
            }
            NextStep::Reused => {
                self.reused.insert((key, digest));
            }
            NextStep::Await(_) | NextStep::Finished(_) => {}
            NextStep::Expired | NextStep::Full => panic!("no key in this test expires"),
        }
    }

    fn append(&mut self, writer: usize, result: AppendResult) {
        let queue = &mut self.writers[writer].queue;
        let Some(batch) = queue.take_batch(NOW, 100, 1 << 20) else {
            return;
        };
        let texts = batch.texts.clone();
        match result {
            AppendResult::Done => self.log.extend(texts),
            AppendResult::Twice => {
                self.log.extend(texts.iter().cloned());
                self.late.push(texts);
            }
            AppendResult::ResponseLost => {
                self.log.extend(texts);
                queue.append_failed(batch);
            }
            AppendResult::Late => {
                self.late.push(texts);
                queue.append_failed(batch);
            }
            AppendResult::Lost => queue.append_failed(batch),
        }
    }

    fn read(&mut self, writer: usize, records: usize, connection_refused: bool) {
        for _ in 0..records {
            let this = &mut self.writers[writer];
            let offset = this.projection.next_offset();
            let Some(text) = self.log.get(usize::try_from(offset.0).expect("small")) else {
                return;
            };
            let applied = this.projection.apply(offset, text);
            let by = applied.writer.expect("a record");
            if by.incarnation != this.queue.incarnation() {
                continue;
            }
            if let Some(waiter) = this.queue.confirm(by.sequence) {
                self.resolve(
                    writer,
                    by.sequence,
                    waiter,
                    applied.effect,
                    connection_refused,
                );
            }
        }
    }

    fn resolve(
        &mut self,
        writer: usize,
        sequence: u64,
        waiter: Waiter,
        effect: Effect,
        connection_refused: bool,
    ) {
        let Waiter { key, digest, .. } = waiter;
        if waiter.void {
            if effect.permits_refusal() {
                self.not_run.insert(key);
            }
            return;
        }
        if !effect.permits_sending() {
            return;
        }
        let this = &mut self.writers[writer];
        let release = Action::Release {
            key,
            dispatch: sequence,
        };
        if this.abandoned.remove(&key) {
            this.queue
                .submit_unbounded(Group::default().durable(release));
        } else if connection_refused {
            // The connection was refused before any byte was sent: retry at another endpoint, or
            // void the call.
            let next = if sequence.is_multiple_of(2) {
                dispatch(key, digest)
            } else {
                void(key, digest)
            };
            let group = group_with_waiter(key, digest, !sequence.is_multiple_of(2))
                .durable(release)
                .once(next);
            this.queue.submit_unbounded(group);
        } else {
            *self.executions.entry(key).or_default() += 1;
            self.ran.insert((key, digest));
            this.sent.push((key, sequence));
        }
    }

    fn finish(&mut self, writer: usize) {
        let this = &mut self.writers[writer];
        if let Some((key, dispatch)) = this.sent.pop() {
            this.queue
                .submit_unbounded(Group::default().durable(Action::Finish {
                    key,
                    dispatch,
                    outcome: Outcome::Unknown,
                }));
        }
    }

    fn run_to_completion(&mut self) {
        for _ in 0..20 {
            for writer in 0..WRITERS {
                while !self.writers[writer].sent.is_empty() {
                    self.finish(writer);
                }
                self.append(writer, AppendResult::Done);
            }
            let late = std::mem::take(&mut self.late);
            self.log.extend(late.into_iter().flatten());
            for writer in 0..WRITERS {
                self.read(writer, usize::MAX, false);
            }
        }
    }

    fn check(&self) {
        for (key, count) in &self.executions {
            assert_eq!(*count, 1, "{key} was executed {count} times");
            assert!(!self.not_run.contains(key), "{key} ran after \"not run\"");
        }
        for reused in &self.reused {
            assert!(
                !self.ran.contains(reused),
                "a call that was refused for a reused key ran"
            );
        }
    }

    fn check_final_state(&self) {
        let projection = &self.writers[0].projection;
        for writer in &self.writers[1..] {
            assert_eq!(&writer.projection, projection, "two readers disagree");
        }
        for (key, entry) in projection.entries() {
            let State::Dispatching(by, _) = &entry.state else {
                continue;
            };
            let alive = self
                .writers
                .iter()
                .any(|w| w.queue.incarnation() == by.incarnation);
            assert!(!alive, "{key} is stuck although its writer is alive");
        }
    }
}

fn group_with_waiter(key: Key, digest: Digest, void: bool) -> Group<Action, Waiter> {
    Group::default().waiter(Waiter { key, digest, void })
}

proptest! {
    #![proptest_config(seeded_config(1000))]

    /// Guards against an order of appends, deliveries and reads in which a call runs twice, a
    /// voided call runs, readers diverge, or a key stays claimed by a live writer.
    #[test]
    fn any_order_executes_a_key_at_most_once(steps in prop::collection::vec(step(), 1..60)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.step(step);
            simulation.check();
        }
        simulation.run_to_completion();
        simulation.check();
        simulation.check_final_state();
    }
}

/// Guards against a record of any kind that accepts a forgotten key again.
#[test]
fn records_at_or_below_the_horizon_have_no_effect() {
    let retention = RETRY_WINDOW + almondpath::ledger::RETENTION_SLACK;
    let old = key(1);
    let new = Key::new(NOW + retention, 1);
    let encode = |action: &Action, sequence: u64, at: Millis| {
        let incarnation = 7;
        action.encode(
            almondpath::log::writer::Key {
                incarnation,
                sequence,
            },
            at,
        )
    };
    let later = |mut action: Action| {
        if let Action::Accept { horizon, .. } | Action::Void { horizon, .. } = &mut action {
            *horizon = almondpath::ledger::horizon(NOW + retention, RETRY_WINDOW);
        }
        action
    };
    let cases = [
        (accept(old, digest(0)), NOW, Effect::Accepted),
        (accept(old, digest(0)), NOW, Effect::Rejected),
        (
            later(accept(new, digest(0))),
            NOW + retention,
            Effect::Accepted,
        ),
        (accept(old, digest(0)), NOW, Effect::Expired),
        (void(old, digest(0)), NOW, Effect::Expired),
        (dispatch(old, digest(0)), NOW, Effect::Rejected),
        (
            accept(Key::new(NOW + Millis(31_000), 1), digest(0)),
            NOW,
            Effect::Expired,
        ),
    ];
    let mut projection = Projection::default();
    for (sequence, (action, at, expected)) in (0..).zip(cases) {
        let text = encode(&action, sequence + 1, at);
        let applied = projection.apply(Offset(sequence), &text);
        assert_eq!(applied.effect, expected, "record {sequence}");
    }
    assert_eq!(projection.len(), 1);
    assert_eq!(
        NextStep::new(&projection, old, digest(0)),
        NextStep::Expired
    );
}
