//! How many retries one of many entries may send.

use std::time::Duration;

/// Share of the tolerated retries that all entries use together. The rest covers entries
/// that come, go or cannot reach control, so that their number is known late.
const USED_SHARE: f64 = 0.6;
/// Parts of an entry's retries in a window: earned ones that it has saved, and its
/// reserve. The remaining part is refilled within the window.
const SAVED_SHARE: f64 = 5.0 / 13.0;
const RESERVE_SHARE: f64 = 3.0 / 13.0;

/// Retries of one entry that are not earned by its requests in the same window.
///
/// ```
/// use route::RetryLimits;
/// use std::time::Duration;
///
/// let window = Duration::from_secs(10);
/// let of_four = RetryLimits::of_entry(88, window, 4);
/// let of_hundred = RetryLimits::of_entry(88, window, 100);
/// assert!(of_four.per_window(window) * 4.0 <= 88.0);
/// assert!(of_hundred.per_window(window) * 100.0 <= 88.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Maximum number of earned retries that are saved.
    pub saved: f64,
    /// Maximum number of retries in the reserve.
    pub reserve: f64,
    /// Time in which one retry of the reserve is refilled.
    pub refill_period: Duration,
}

impl RetryLimits {
    /// No retries at all.
    pub const NONE: RetryLimits = RetryLimits {
        saved: 0.0,
        reserve: 0.0,
        refill_period: Duration::MAX,
    };

    /// The limits of an entry that does not know the number of entries: a single retry,
    /// which it has from the start.
    pub const AT_START: RetryLimits = RetryLimits {
        reserve: 1.0,
        ..RetryLimits::NONE
    };

    /// The limits of each of `entries` entries if a service tolerates `tolerated` retries
    /// in a window beyond those that are earned.
    ///
    /// A saved or reserved retry is of use only as a whole, so with few retries an entry
    /// has one of a kind, and with less than one it has none.
    #[must_use]
    pub fn of_entry(tolerated: u32, window: Duration, entries: u32) -> RetryLimits {
        let share = f64::from(tolerated) * USED_SHARE / f64::from(entries.max(1));
        if share < 1.0 {
            return RetryLimits::NONE;
        }
        let saved = (share * SAVED_SHARE).max(1.0);
        let reserve = (share * RESERVE_SHARE).max(1.0);
        if saved + reserve > share {
            return RetryLimits {
                saved: 1.0,
                ..RetryLimits::NONE
            };
        }
        let refilled = share - saved - reserve;
        let period = window.as_secs_f64() / refilled;
        RetryLimits {
            saved,
            reserve,
            refill_period: Duration::try_from_secs_f64(period).unwrap_or(Duration::MAX),
        }
    }

    /// Maximum number of retries in a window that are not earned within it.
    ///
    /// ```
    /// let none = route::RetryLimits::NONE;
    /// assert!(none.per_window(std::time::Duration::from_secs(10)) < 1e-9);
    /// ```
    #[must_use]
    pub fn per_window(&self, window: Duration) -> f64 {
        let refilled = window.as_secs_f64() / self.refill_period.as_secs_f64();
        self.saved + self.reserve + refilled
    }
}
