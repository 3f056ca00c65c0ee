//! When a conviction may be acted on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::Fingerprint;

/// Time that a conviction must have held. All entries that had requests on a crashed target
/// have reported it by then; the verdict on the first reports alone could convict a
/// bystander.
const SETTLE_DELAY: Duration = Duration::from_millis(200);

/// Withholds convictions until the reports of a crash are complete.
///
/// ```
/// use route::{Fingerprint, VerdictSettling};
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let at = |ms| start + Duration::from_millis(ms);
/// let (poison, bystander) = (Fingerprint::new([1; 32]), Fingerprint::new([2; 32]));
/// let mut settling = VerdictSettling::default();
/// settling.update([poison], at(0));
/// settling.update([poison, bystander], at(150));
/// assert_eq!(settling.due(), Some(at(200)));
/// assert_eq!(settling.take_settled(at(200)), [poison].into());
/// assert_eq!(settling.due(), Some(at(350)));
/// // A later report shows that it is innocent.
/// settling.update([poison], at(300));
/// assert_eq!(settling.take_settled(at(350)), [poison].into());
/// assert_eq!(settling.due(), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct VerdictSettling {
    /// Convicted features, and since when without a break.
    convicted: BTreeMap<Fingerprint, Instant>,
    due: Option<Instant>,
}

impl VerdictSettling {
    /// Records the verdicts after a change.
    pub fn update(&mut self, convicted: impl IntoIterator<Item = Fingerprint>, now: Instant) {
        let since = |feature| {
            let known = self.convicted.get(&feature).copied();
            (feature, known.unwrap_or(now))
        };
        self.convicted = convicted.into_iter().map(since).collect();
        self.due.get_or_insert(now + SETTLE_DELAY);
    }

    /// When verdicts are to be passed on next; `None` without a change.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// The convictions to pass on now. Those that are withheld are due later.
    pub fn take_settled(&mut self, now: Instant) -> BTreeSet<Fingerprint> {
        let (settled, withheld): (Vec<_>, Vec<_>) = self
            .convicted
            .iter()
            .map(|(feature, since)| (*feature, *since + SETTLE_DELAY))
            .partition(|(_, settled_at)| *settled_at <= now);
        self.due = withheld.into_iter().map(|(_, at)| at).min();
        settled.into_iter().map(|(feature, _)| feature).collect()
    }
}
