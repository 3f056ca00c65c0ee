//! What a follower holds, shared by its handle and its tasks.

use crate::controls::Controls;
use crate::lease::Lease;
use crate::relay_link::RelayLink;
use crate::relayed::Relayed;
use crate::settings::FollowerSettings;
use crate::view::merge_view;
use note::Catalogue;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use wire::Identity;
use wire::proto::frame::Body;
use wire::proto::{AccountUse, MemberView, NodeInfo, Notes, Quarantine, Renewed};

/// What a follower holds.
pub(crate) struct Shared {
    pub(crate) me: Identity,
    pub(crate) cfg: FollowerSettings,
    pub(crate) controls: Controls,
    /// Asks for a renewal before its time.
    pub(crate) hurry: Notify,
    /// Counts the renewals that have ended.
    pub(crate) renewed: watch::Sender<u64>,
    pub(crate) relay_link: RelayLink,
    pub(crate) relayed: Relayed,
    /// Ends all tasks.
    pub(crate) stop: CancellationToken,
    held: Mutex<Held>,
    changed: watch::Sender<u64>,
}

struct Held {
    info: NodeInfo,
    catalogue: Arc<Catalogue>,
    lease: Lease,
    view: Arc<MemberView>,
    quarantine: Arc<Quarantine>,
    /// When a relay wants the next renewal.
    next: Option<Duration>,
    /// Renewals so far.
    sequence: u64,
    /// What this node tells of its use of accounts.
    uses: Vec<AccountUse>,
    parts: Arc<QuotaShares>,
}

/// Shares of account quotas that this node may hand out, with their expiry, by account
/// number. Shares have the unit of `route::FULL_QUOTA`.
pub type QuotaShares = BTreeMap<u32, (u32, Instant)>;

impl Shared {
    pub(crate) fn new(me: Identity, info: NodeInfo, cfg: FollowerSettings) -> Self {
        let held = Held {
            info,
            catalogue: Arc::new(Catalogue::default()),
            lease: Lease::default(),
            view: Arc::new(MemberView::default()),
            quarantine: Arc::new(Quarantine::default()),
            next: None,
            sequence: 0,
            uses: Vec::new(),
            parts: Arc::default(),
        };
        Shared {
            me,
            controls: Controls::default(),
            cfg,
            hurry: Notify::new(),
            renewed: watch::Sender::new(0),
            relay_link: RelayLink::default(),
            relayed: Relayed::default(),
            stop: CancellationToken::new(),
            held: Mutex::new(held),
            changed: watch::Sender::new(0),
        }
    }

    pub(crate) fn info(&self) -> NodeInfo {
        self.held().info.clone()
    }

