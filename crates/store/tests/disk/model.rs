//! Model of the expected disk contents.

use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use store::{Batch, Disk, HardState, Record, Recovered, Result, Snapshot};

/// Contents of a disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contents {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub records: BTreeMap<u64, Record>,
}

impl Contents {
    pub fn of(recovered: &Recovered) -> Contents {
        let records = recovered.records.iter().cloned();
        Contents {
            hard_state: recovered.hard_state,
            snapshot: recovered.snapshot.clone(),
            records: records.map(|record| (record.index, record)).collect(),
        }
    }

    fn last(&self) -> u64 {
        let covered = self.snapshot.as_ref().map_or(0, |s| s.index);
        self.records.keys().next_back().copied().unwrap_or(covered)
    }

    fn covered(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }
}

/// Operation on a disk.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes batches, then syncs once.
    Write(Vec<Batch>),
    /// Saves a snapshot of the current state.
    Save(Snapshot),
}

impl Step {
    pub fn run(&self, disk: &mut Disk) -> Result<()> {
        match self {
            Step::Write(batches) => {
                for batch in batches {
                    disk.write(batch)?;
                }
                disk.sync()
            }
            Step::Save(snapshot) => disk.save_snapshot(snapshot),
        }
    }

    /// Returns the contents after each part of the step that can become durable
    /// on its own.
    pub fn durable_states(&self, before: &Contents) -> Vec<Contents> {
        let mut states = vec![before.clone()];
        match self {
            Step::Save(snapshot) => {
                let mut after = before.clone();
                after.records = after.records.split_off(&(snapshot.index + 1));
                after.snapshot = Some(snapshot.clone());
                states.push(after);
            }
            Step::Write(batches) => {
                for batch in batches {
                    push_durable_states(batch, &mut states);
                }
            }
        }
        states
    }
}

fn push_durable_states(batch: &Batch, states: &mut Vec<Contents>) {
    let mut now = states.last().unwrap().clone();
    if let Some(snapshot) = &batch.snapshot {
        now.records.clear();
        now.snapshot = Some(snapshot.clone());
        states.push(now.clone());
    }
    now.hard_state = batch.hard_state;
    states.push(now.clone());
    for record in &batch.records {
        now.records.split_off(&record.index);
        now.records.insert(record.index, record.clone());
        states.push(now.clone());
    }
}

/// Returns a random step that is valid for the contents.
pub fn random_step(contents: &Contents, rng: &mut StdRng) -> Step {
    let mut now = contents.clone();
    if rng.random_range(0..6) == 0 && now.last() > now.covered() {
        let index = rng.random_range(now.covered() + 1..=now.last());
        let term = now.records[&index].term;
        let data = random_data(rng);
        return Step::Save(Snapshot { index, term, data });
    }
    let mut batches = Vec::new();
    for _ in 0..rng.random_range(1..4) {
        let batch = random_batch(&now, rng);
        let mut states = vec![now];
        push_durable_states(&batch, &mut states);
        now = states.pop().unwrap();
        batches.push(batch);
    }
    Step::Write(batches)
}

fn random_batch(now: &Contents, rng: &mut StdRng) -> Batch {
    let mut hard_state = now.hard_state;
    if rng.random_range(0..3) == 0 {
        let term = hard_state.term + 1;
        let vote = Some(rng.random_range(1..4));
        hard_state = HardState {
            term,
            vote,
            ..hard_state
        };
    }
    if rng.random_range(0..3) == 0 {
        hard_state.commit = rng.random_range(hard_state.commit..=now.last().max(hard_state.commit));
    }
    let mut batch = Batch {
        hard_state,
        ..Batch::default()
    };
    let mut next = now.last() + 1;
    if rng.random_range(0..10) == 0 {
        let index = now.last() + rng.random_range(1..5);
        let term = hard_state.term + 1;
        let data = random_data(rng);
        batch.snapshot = Some(Snapshot { index, term, data });
        next = index + 1;
    } else if rng.random_range(0..4) == 0 {
        // Another leader replaces the end of the log.
        next = rng.random_range(now.covered() + 1..=next);
    }
    for index in next..next + rng.random_range(0..4) {
        let term = hard_state.term;
        let (kind, data) = (0, random_data(rng));
        batch.records.push(Record {
            index,
            term,
            kind,
            data,
        });
    }
    batch
}

fn random_data(rng: &mut StdRng) -> bytes::Bytes {
    let length = rng.random_range(0..120);
    (0..length).map(|_| rng.random()).collect()
}
