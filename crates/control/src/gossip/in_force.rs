//! Waiting until what operators ordered is in force on all entries.

use super::{Gossip, is_live};
use member::EntryReport;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Timeout for a new table or an evacuation to be in force on all entries. A stalled entry must not
/// delay the answer to an operator, who asks another replica after a second.
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(500);

impl Gossip {
    /// Waits until this table or a later one is in force on every entry that reports, or
    /// until [`IN_FORCE_TIMEOUT`] has elapsed.
    pub(crate) async fn wait_in_force(&self, number: u64) {
        if !self.wait_for_entries(|entry| entry.table >= number).await {
            log::info!(table = number; "table acknowledged before it is in force on all entries");
        }
    }

    /// Waits until these evacuations or later ones are in force on every entry that
    /// reports, or until [`IN_FORCE_TIMEOUT`] has elapsed.
    pub(crate) async fn wait_evacuations_in_force(&self, number: u64) {
        if !self
            .wait_for_entries(|entry| entry.evacuations >= number)
            .await
        {
            log::warn!(number = number; "evacuations acknowledged before they are in force on all entries");
        }
    }

    /// Waits until the condition holds for every entry that reports. Returns whether it
    /// does within [`IN_FORCE_TIMEOUT`].
    async fn wait_for_entries(&self, condition: impl Fn(&EntryReport) -> bool) -> bool {
        let mut reports = self.shared.report_count.subscribe();
        let everywhere = async {
            while !self.all_entries(&condition) {
                if reports.changed().await.is_err() {
                    return;
                }
            }
        };
        timeout(IN_FORCE_TIMEOUT, everywhere).await.is_ok()
    }

    fn all_entries(&self, condition: impl Fn(&EntryReport) -> bool) -> bool {
        let now = Instant::now();
        let board = self.board();
        let mut live = board.entries().filter(|(_, heard)| is_live(*heard, now));
        live.all(|(entry, _)| condition(entry))
    }
}
