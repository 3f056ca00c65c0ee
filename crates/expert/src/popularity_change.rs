//! Windows in which the popularity of experts changed.

use crate::Load;

/// Share of the popular experts that lose almost all of their popularity by a change, at
/// least. If fewer do, too many tokens are removed from experts that stay popular.
const LOSING_SHARE: f64 = 0.1;

/// Multiple of the mean popularity from which an expert counts as popular. The counts of
/// others are too low to tell noise from a loss.
const POPULAR: f64 = 2.0;

/// Share of a window's tokens with the former popularity up to which the rest are used
/// on their own. The noise of the rest grows with this share.
const MAX_FORMER_SHARE: f64 = 0.6;

/// A window in which popularity changed, split into the tokens before and after.
pub(crate) struct PopularityChange<'a> {
    /// Shares of the experts before the change.
    former: &'a Load,
    counts: &'a Load,
    /// Share of the window's tokens that follow the former popularity.
    former_share: f64,
}

impl<'a> PopularityChange<'a> {
    /// The split of the window with `counts` if popularity was `former` before; `None`
    /// if too few of its tokens follow the new popularity.
    ///
    /// Some experts lose almost all popularity by a change. The ratio of their counts to
    /// those expected is the share of the window before the change. It is the same in all
    /// layers, since all of them compute the same tokens.
    pub(crate) fn new(former: &'a Load, counts: &'a Load) -> Option<PopularityChange<'a>> {
        let mut ratios = Vec::new();
        for layer in 0..counts.layers() {
            ratios.extend(ratios_of_popular(former.layer(layer), counts.layer(layer)));
        }
        ratios.sort_by(f64::total_cmp);
        let former_share = quantile(&ratios, LOSING_SHARE)?;
        (former_share <= MAX_FORMER_SHARE).then_some(PopularityChange {
            former,
            counts,
            former_share,
        })
    }

    /// Stores in `shares` those of the tokens after the change.
    pub(crate) fn store(&self, layer: usize, shares: &mut [f64]) {
        let counts = self.counts.layer(layer);
        let total: f64 = counts.iter().sum();
        let former = self.former.layer(layer);
        let rest =
            |(count, former): (&f64, &f64)| (count - self.former_share * former * total).max(0.0);
        let rests: Vec<f64> = counts.iter().zip(former).map(rest).collect();
        let sum: f64 = rests.iter().sum();
        if sum > 0.0 {
            for (share, rest) in shares.iter_mut().zip(rests) {
                *share = rest / sum;
            }
        }
    }
}

/// Ratios of the shares of formerly popular experts to their former shares.
fn ratios_of_popular(former: &[f64], counts: &[f64]) -> Vec<f64> {
    let total: f64 = counts.iter().sum();
    let mean = former.iter().sum::<f64>() / f64::from(u32::try_from(former.len()).unwrap_or(1));
    let popular = former
        .iter()
        .zip(counts)
        .filter(|(former, _)| **former > POPULAR * mean && total > 0.0);
    popular
        .map(|(former, count)| count / total / former)
        .collect()
}

#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an index of a short list"
)]
fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    sorted.get((sorted.len() as f64 * share) as usize).copied()
}
