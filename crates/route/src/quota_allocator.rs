//! Who may use which part of an account's limits.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use member::hash_name;

/// The whole of an account's limits.
pub const FULL_QUOTA: u32 = 10_000;
/// Accounts that are kept track of; more are left to the entries' own parts.
const MOST_ACCOUNTS: usize = 20_000;

/// The number that stands for an account between entries and control. Two accounts that
/// share one are granted the same part, which is then less than each might have.
///
/// ```
/// assert_ne!(route::account_hash("huber"), route::account_hash("maier"));
/// ```
#[must_use]
pub fn account_hash(name: &str) -> u32 {
    let bytes = hash_name(name).to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// What an entry tells of its use of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaUsage {
    /// Hash of the account's name.
    pub account: u32,
    /// What its callers ask for there, of [`FULL_QUOTA`].
    pub demand: u32,
    /// What the entry gives out at most, by the last grant that it acts on.
    pub held: u32,
}

/// The part of an account's limits that an entry may give out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    /// Hash of the account's name.
    pub account: u32,
    /// Of [`FULL_QUOTA`].
    pub share: u32,
}

/// Gives out the parts of all accounts' limits, at one leader.
///
/// A part is granted for a lease. What was granted to one entry is not granted to
/// another before the first has said that it acts on less, or its lease is over: so
/// the parts that are acted on never exceed the whole, whatever message is lost.
#[derive(Debug)]
pub struct QuotaAllocator {
    began: Instant,
    lease: Duration,
    accounts: BTreeMap<u32, Account>,
    /// Number of the last report of each entry, and when it is forgotten.
    reports: BTreeMap<u64, (u64, Instant)>,
    /// When to look for what is over.
    expires: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    demand: u32,
    /// The most that the entry may act on.
    outstanding: u32,
    until: Instant,
}

/// The holdings of one account.
#[derive(Debug, Default)]
struct Account {
    holdings: BTreeMap<u64, Holding>,
    /// All that is outstanding.
    taken: u32,
    level: Level,
    /// When the level was worked out. That looks at each holding, which for an account
    /// of all of hundreds of entries is too much for each report.
    levelled: Option<Instant>,
}

/// How far the whole goes round.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// Who asks for more gets this.
    most: u32,
    /// What nobody asks for.
    spare: u32,
    total: u64,
}

/// The level is worked out once in this part of a lease.
const LEVEL_PART: u32 = 30;

impl QuotaAllocator {
    /// Begins at the moment when this leader was elected.
    ///
    /// ```
    /// use route::{QuotaAllocator, QuotaUsage, FULL_QUOTA};
    /// use std::time::{Duration, Instant};
    ///
    /// let (began, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut exchange = QuotaAllocator::new(began, lease);
    /// let used = QuotaUsage { account: 7, demand: 100, held: 0 };
    /// let parts = exchange.report(1, 1, &[used], began + lease);
    /// assert_eq!(parts[0].share, FULL_QUOTA);
    /// ```
    #[must_use]
    pub fn new(began: Instant, lease: Duration) -> Self {
        QuotaAllocator {
            began,
            lease,
            accounts: BTreeMap::new(),
            reports: BTreeMap::new(),
            expires: began + lease,
        }
    }

    /// Takes in what an entry reports, and grants it its parts. `sequence` counts the
    /// reports of each entry; one that was overtaken is granted nothing.
    ///
    /// In its first lease a leader doesn't know what its predecessor granted, so it
    /// grants each entry just what it holds.
    ///
    /// ```
    /// use route::{QuotaAllocator, QuotaUsage, FULL_QUOTA};
    /// use std::time::{Duration, Instant};
    ///
    /// let (began, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut exchange = QuotaAllocator::new(began, lease);
    /// let held = QuotaUsage { account: 7, demand: 100, held: 400 };
    /// assert_eq!(exchange.report(1, 1, &[held], began)[0].share, 400);
    /// ```
    pub fn report(
        &mut self,
        entry: u64,
        sequence: u64,
        uses: &[QuotaUsage],
        now: Instant,
    ) -> Vec<QuotaGrant> {
        let last = self.reports.get(&entry);
        if last.is_some_and(|(last, _)| sequence <= *last) {
            return Vec::new();
        }
        self.reports.insert(entry, (sequence, now + self.lease * 2));
        let parts = uses.iter().filter_map(|used| self.grant(entry, used, now));
        parts.collect()
    }

