//! Parameters of a random schedule.

use quickcheck::{Arbitrary, Gen};

/// Parameters of a random schedule; everything else is derived from the seed.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub voters: usize,
    pub steps: u64,
    /// Proposals per 10,000 steps of a leader.
    pub proposals: u32,
    /// Reads per 10,000 steps of a leader.
    pub reads: u32,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Schedule {
        Schedule {
            seed: u64::arbitrary(g),
            voters: *g.choose(&[3, 3, 5]).unwrap(),
            steps: 500 + u64::arbitrary(g) % 800,
            proposals: *g.choose(&[100, 500, 2_500]).unwrap(),
            reads: *g.choose(&[500, 3_000]).unwrap(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Schedule>> {
        let smaller = [
            self.steps / 2,
            self.steps * 3 / 4,
            self.steps.saturating_sub(1),
        ];
        let schedule = self.clone();
        let shorter = smaller
            .into_iter()
            .filter(move |steps| *steps < schedule.steps);
        let schedule = self.clone();
        Box::new(shorter.map(move |steps| Schedule {
            steps,
            ..schedule.clone()
        }))
    }
}
