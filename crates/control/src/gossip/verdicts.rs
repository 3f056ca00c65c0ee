//! Telling entries which requests crash targets.

use super::entry_links::EntryLink;
use super::{Gossip, lock, send};
use route::{Fingerprint, VerdictSettling};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use tokio::time::timeout;
use wire::proto::Quarantine;
use wire::proto::frame::Body;

/// Time after which an entry that lacks a verdict is told by any replica, not only by the
/// one that repeats the state of targets to it.
const MAX_VERDICT_DELAY: Duration = Duration::from_millis(500);

/// The verdicts that entries are told, and since when.
#[derive(Default)]
pub(super) struct SettledVerdicts {
    verdicts: Quarantine,
    since: Option<Instant>,
}

impl SettledVerdicts {
    /// The verdicts if an entry lacks them and this replica is to tell it.
    pub(super) fn missed_by(&self, entry: &EntryLink, now: Instant) -> Option<Quarantine> {
        let held = entry.quarantine_version?;
        let age = now.saturating_duration_since(self.since?);
        let tells = entry.wants_refresh || age >= MAX_VERDICT_DELAY;
        (held < self.verdicts.version && tells).then(|| self.verdicts.clone())
    }
}

impl Gossip {
    /// Tells entries of new verdicts.
    pub(super) async fn pass_on_verdicts(&self) {
        let mut quarantine = self.shared.quarantine.clone();
        let mut settling = VerdictSettling::default();
        loop {
            let newest = quarantine.borrow_and_update().clone();
            settling.update(convicted(&newest), Instant::now());
            while let Some(due) = settling.due() {
                let left = due.saturating_duration_since(Instant::now());
                match timeout(left, quarantine.changed()).await {
                    Ok(Ok(())) => break,
                    Ok(Err(_)) => return,
                    Err(_) => {
                        let settled = settling.take_settled(Instant::now());
                        self.tell_entries(&newest, &settled).await;
                    }
                }
            }
            if settling.due().is_none() && quarantine.changed().await.is_err() {
                return;
            }
        }
    }

    /// Tells entries the verdicts without the convictions that are not settled.
    async fn tell_entries(&self, newest: &Quarantine, settled: &BTreeSet<Fingerprint>) {
        if newest.version == 0 {
            return;
        }
        let mut verdicts = newest.clone();
        verdicts.convicted.retain(|feature| {
            Fingerprint::from_slice(feature).is_some_and(|feature| settled.contains(&feature))
        });
        let is_complete = verdicts.convicted.len() == newest.convicted.len();
        verdicts.version = passed_on_version(newest.version, is_complete);
        *lock(&self.shared.verdicts) = SettledVerdicts {
            verdicts: verdicts.clone(),
            since: Some(Instant::now()),
        };
        for entry in self.shared.entries.refreshed() {
            if entry.quarantine_version.is_some() {
                send(&entry.link, Body::Quarantine(verdicts.clone())).await;
            }
        }
    }
}

/// Version under which entries know verdicts: a higher one once nothing is withheld.
fn passed_on_version(version: u64, is_complete: bool) -> u64 {
    version.saturating_mul(2) + u64::from(is_complete)
}

fn convicted(verdicts: &Quarantine) -> impl Iterator<Item = Fingerprint> {
    let convicted = verdicts.convicted.iter();
    convicted.filter_map(|feature| Fingerprint::from_slice(feature))
}