    /// Forgets what is over; it looks once in each lease.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let mut exchange = route::QuotaAllocator::new(now, Duration::from_secs(3));
    /// exchange.expire(now);
    /// assert_eq!(exchange.accounts(), 0);
    /// ```
    pub fn expire(&mut self, now: Instant) {
        if now < self.expires {
            return;
        }
        self.expires = now + self.lease;
        for account in self.accounts.values_mut() {
            account.expire(now);
        }
        self.accounts
            .retain(|_, account| !account.holdings.is_empty());
        self.reports.retain(|_, (_, until)| now < *until);
    }

    /// Accounts of which parts are held.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let exchange = route::QuotaAllocator::new(Instant::now(), Duration::from_secs(3));
    /// assert_eq!(exchange.accounts(), 0);
    /// ```
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    fn grant(&mut self, entry: u64, used: &QuotaUsage, now: Instant) -> Option<QuotaGrant> {
        let known = self.accounts.contains_key(&used.account);
        if !known && self.accounts.len() >= MOST_ACCOUNTS {
            return None;
        }
        let settled = now >= self.began + self.lease;
        let account = self.accounts.entry(used.account).or_default();
        let asked = account.ask(entry, used.demand, now, self.lease);
        let free = FULL_QUOTA.saturating_sub(account.taken - asked.outstanding);
        let share = if settled {
            account.level.part(used.demand).min(free)
        } else {
            used.held.min(free)
        };
        let outstanding = share.max(used.held);
        account.hold(
            entry,
            Holding {
                outstanding,
                ..asked
            },
        );
        Some(QuotaGrant {
            account: used.account,
            share,
        })
    }
}

impl Account {
    /// Notes what an entry asks for.
    fn ask(&mut self, entry: u64, demand: u32, now: Instant, lease: Duration) -> Holding {
        let former = self.holdings.get(&entry);
        let asked = Holding {
            demand,
            outstanding: former.map_or(0, |former| former.outstanding),
            until: now + lease,
        };
        let fresh = former.is_none();
        self.holdings.insert(entry, asked);
        let due = self
            .levelled
            .is_none_or(|at| now >= at + lease / LEVEL_PART);
        if due || fresh {
            self.expire(now);
            self.level = Level::of(self.holdings.values().map(|held| held.demand));
            self.levelled = Some(now);
        }
        asked
    }

    fn hold(&mut self, entry: u64, holding: Holding) {
        let former = if holding.outstanding == 0 && holding.demand == 0 {
            self.holdings.remove(&entry)
        } else {
            self.holdings.insert(entry, holding)
        };
        self.taken -= former.map_or(0, |former| former.outstanding);
        self.taken += holding.outstanding;
    }

    fn expire(&mut self, now: Instant) {
        let taken = &mut self.taken;
        self.holdings.retain(|_, holding| {
            let holds = now < holding.until;
            if !holds {
                *taken -= holding.outstanding;
            }
            holds
        });
    }
}

impl Level {
    /// All get what they ask for, as far as the whole goes round with equal parts for
    /// those who ask for more.
    fn of(demands: impl Iterator<Item = u32>) -> Self {
        let mut asked: Vec<u32> = demands.filter(|demand| *demand > 0).collect();
        asked.sort_unstable();
        let total = asked.iter().copied().map(u64::from).sum();
        let mut left = FULL_QUOTA;
        let mut count = u32::try_from(asked.len()).unwrap_or(u32::MAX);
        for demand in asked {
            if demand > left / count {
                return Level {
                    most: left / count,
                    spare: 0,
                    total,
                };
            }
            left -= demand;
            count -= 1;
        }
        Level {
            most: FULL_QUOTA,
            spare: left,
            total,
        }
    }

    /// The part of one who asks for `demand`: that, and of what nobody asks for a part
    /// by it.
    fn part(self, demand: u32) -> u32 {
        if self.total == 0 {
            return demand.min(self.most);
        }
        let spare = u64::from(self.spare) * u64::from(demand) / self.total;
        demand.min(self.most) + u32::try_from(spare).unwrap_or(0)
    }
}