    pub(crate) fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.held().catalogue)
    }

    pub(crate) fn leased(&self, now: Instant) -> bool {
        self.held().lease.holds(now)
    }

    pub(crate) fn view(&self) -> Arc<MemberView> {
        Arc::clone(&self.held().view)
    }

    pub(crate) fn quarantine(&self) -> Arc<Quarantine> {
        Arc::clone(&self.held().quarantine)
    }

    pub(crate) fn changed(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Changes what the node tells of itself and renews at once.
    pub(crate) fn announce(&self, change: impl FnOnce(&mut NodeInfo)) {
        change(&mut self.held().info);
        self.hurry.notify_one();
    }

    /// Control hints at a new note or a changed quarantine, so that it is in force
    /// before the next renewal is due; nothing but the renewal itself is trusted.
    /// Whether it is news.
    pub(crate) fn heed(&self, hint: &Body) -> bool {
        let news = match hint {
            Body::Notes(hint) => hint.number > self.catalogue().number(),
            Body::Renewed(_) => true,
            _ => false,
        };
        if news {
            self.hurry.notify_one();
        }
        news
    }

    /// Numbers a renewal.
    pub(crate) fn next_sequence(&self) -> u64 {
        let mut held = self.held();
        held.sequence += 1;
        held.sequence
    }

    pub(crate) fn parts(&self) -> Arc<QuotaShares> {
        Arc::clone(&self.held().parts)
    }

    pub(crate) fn set_uses(&self, uses: Vec<AccountUse>) {
        self.held().uses = uses;
    }

    /// What is told of the use of accounts. A part that was granted counts as held even
    /// if the node doesn't act on it yet: it will in a moment, and control must not
    /// grant it elsewhere meanwhile.
    pub(crate) fn uses(&self, now: Instant) -> Vec<AccountUse> {
        let held = self.held();
        let granted = |account: u32| {
            let part = held.parts.get(&account).filter(|(_, until)| now < *until);
            part.map_or(0, |(part, _)| *part)
        };
        let uses = held.uses.iter().map(|used| AccountUse {
            held: used.held.max(granted(used.account)),
            ..*used
        });
        uses.collect()
    }

    /// Takes in the parts that came with the answer to the renewal of that number.
    ///
    /// Only the answer to the last renewal counts: with a later one on its way, control
    /// has counted, or will count, on what that one said is held.
    fn take_parts(held: &mut Held, renewed: &Renewed, sequence: u64, until: Instant) {
        if sequence != held.sequence || renewed.parts.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut parts = (*held.parts).clone();
        parts.retain(|_, (_, until)| now < *until);
        let granted = renewed.parts.iter();
        parts.extend(granted.map(|row| (row.account, (row.part, until))));
        held.parts = Arc::new(parts);
    }

    pub(crate) fn set_next(&self, next: Option<Duration>) {
        self.held().next = next;
    }

    /// The time until the next renewal.
    pub(crate) fn take_next(&self) -> Duration {
        self.held().next.take().unwrap_or(self.cfg.renew_interval)
    }

    /// Takes in the view and quarantine that came with a renewal.
    pub(crate) fn take_renewed(&self, renewed: &Renewed) {
        let mut held = self.held();
        let mut news = false;
        if let Some(view) = renewed.view.clone() {
            held.view = Arc::new(merge_view(&held.view, view));
            news = true;
        }
        if let Some(quarantine) = renewed.quarantine.clone()
            && quarantine.version > held.quarantine.version
        {
            held.quarantine = Arc::new(quarantine);
            news = true;
        }
        drop(held);
        if news {
            self.tick();
        }
    }

    /// Extends the lease, unless the node still lacks notes that the leader has: a
    /// grant says "the note in force here is the newest", which would not be true.
    pub(crate) fn extend_lease(&self, renewed: &Renewed, sequence: u64, sent: Instant) {
        let mut held = self.held();
        if held.catalogue.number() < renewed.note {
            return;
        }
        let length = Duration::from_millis(u64::from(renewed.lease_ms));
        Self::take_parts(&mut held, renewed, sequence, sent + length);
        let before = held.lease.holds(Instant::now());
        held.lease.extend(renewed.term, sent, length);
        drop(held);
        if !before {
            self.tick();
        }
    }

    /// Applies what was fetched. Only higher numbers change anything, so that nothing
    /// that arrives late takes a node back.
    pub(crate) fn take_notes(&self, notes: &Notes) -> Result<(), String> {
        let mut catalogue = (*self.catalogue()).clone();
        if !notes.snapshot.is_empty() && notes.number > catalogue.number() {
            let snapshot = Catalogue::from_json(&notes.snapshot);
            catalogue = snapshot.map_err(|err| err.to_string())?;
        }
        for json in &notes.notes {
            let Ok(checked) = catalogue.check(json) else {
                // Already applied, or a gap that the next fetch closes.
                continue;
            };
            catalogue.apply(&checked);
        }
        let mut held = self.held();
        if catalogue.number() > held.catalogue.number() {
            log::info!("release note {} is in force here", catalogue.number());
            held.catalogue = Arc::new(catalogue);
            drop(held);
            self.tick();
        }
        Ok(())
    }

    fn tick(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        // No change under the lock can panic half-way; a poisoned state is whole.
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
