//! State of a follower, shared by its handle and its tasks.

use crate::control_links::ControlLinks;
use crate::lease::Lease;
use crate::relay_link::{Relay, RelayLink};
use crate::renewal_relay::RenewalRelay;
use crate::replica_addresses::ControlAddresses;
use crate::route_tables::RouteTableCache;
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

/// Least time for which a node waits for a view from its relay.
const VIEW_PATIENCE: Duration = Duration::from_secs(3);
/// Maximum time of a renewal, in renewal intervals.
const MAX_TIMEOUT_INTERVALS: u32 = 8;

/// State of a follower.
pub(crate) struct Shared {
    pub(crate) me: Identity,
    pub(crate) cfg: FollowerSettings,
    pub(crate) control_links: ControlLinks,
    /// Triggers a renewal before it is due.
    pub(crate) renew_early: Notify,
    /// Number of completed renewals.
    pub(crate) renewed: watch::Sender<u64>,
    pub(crate) relay_link: RelayLink,
    pub(crate) renewal_relay: RenewalRelay,
    pub(crate) route_tables: RouteTableCache,
    /// Ends all tasks.
    pub(crate) stop: CancellationToken,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

struct State {
    info: NodeInfo,
    /// The term in which a lease was granted for the present `info`.
    granted_term: Option<u64>,
    /// Interval between renewals: that of the settings, or a longer one that the leader
    /// has set.
    renew_interval: Duration,
    /// How long the next renewal may take.
    renewal_timeout: Duration,
    catalogue: Arc<Catalogue>,
    lease: Lease,
    view: Arc<MemberView>,
    quarantine: Arc<Quarantine>,
    /// Delay of the next renewal as requested by the relay.
    next_delay: Option<Duration>,
    /// Number of renewals so far.
    sequence: u64,
    /// Number of the last renewal before `info` changed.
    info_sequence: u64,
    /// Usage of account quotas that this node reports.
    account_usage: Vec<AccountUse>,
    quota_shares: Arc<QuotaShares>,
    /// The relay that the leader has named, until the node has renewed through it.
    named_relay: Option<Relay>,
    /// Until when the node waits for a relay to get a view from.
    view_awaited_until: Option<Instant>,
}

/// Shares of account quotas that this node may hand out, with their expiry, by account
/// number. Shares have the unit of `route::FULL_QUOTA`.
pub type QuotaShares = BTreeMap<u32, (u32, Instant)>;

impl Shared {
    pub(crate) fn new(me: Identity, info: NodeInfo, cfg: FollowerSettings) -> Self {
        let state = State {
            info,
            granted_term: None,
            renew_interval: cfg.renew_interval,
            renewal_timeout: cfg.renew_interval,
            catalogue: Arc::new(Catalogue::default()),
            lease: Lease::default(),
            view: Arc::new(MemberView::default()),
            quarantine: Arc::new(Quarantine::default()),
            next_delay: None,
            sequence: 0,
            info_sequence: 0,
            account_usage: Vec::new(),
            quota_shares: Arc::default(),
            named_relay: None,
            view_awaited_until: None,
        };
        Shared {
            me,
            control_links: ControlLinks::new(matches!(cfg.controls, ControlAddresses::Seeds(_))),
            cfg,
            renew_early: Notify::new(),
            renewed: watch::Sender::new(0),
            relay_link: RelayLink::default(),
            renewal_relay: RenewalRelay::default(),
            route_tables: RouteTableCache::default(),
            stop: CancellationToken::new(),
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
        }
    }

    pub(crate) fn info(&self) -> NodeInfo {
        self.state().info.clone()
    }

