//! What is measured of a run.

use std::fmt;

use crate::traffic::{ACCOUNTS, LARGE};

/// What is measured of a run.
#[derive(Debug, Default)]
pub struct Figures {
    /// Seconds to the first token and the account.
    pub firsts: Vec<(f64, u32)>,
    pub sent: u32,
    pub refused: u32,
    pub retried: u32,
    /// Prompt tokens of which the prefill served nobody, and of all.
    pub wasted: f64,
    pub prefilled: f64,
    pub sent_of: [u32; ACCOUNTS as usize],
    pub served_of: [u32; ACCOUNTS as usize],
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all: Vec<f64> = self.firsts.iter().map(|(first, _)| *first).collect();
        let small = self.firsts.iter().filter(|(_, account)| *account != LARGE);
        let small: Vec<f64> = small.map(|(first, _)| *first).collect();
        for part in [0.5, 0.95, 0.99] {
            write!(f, "{:.0} | ", 1000.0 * percentile(&all, part))?;
        }
        let sent = f64::from(self.sent);
        write!(f, "{:.2} | ", 100.0 * f64::from(self.refused) / sent)?;
        write!(f, "{:.2} | ", 100.0 * f64::from(self.retried) / sent)?;
        write!(f, "{:.2} | ", 100.0 * self.wasted / self.prefilled.max(1.0))?;
        write!(f, "{:.0} | ", 1000.0 * percentile(&small, 0.99))?;
        let sum = |of: &[u32]| f64::from(of[1..].iter().sum::<u32>());
        let served = sum(&self.served_of) / sum(&self.sent_of).max(1.0);
        write!(f, "{:.1}", 100.0 * served)
    }
}

/// The value that `part` of the values don't exceed.
fn percentile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let count = f64::from(u32::try_from(sorted.len()).unwrap());
    let mut at = 0_u32;
    while f64::from(at) + 1.0 < part * count {
        at += 1;
    }
    sorted.get(at as usize).copied().unwrap_or(f64::NAN)
}
