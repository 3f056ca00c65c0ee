//! Metrics of a simulation.

use std::fmt;

use crate::traffic::{ACCOUNTS, LARGE_ACCOUNT};

/// Metrics of a simulation.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Time to the first token in seconds, and the account.
    pub first_tokens: Vec<(f64, u32)>,
    pub sent: u32,
    pub refused: u32,
    pub retried: u32,
    /// Prompt tokens whose prefill was wasted, and of all prefills.
    pub wasted: f64,
    pub prefilled: f64,
    pub sent_by_account: [u32; ACCOUNTS as usize],
    pub served_by_account: [u32; ACCOUNTS as usize],
}

impl fmt::Display for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all: Vec<f64> = self.first_tokens.iter().map(|(first, _)| *first).collect();
        let small = self
            .first_tokens
            .iter()
            .filter(|(_, account)| *account != LARGE_ACCOUNT);
        let small: Vec<f64> = small.map(|(first, _)| *first).collect();
        for quantile in [0.5, 0.95, 0.99] {
            write!(f, "{:.0} | ", 1000.0 * percentile(&all, quantile))?;
        }
        let sent = f64::from(self.sent);
        write!(f, "{:.2} | ", 100.0 * f64::from(self.refused) / sent)?;
        write!(f, "{:.2} | ", 100.0 * f64::from(self.retried) / sent)?;
        write!(f, "{:.2} | ", 100.0 * self.wasted / self.prefilled.max(1.0))?;
        write!(f, "{:.0} | ", 1000.0 * percentile(&small, 0.99))?;
        let sum_small = |counts: &[u32]| f64::from(counts[1..].iter().sum::<u32>());
        let served = sum_small(&self.served_by_account) / sum_small(&self.sent_by_account).max(1.0);
        write!(f, "{:.1}", 100.0 * served)
    }
}

/// Returns the smallest value that a fraction `quantile` of the values does not exceed.
fn percentile(values: &[f64], quantile: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let count = f64::from(u32::try_from(sorted.len()).unwrap());
    let mut index = 0_u32;
    while f64::from(index) + 1.0 < quantile * count {
        index += 1;
    }
    sorted.get(index as usize).copied().unwrap_or(f64::NAN)
}
