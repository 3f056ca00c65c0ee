//! Allocation of account quotas to entries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use member::hash_name;

/// The full quota of an account; shares are given in these units, so in
/// ten-thousandths of the account's limits.
pub const FULL_QUOTA: u32 = 10_000;
/// Maximum number of accounts that are tracked. Entries enforce their own static
/// shares for any others.
const MAX_ACCOUNTS: usize = 20_000;

/// Returns the hash that identifies an account between entries and control. Two accounts
/// with the same hash are granted shares of one quota, so each may get less than its own.
///
/// ```
/// assert_ne!(route::account_hash("huber"), route::account_hash("maier"));
/// ```
#[must_use]
pub fn account_hash(name: &str) -> u32 {
    let bytes = hash_name(name).to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// An entry's use of an account, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaUsage {
    /// Hash of the account's name.
    pub account: u32,
    /// Demand of its callers at the entry, in units of [`FULL_QUOTA`].
    pub demand: u32,
    /// Share that the entry may use under the last grant that it has applied, in units
    /// of [`FULL_QUOTA`].
    pub held: u32,
}

/// The share of an account's quota that is granted to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    /// Hash of the account's name.
    pub account: u32,
    /// Granted share, in units of [`FULL_QUOTA`].
    pub share: u32,
}

/// Allocates the quotas of all accounts to entries. Runs on the leader of control.
///
/// Shares are granted for the time of a lease. A share granted to one entry is not
/// granted to another before the first has reported that it uses less, or its lease has
/// expired. The shares in use therefore never exceed the full quota, even if messages
/// are lost.
#[derive(Debug)]
pub struct QuotaAllocator {
    elected_at: Instant,
    lease: Duration,
    accounts: BTreeMap<u32, Account>,
    /// Sequence number of the last report of each entry, and when it expires.
    last_reports: BTreeMap<u64, (u64, Instant)>,
    /// When to remove expired grants next.
    next_expiry: Instant,
}

/// What one entry demands and may be using of an account.
#[derive(Clone, Copy, Debug)]
struct Lease {
    demand: u32,
    /// Largest share that the entry may be using.
    outstanding: u32,
    until: Instant,
}

/// The leases of one account, by entry.
#[derive(Debug, Default)]
struct Account {
    leases: BTreeMap<u64, Lease>,
    /// Sum of the outstanding shares.
    outstanding: u32,
    fair_share: FairShare,
    /// When the fair share was last computed. That visits every lease, which is too
    /// expensive for each report if hundreds of entries use the account.
    computed_at: Option<Instant>,
}

/// Max-min fair division of the full quota.
#[derive(Clone, Copy, Debug, Default)]
struct FairShare {
    /// Limit on the share of entries with a higher demand.
    max: u32,
    /// Part of the quota that is not demanded by any entry.
    spare: u32,
    total_demand: u64,
}

/// Number of times per lease that the fair share is recomputed, besides when an entry is
/// new.
const COMPUTATIONS_PER_LEASE: u32 = 30;

impl QuotaAllocator {
    /// Creates an allocator for a leader that was elected at `elected_at`.
    ///
    /// ```
    /// use route::{FULL_QUOTA, QuotaAllocator, QuotaUsage};
    /// use std::time::{Duration, Instant};
    ///
    /// let (elected_at, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut allocator = QuotaAllocator::new(elected_at, lease);
    /// let usage = QuotaUsage { account: 7, demand: 100, held: 0 };
    /// let grants = allocator.report(1, 1, &[usage], elected_at + lease);
    /// assert_eq!(grants[0].share, FULL_QUOTA);
    /// ```
    #[must_use]
    pub fn new(elected_at: Instant, lease: Duration) -> Self {
        QuotaAllocator {
            elected_at,
            lease,
            accounts: BTreeMap::new(),
            last_reports: BTreeMap::new(),
            next_expiry: elected_at + lease,
        }
    }

    /// Processes the report of an entry and returns its grants. `sequence` numbers the
    /// reports of each entry; a report that arrives after a later one gets no grants.
    ///
    /// During its first lease a leader does not know the grants of its predecessor, so it
    /// grants each entry at most the share that it already holds.
    ///
    /// ```
    /// use route::{FULL_QUOTA, QuotaAllocator, QuotaUsage};
    /// use std::time::{Duration, Instant};
    ///
    /// let (elected_at, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut allocator = QuotaAllocator::new(elected_at, lease);
    /// let usage = QuotaUsage { account: 7, demand: 100, held: 400 };
    /// assert_eq!(allocator.report(1, 1, &[usage], elected_at)[0].share, 400);
    /// ```
    pub fn report(
        &mut self,
        entry: u64,
        sequence: u64,
        uses: &[QuotaUsage],
        now: Instant,
    ) -> Vec<QuotaGrant> {
        let last = self.last_reports.get(&entry);
        if last.is_some_and(|(last, _)| sequence <= *last) {
            return Vec::new();
        }
        self.last_reports
            .insert(entry, (sequence, now + self.lease * 2));
        let grants = uses
            .iter()
            .filter_map(|usage| self.grant(entry, usage, now));
        grants.collect()
    }

