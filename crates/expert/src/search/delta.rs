//! Changes of rank times that a candidate would cause.

/// Changes of rank times that a candidate would cause.
///
/// Kept between candidates, so that trying one allocates nothing.
#[derive(Debug)]
pub(crate) struct Delta {
    by_rank: Vec<f64>,
    listed: Vec<bool>,
    touched: Vec<u16>,
}

impl Delta {
    pub(crate) fn new(ranks: usize) -> Delta {
        Delta {
            by_rank: vec![0.0; ranks],
            listed: vec![false; ranks],
            touched: Vec::with_capacity(ranks),
        }
    }

    pub(crate) fn add(&mut self, rank: u16, seconds: f64) {
        let index = usize::from(rank);
        if !self.listed[index] {
            self.listed[index] = true;
            self.touched.push(rank);
        }
        self.by_rank[index] += seconds;
    }

    /// Forgets all changes.
    pub(crate) fn clear(&mut self) {
        for &rank in &self.touched {
            self.by_rank[usize::from(rank)] = 0.0;
            self.listed[usize::from(rank)] = false;
        }
        self.touched.clear();
    }

    /// Ranks whose time changes, with the change.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, f64)> {
        self.touched.iter().map(|&rank| {
            let rank = usize::from(rank);
            (rank, self.by_rank[rank])
        })
    }
}