    pub(crate) fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.state().catalogue)
    }

    pub(crate) fn leased(&self, now: Instant) -> bool {
        self.state().lease.holds(now)
    }

    pub(crate) fn view(&self) -> Arc<MemberView> {
        Arc::clone(&self.state().view)
    }

    pub(crate) fn quarantine(&self) -> Arc<Quarantine> {
        Arc::clone(&self.state().quarantine)
    }

    pub(crate) fn changed(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Changes what the node reports about itself and renews at once.
    pub(crate) fn announce(&self, change: impl FnOnce(&mut NodeInfo)) {
        let mut state = self.state();
        change(&mut state.info);
        state.granted_term = None;
        state.info_sequence = state.sequence;
        drop(state);
        self.renew_early.notify_one();
    }

    /// The term in which a lease was granted for the present state of this node.
    pub(crate) fn granted_term(&self) -> Option<u64> {
        self.state().granted_term
    }

    /// Records the answer to the renewal with this sequence number: the term in which a
    /// lease was granted, or `None`.
    pub(crate) fn set_granted_term(&self, term: Option<u64>, sequence: u64) {
        let mut state = self.state();
        if sequence > state.info_sequence {
            state.granted_term = term;
        }
    }

    /// The relay that the leader has named.
    pub(crate) fn named_relay(&self) -> Option<Relay> {
        self.state().named_relay.clone()
    }

    /// Records the relay that the leader has named in place of a view, or none.
    pub(crate) fn set_named_relay(&self, relay: Option<Relay>, now: Instant) {
        let mut state = self.state();
        state.view_awaited_until = match (&relay, state.view_awaited_until) {
            (None, _) => None,
            (Some(_), Some(until)) => Some(until),
            (Some(_), None) => {
                // Nodes that start together must not all give up at the same time.
                let patience = VIEW_PATIENCE.mul_f64(rand::random_range(1.0..3.0));
                Some(now + patience)
            }
        };
        state.named_relay = relay;
    }

    /// Whether the node takes a relay in place of a view: it has not waited in vain for
    /// one that it was named before.
    pub(crate) fn takes_relay(&self, now: Instant) -> bool {
        self.state()
            .view_awaited_until
            .is_none_or(|until| now < until)
    }

    /// How long the next renewal may take.
    pub(crate) fn renewal_timeout(&self) -> Duration {
        self.state().renewal_timeout
    }

    /// Adapts the timeout of renewals to whether the last one was answered.
    ///
    /// When hundreds of nodes renew at once, the leader answers later than usual. If all
    /// of them gave up and asked again, it would only ever answer outdated requests.
    pub(crate) fn record_renewal(&self, answered: bool) {
        let mut state = self.state();
        state.renewal_timeout = if answered {
            state.renew_interval
        } else {
            let max = self.cfg.renew_interval * MAX_TIMEOUT_INTERVALS;
            (state.renewal_timeout * 2).min(max.max(state.renew_interval))
        };
    }

    /// Interval between renewals.
    pub(crate) fn renew_interval(&self) -> Duration {
        self.state().renew_interval
    }

    /// Sets the interval between renewals that the leader wants; zero if it wants none.
    pub(crate) fn set_renew_interval(&self, interval: Duration) {
        self.state().renew_interval = interval.max(self.cfg.renew_interval);
    }

    /// Handles a hint of control that there is a new release note or a changed quarantine,
    /// by renewing early. Only the renewal itself changes the state. Returns whether the
    /// hint announces anything new.
    pub(crate) fn handle_hint(&self, hint: &Body) -> bool {
        let is_new = match hint {
            Body::Notes(hint) => hint.number > self.catalogue().number(),
            Body::Renewed(_) => true,
            _ => false,
        };
        if is_new {
            self.renew_early.notify_one();
        }
        is_new
    }

    /// Returns the sequence number of a new renewal.
    pub(crate) fn next_sequence(&self) -> u64 {
        let mut state = self.state();
        state.sequence += 1;
        state.sequence
    }

    pub(crate) fn quota_shares(&self) -> Arc<QuotaShares> {
        Arc::clone(&self.state().quota_shares)
    }

    pub(crate) fn set_account_usage(&self, usage: Vec<AccountUse>) {
        self.state().account_usage = usage;
    }

    /// Returns the usage of account quotas to report. A granted share counts as held even
    /// if the node does not use it yet: it soon will, and control must not grant it to
    /// another node meanwhile.
    pub(crate) fn account_usage(&self, now: Instant) -> Vec<AccountUse> {
        let state = self.state();
        let granted = |account: u32| {
            let share = state
                .quota_shares
                .get(&account)
                .filter(|(_, until)| now < *until);
            share.map_or(0, |(share, _)| *share)
        };
        let usage = state.account_usage.iter().map(|used| AccountUse {
            held: used.held.max(granted(used.account)),
            ..*used
        });
        usage.collect()
    }

    /// Applies the quota shares in the answer to the renewal with this sequence number.
    ///
    /// Only the answer to the latest renewal is applied: once a later one has been sent,
    /// control relies on the held shares that the later one reports.
    fn apply_quota_shares(state: &mut State, renewed: &Renewed, sequence: u64, until: Instant) {
        if sequence != state.sequence || renewed.parts.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut shares = (*state.quota_shares).clone();
        shares.retain(|_, (_, until)| now < *until);
        let granted = renewed.parts.iter();
        shares.extend(granted.map(|row| (row.account, (row.part, until))));
        state.quota_shares = Arc::new(shares);
    }

    pub(crate) fn set_next_delay(&self, delay: Option<Duration>) {
        self.state().next_delay = delay;
    }

    /// Takes the delay until the next renewal.
    pub(crate) fn take_next_delay(&self) -> Duration {
        let mut state = self.state();
        let delay = state.next_delay.take();
        delay.unwrap_or(state.renew_interval)
    }

    /// Applies the view and the quarantine in the answer to a renewal.
    pub(crate) fn apply_renewed(&self, renewed: &Renewed) {
        let mut state = self.state();
        let mut changed = false;
        if let Some(view) = renewed.view.clone() {
            state.view = Arc::new(merge_view(&state.view, view));
            changed = true;
        }
        if let Some(quarantine) = renewed.quarantine.clone()
            && quarantine.version > state.quarantine.version
        {
            state.quarantine = Arc::new(quarantine);
            changed = true;
        }
        drop(state);
        if changed {
            self.notify_changed();
        }
    }

    /// Extends the lease unless the node lacks release notes that the leader has: a lease
    /// implies that the node uses the newest note.
    pub(crate) fn extend_lease(&self, renewed: &Renewed, sequence: u64, sent: Instant) {
        let mut state = self.state();
        if state.catalogue.number() < renewed.note {
            return;
        }
        let length = Duration::from_millis(u64::from(renewed.lease_ms));
        Self::apply_quota_shares(&mut state, renewed, sequence, sent + length);
        let was_leased = state.lease.holds(Instant::now());
        state.lease.extend(renewed.term, sent, length);
        drop(state);
        if !was_leased {
            self.notify_changed();
        }
    }

    /// Applies fetched release notes. Only higher numbers have an effect, so that a late
    /// answer does not revert the node to an older note.
    pub(crate) fn apply_notes(&self, notes: &Notes) -> Result<(), String> {
        let mut catalogue = (*self.catalogue()).clone();
        if !notes.snapshot.is_empty() && notes.number > catalogue.number() {
            let snapshot = Catalogue::from_json(&notes.snapshot);
            catalogue = snapshot.map_err(|err| err.to_string())?;
        }
        for json in &notes.notes {
            let Ok(checked) = catalogue.check(json) else {
                // Already applied, or after a gap that the next fetch fills.
                continue;
            };
            catalogue.apply(&checked);
        }
        let mut state = self.state();
        if catalogue.number() > state.catalogue.number() {
            log::info!("release note {} is now in use", catalogue.number());
            state.catalogue = Arc::new(catalogue);
            drop(state);
            self.notify_changed();
        }
        Ok(())
    }

    fn notify_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Changes under the lock cannot panic midway, so a poisoned state is consistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
