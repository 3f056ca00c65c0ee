//! How far crashes speak against one feature of requests.

use std::collections::{BTreeMap, BTreeSet};

/// Requests with and without a feature that are assumed in addition to those seen (rule of
/// succession), as a few crashes say little of how common it is.
const ASSUMED_CARRIERS: f64 = 1.0;
const ASSUMED_REQUESTS: f64 = 2.0;
/// Probability up to which the presence of a part in all of its crashes is not put down to
/// chance.
const UNLIKELY: f64 = 0.05;
/// Probability up to which a part is the cause for certain, if nothing else explains its
/// crashes.
const VERY_UNLIKELY: f64 = 0.001;

/// The requests on a crashed target that had a feature.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Carriers {
    /// Number of these requests.
    count: usize,
    /// Of the latest requests of their entries, the number of others that had the feature.
    others: u64,
    /// Number of these latest requests.
    recent: u64,
}

impl Carriers {
    /// Adds a request whose entry has had the feature in this many of its latest requests.
    pub(crate) fn add(&mut self, with_feature: u32, recent: u32) {
        self.count += 1;
        self.others += u64::from(with_feature.saturating_sub(1));
        self.recent += u64::from(recent.saturating_sub(1));
    }
}

/// A crash in which a feature ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Sample {
    /// Number of the crash, in order of time.
    pub(crate) crash: u64,
    /// Whether the feature is a request itself.
    pub(crate) is_request: bool,
    pub(crate) carriers: Carriers,
    /// Number of requests on the target.
    pub(crate) ran: usize,
    /// Whether a convicted request that had the feature explains the crash.
    pub(crate) is_explained: bool,
    /// Whether one of the requests that had the feature ran in no earlier crash. A request
    /// that is sent again after a crash is on the next target for that reason.
    pub(crate) is_new: bool,
}

/// The unexplained crashes in which a feature ran.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    /// Samples by number of the crash.
    samples: BTreeMap<u64, Sample>,
}

impl Evidence {
    pub(crate) fn add(&mut self, sample: Sample) {
        self.samples.insert(sample.crash, sample);
    }

    /// Number of crashes.
    pub(crate) fn crashes(&self) -> usize {
        self.samples.len()
    }

    /// Number of crashes in which another request had the feature than before.
    pub(crate) fn independent_crashes(&self) -> usize {
        self.samples.values().filter(|sample| sample.is_new).count()
    }

    /// The evidence without some crashes.
    pub(crate) fn without(&self, crashes: &BTreeSet<u64>) -> Evidence {
        let samples = self.samples.values();
        let kept = samples.filter(|sample| !crashes.contains(&sample.crash));
        Evidence {
            samples: kept.map(|sample| (sample.crash, *sample)).collect(),
        }
    }

    /// Number of crashes that no convicted request explains.
    pub(crate) fn unexplained_crashes(&self) -> usize {
        let samples = self.samples.values();
        samples.filter(|sample| !sample.is_explained).count()
    }

    /// The numbers of the crashes.
    pub(crate) fn numbers(&self) -> impl Iterator<Item = u64> {
        self.samples.keys().copied()
    }

    /// Number of the first crash.
    pub(crate) fn first_crash(&self) -> u64 {
        self.samples.keys().next().copied().unwrap_or(u64::MAX)
    }

    /// Whether the feature ran in a crash.
    pub(crate) fn includes(&self, crash: u64) -> bool {
        self.samples.contains_key(&crash)
    }

    /// Whether the feature ran in all crashes of another one.
    pub(crate) fn covers(&self, other: &Evidence) -> bool {
        other.samples.keys().all(|crash| self.includes(*crash))
    }

    /// Whether the feature is a request itself.
    pub(crate) fn is_request(&self) -> bool {
        self.samples.values().any(|sample| sample.is_request)
    }

    /// Whether the feature is unlikely to have run in all of its crashes by chance.
    pub(crate) fn is_convincing(&self) -> bool {
        self.chance() <= UNLIKELY
    }

    /// Whether the feature has certainly not run in all of its crashes by chance.
    pub(crate) fn is_certain(&self) -> bool {
        self.chance() <= VERY_UNLIKELY
    }

    /// Whether the feature, not decided yet, keeps another one that ran in the same crashes
    /// from being convicted. Of the many parts that run in crashes some do so by chance, so a
    /// request is more likely than a part that is not certain.
    pub(crate) fn outweighs(&self, other: &Evidence) -> bool {
        self.is_request() || !other.is_request() || self.is_certain()
    }

    /// Probability that the feature ran in each of its crashes by chance. How common a part
    /// is follows from the latest requests of entries, and from those that ran beside the one
    /// that may be the cause. One request does not run on several targets by chance.
    pub(crate) fn chance(&self) -> f64 {
        let Some(share) = self.share() else {
            return 0.0;
        };
        let absent = |ran: usize| (0..ran).fold(1.0, |product, _| product * (1.0 - share));
        let samples = self.samples.values().filter(|sample| sample.is_new);
        samples.fold(1.0, |product, sample| product * (1.0 - absent(sample.ran)))
    }

    /// Share of the requests that have the feature, without those that may be the cause;
    /// `None` if it is a request itself.
    fn share(&self) -> Option<f64> {
        let (mut with_feature, mut all) = (0, 0);
        for sample in self.samples.values() {
            if sample.is_request {
                return None;
            }
            let bystanders = sample.carriers.count.saturating_sub(1);
            with_feature += bystanders as u64 + sample.carriers.others;
            all += sample.ran.saturating_sub(1) as u64 + sample.carriers.recent;
        }
        let with_feature = as_f64(with_feature) + ASSUMED_CARRIERS;
        Some(with_feature / (as_f64(all) + ASSUMED_REQUESTS))
    }
}

/// A number of requests; the bounds of the tally keep it small.
fn as_f64(count: u64) -> f64 {
    u32::try_from(count).unwrap_or(u32::MAX).into()
}