    /// Removes expired leases, at most once per lease time.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let mut allocator = route::QuotaAllocator::new(now, Duration::from_secs(3));
    /// allocator.expire(now);
    /// assert_eq!(allocator.accounts(), 0);
    /// ```
    pub fn expire(&mut self, now: Instant) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + self.lease;
        for account in self.accounts.values_mut() {
            account.expire(now);
        }
        self.accounts
            .retain(|_, account| !account.leases.is_empty());
        self.last_reports.retain(|_, (_, until)| now < *until);
    }

    /// Number of accounts with leases.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let allocator = route::QuotaAllocator::new(Instant::now(), Duration::from_secs(3));
    /// assert_eq!(allocator.accounts(), 0);
    /// ```
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    fn grant(&mut self, entry: u64, usage: &QuotaUsage, now: Instant) -> Option<QuotaGrant> {
        let known = self.accounts.contains_key(&usage.account);
        if !known && self.accounts.len() >= MAX_ACCOUNTS {
            return None;
        }
        let is_settled = now >= self.elected_at + self.lease;
        let account = self.accounts.entry(usage.account).or_default();
        let lease = account.record_demand(entry, usage.demand, now, self.lease);
        let free = FULL_QUOTA.saturating_sub(account.outstanding - lease.outstanding);
        let share = if is_settled {
            account.fair_share.for_demand(usage.demand).min(free)
        } else {
            usage.held.min(free)
        };
        let outstanding = share.max(usage.held);
        account.set_lease(
            entry,
            Lease {
                outstanding,
                ..lease
            },
        );
        Some(QuotaGrant {
            account: usage.account,
            share,
        })
    }
}

impl Account {
    /// Records the demand of an entry and renews its lease.
    fn record_demand(
        &mut self,
        entry: u64,
        demand: u32,
        now: Instant,
        duration: Duration,
    ) -> Lease {
        let previous = self.leases.get(&entry);
        let lease = Lease {
            demand,
            outstanding: previous.map_or(0, |previous| previous.outstanding),
            until: now + duration,
        };
        let is_new = previous.is_none();
        self.leases.insert(entry, lease);
        let due = self
            .computed_at
            .is_none_or(|at| now >= at + duration / COMPUTATIONS_PER_LEASE);
        if due || is_new {
            self.expire(now);
            self.fair_share = FairShare::of(self.leases.values().map(|lease| lease.demand));
            self.computed_at = Some(now);
        }
        lease
    }

    fn set_lease(&mut self, entry: u64, lease: Lease) {
        let previous = if lease.outstanding == 0 && lease.demand == 0 {
            self.leases.remove(&entry)
        } else {
            self.leases.insert(entry, lease)
        };
        self.outstanding -= previous.map_or(0, |previous| previous.outstanding);
        self.outstanding += lease.outstanding;
    }

    fn expire(&mut self, now: Instant) {
        let outstanding = &mut self.outstanding;
        self.leases.retain(|_, lease| {
            let is_valid = now < lease.until;
            if !is_valid {
                *outstanding -= lease.outstanding;
            }
            is_valid
        });
    }
}

impl FairShare {
    /// Computes the max-min fair division: each demand is met in full, or up to an equal
    /// share for all demands that cannot be met.
    fn of(demands: impl Iterator<Item = u32>) -> Self {
        let mut sorted: Vec<u32> = demands.filter(|demand| *demand > 0).collect();
        sorted.sort_unstable();
        let total_demand = sorted.iter().copied().map(u64::from).sum();
        let mut remaining = FULL_QUOTA;
        let mut count = u32::try_from(sorted.len()).unwrap_or(u32::MAX);
        for demand in sorted {
            if demand > remaining / count {
                return FairShare {
                    max: remaining / count,
                    spare: 0,
                    total_demand,
                };
            }
            remaining -= demand;
            count -= 1;
        }
        FairShare {
            max: FULL_QUOTA,
            spare: remaining,
            total_demand,
        }
    }

    /// Returns the share for a demand: the demand, limited to the fair share, plus a part
    /// of the spare quota in proportion to the demand.
    fn for_demand(self, demand: u32) -> u32 {
        if self.total_demand == 0 {
            return demand.min(self.max);
        }
        let spare = u64::from(self.spare) * u64::from(demand) / self.total_demand;
        demand.min(self.max) + u32::try_from(spare).unwrap_or(0)
    }
}
