//! Changes in rank times caused by a candidate.

/// Changes in rank times caused by a candidate.
///
/// Reused across candidates to avoid an allocation for each.
#[derive(Debug)]
pub(crate) struct Delta {
    seconds: Vec<f64>,
    is_changed: Vec<bool>,
    changed: Vec<u16>,
}

impl Delta {
    pub(crate) fn new(ranks: usize) -> Delta {
        Delta {
            seconds: vec![0.0; ranks],
            is_changed: vec![false; ranks],
            changed: Vec::with_capacity(ranks),
        }
    }

    pub(crate) fn add(&mut self, rank: u16, seconds: f64) {
        let index = usize::from(rank);
        if !self.is_changed[index] {
            self.is_changed[index] = true;
            self.changed.push(rank);
        }
        self.seconds[index] += seconds;
    }

    /// Removes all changes.
    pub(crate) fn clear(&mut self) {
        for &rank in &self.changed {
            self.seconds[usize::from(rank)] = 0.0;
            self.is_changed[usize::from(rank)] = false;
        }
        self.changed.clear();
    }

    /// Ranks whose time changes, with the change in seconds.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, f64)> {
        self.changed.iter().map(|&rank| {
            let rank = usize::from(rank);
            (rank, self.seconds[rank])
        })
    }
}
