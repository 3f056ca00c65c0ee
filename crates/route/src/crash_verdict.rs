//! Verdicts of the crash tally on what may have caused the crashes.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use crate::crash_evidence::{Evidence, Sample};
use crate::crash_record::Crash;
use crate::{CrashTally, Fingerprint};

/// Number of targets that crash under a feature before it is convicted.
const CONVICTING_CRASHES: usize = 3;
/// Number of targets that crash under several features that always ran together before
/// the least common of them are convicted.
const CONVICTING_CRASHES_TOGETHER: usize = 5;
/// Number of targets that crash under features that are all so common that they would have
/// run there anyway, before the least common of them are convicted. If such a feature is
/// the cause, targets crash at once.
const CONVICTING_CRASHES_COMMON: usize = 10;
/// Number of crashes that make a feature suspect.
const SUSPICIOUS_CRASHES: usize = 2;
/// Number of requests that must have had a part before it is put down to the part.
const CONVICTING_REQUESTS: usize = 2;
/// Maximum number of convicted features.
const MAX_CONVICTED: usize = 4096;
/// Maximum number of watched parts.
const MAX_WATCHED: usize = 1024;

impl CrashTally {
    /// Convicts features on the evidence of the crashes up to each one since the number
    /// `since`. Convictions that rest on crashes forgotten since stay.
    ///
    /// A request that was convicted before stays so, too: crashes under another cause say
    /// nothing about it. One that was convicted by `since` or later is judged anew, as a
    /// report of that crash may have been missing. Parts are always judged on all evidence.
    pub(crate) fn judge(&mut self, since: u64) {
        let before = self.convicted.clone();
        let crashes = &self.crashes;
        self.convicted.retain(|feature, convicted_by| {
            let own = crashes.values().filter(|crash| crash.has(feature));
            let is_request = || {
                crashes
                    .values()
                    .any(|crash| crash.ran.contains_key(feature))
            };
            own.count() < CONVICTING_CRASHES || *convicted_by < since && is_request()
        });
        let mut numbers: Vec<u64> = crashes.values().map(|crash| crash.reported).collect();
        numbers.sort_unstable();
        let unjudged = numbers.partition_point(|number| *number < since);
        for number in &numbers[unjudged..] {
            self.judge_up_to(*number);
        }
        self.version += u64::from(!self.convicted.keys().eq(before.keys()));
        while self.convicted.len() > MAX_CONVICTED {
            let oldest = self.convicted.iter().min_by_key(|(_, added_at)| **added_at);
            let Some(feature) = oldest.map(|(feature, _)| *feature) else {
                break;
            };
            self.convicted.remove(&feature);
            self.version += 1;
        }
        let (suspects, watched) = (self.find_suspects(), self.find_watched());
        if suspects != self.suspects || watched != self.watched {
            (self.suspects, self.watched) = (suspects, watched);
            self.version += 1;
        }
    }

    /// Convicts features on the evidence of the crashes up to the one with this number.
    fn judge_up_to(&mut self, number: u64) {
        while let Some(guilty) = self.next_guilty(number) {
            for feature in guilty {
                self.convicted.insert(feature, number);
            }
            self.release_explained();
        }
    }

    /// Releases the requests whose crashes convicted parts explain: they ran beside the cause.
    fn release_explained(&mut self) {
        let explained: Vec<Fingerprint> = self
            .convicted
            .keys()
            .filter(|feature| self.is_explained_by_part(feature))
            .copied()
            .collect();
        for feature in explained {
            self.convicted.remove(&feature);
        }
    }

    /// Whether convicted parts leave too few crashes for the conviction of a request.
    fn is_explained_by_part(&self, request: &Fingerprint) -> bool {
        let crashes = self.crashes.values();
        let own = crashes.filter(|crash| crash.ran.contains_key(request) && crash.has(request));
        let (by_part, others): (Vec<&Crash>, Vec<&Crash>) =
            own.partition(|crash| matches!(self.explanation(crash), Explanation::Part));
        !by_part.is_empty() && others.len() < CONVICTING_CRASHES
    }

    /// The next features to convict, if the evidence is sufficient.
    fn next_guilty(&self, until: u64) -> Option<Vec<Fingerprint>> {
        let evidence = self.evidence(until);
        let mut candidates: Vec<(&Fingerprint, &Evidence)> = evidence
            .iter()
            .filter(|(_, evidence)| evidence.crashes() >= CONVICTING_CRASHES)
            .collect();
        // What explains the most crashes first, if it did not run there by chance: reports may
        // still lack the cause of the newest crashes, and have common parts for all of them.
        candidates.sort_by(|(_, a), (_, b)| {
            let by_conviction = b.is_convincing().cmp(&a.is_convincing());
            let by_crashes = match (a.is_convincing(), b.is_convincing()) {
                (true, true) => b.crashes().cmp(&a.crashes()),
                _ => Ordering::Equal,
            };
            let by_chance = a.chance().total_cmp(&b.chance());
            by_conviction.then(by_crashes).then(by_chance)
        });
        // More likely features that are not decided yet. What explains all of their crashes
        // competes with them; others are judged by the crashes that they leave.
        let mut undecided: Vec<&Evidence> = Vec::new();
        for (feature, own) in &candidates {
            let others = undecided
                .iter()
                .filter(|other| !own.covers(other) && other.outweighs(own));
            let taken: BTreeSet<u64> = others.flat_map(|other| other.numbers()).collect();
            let rest = own.without(&taken);
            let only_explanation =
                convincing_rivals(&evidence, own).all(|(rival, _)| rival == *feature);
            let is_certain = rest.is_certain() && rest.independent_crashes() >= CONVICTING_CRASHES;
            if is_certain && only_explanation {
                return Some(vec![**feature]);
            }
            if rest.crashes() >= CONVICTING_CRASHES_TOGETHER
                && let Some(guilty) = self.least_common_rivals(&evidence, own, &rest)
            {
                return Some(guilty);
            }
            undecided.push(own);
        }
        None
    }

    /// Of the features that explain all crashes of one, those that are least likely to have
    /// run there by chance. If all of them are common, they are convicted only if no crash
    /// since their first one lacks them.
    fn least_common_rivals(
        &self,
        evidence: &BTreeMap<Fingerprint, Evidence>,
        own: &Evidence,
        rest: &Evidence,
    ) -> Option<Vec<Fingerprint>> {
        let is_alone = evidence.values().filter(|rival| rival.covers(own)).count() == 1;
        let needed = if is_alone {
            CONVICTING_CRASHES_TOGETHER
        } else {
            CONVICTING_CRASHES_COMMON
        };
        let is_enough = rest.unexplained_crashes() >= needed;
        if !(rest.is_convincing() || is_enough && self.runs_in_all_since(own)) {
            return None;
        }
        let rivals = || evidence.iter().filter(|(_, rival)| rival.covers(own));
        let least = rivals()
            .map(|(_, rival)| rival.chance())
            .min_by(f64::total_cmp)?;
        let guilty = rivals().filter(|(_, rival)| rival.chance() <= least);
        Some(guilty.map(|(feature, _)| *feature).collect())
    }

    /// Whether no crash without an explanation lacks the feature since its first one.
    fn runs_in_all_since(&self, own: &Evidence) -> bool {
        let first = own.first_crash();
        let unexplained = self.crashes.values().filter(|crash| {
            crash.reported >= first && !crash.features().any(|f| self.is_convicted(f))
        });
        let mut reported = unexplained.map(|crash| crash.reported);
        reported.all(|reported| own.includes(reported))
    }

    pub(crate) fn find_suspects(&self) -> BTreeSet<Fingerprint> {
        let evidence = self.evidence(u64::MAX).into_iter();
        let suspects = evidence.filter(|(_, evidence)| {
            evidence.crashes() >= SUSPICIOUS_CRASHES && evidence.is_convincing()
        });
        suspects.map(|(feature, _)| feature).collect()
    }

    pub(crate) fn find_watched(&self) -> BTreeSet<Fingerprint> {
        let crashes = self.by_age().into_iter().rev();
        let unexplained = crashes.filter(|crash| !crash.features().any(|f| self.is_convicted(f)));
        let parts =
            unexplained.flat_map(|crash| crash.ran.values().flat_map(|ran| ran.parts.keys()));
        let mut watched = BTreeSet::new();
        for part in parts {
            if watched.len() >= MAX_WATCHED {
                break;
            }
            watched.insert(*part);
        }
        watched
    }

    /// For each feature that may be a cause, the crashes up to a number in which it ran and
    /// that nothing else explains.
    fn evidence(&self, until: u64) -> BTreeMap<Fingerprint, Evidence> {
        let mut evidence: BTreeMap<Fingerprint, Evidence> = BTreeMap::new();
        let mut carriers: BTreeMap<Fingerprint, BTreeSet<Fingerprint>> = BTreeMap::new();
        let mut counted = BTreeMap::new();
        let runs = self.runs();
        for crash in self.by_age() {
            if crash.reported > until {
                break;
            }
            let mut new_carriers: BTreeSet<Fingerprint> = BTreeSet::new();
            for (request, ran) in &crash.ran {
                for part in ran.parts.keys() {
                    if carriers.entry(*part).or_default().insert(*request) {
                        new_carriers.insert(*part);
                    }
                }
            }
            let explanation = self.explanation(crash);
            for (feature, carriers) in crash.carriers() {
                let is_request = crash.ran.contains_key(&feature);
                let covers = |guilty: &Fingerprint| !is_request && covers(&runs, &feature, guilty);
                if !explanation.leaves_open(covers) {
                    continue;
                }
                if explanation.is_some() && !counts_against(feature, &explanation, &mut counted) {
                    continue;
                }
                let sample = Sample {
                    crash: crash.reported,
                    is_request,
                    carriers,
                    ran: crash.ran.len(),
                    is_explained: explanation.is_some(),
                    is_new: is_request || new_carriers.contains(&feature),
                };
                evidence.entry(feature).or_default().add(sample);
            }
        }
        // A part that a single request has brought is put down to that request.
        evidence.retain(|feature, _| {
            let requests = carriers.get(feature);
            requests.is_none_or(|requests| requests.len() >= CONVICTING_REQUESTS)
        });
        evidence
    }

    fn runs(&self) -> Runs {
        let mut runs = Runs::new();
        for crash in self.crashes.values() {
            for feature in crash.features() {
                runs.entry(*feature).or_default().insert(crash.reported);
            }
        }
        runs
    }

    /// The crashes in the order in which they were first reported.
    fn by_age(&self) -> Vec<&Crash> {
        let mut crashes: Vec<&Crash> = self.crashes.values().collect();
        crashes.sort_by_key(|crash| crash.reported);
        crashes
    }

    /// What convicted features explain a crash.
    fn explanation<'a>(&self, crash: &'a Crash) -> Explanation<'a> {
        let mut parts = crash.ran.values().flat_map(|ran| ran.parts.keys());
        if parts.any(|part| self.is_convicted(part)) {
            return Explanation::Part;
        }
        let guilty = crash
            .ran
            .iter()
            .filter(|(request, ran)| !ran.is_cleared && self.is_convicted(request));
        Explanation::Requests(guilty.map(|(request, _)| request).collect())
    }
}

/// The convicted features that explain a crash.
enum Explanation<'a> {
    /// A part of a prompt.
    Part,
    /// These requests. The cause may be a part that has run in all of their crashes all the
    /// same.
    Requests(Vec<&'a Fingerprint>),
}

impl<'a> Explanation<'a> {
    /// Whether a convicted feature explains the crash at all.
    fn is_some(&self) -> bool {
        match self {
            Explanation::Part => true,
            Explanation::Requests(guilty) => !guilty.is_empty(),
        }
    }

    /// Whether the crash speaks against a feature all the same that has run in all crashes of
    /// the requests for which `covers` is true.
    fn leaves_open(&self, covers: impl Fn(&Fingerprint) -> bool) -> bool {
        match self {
            Explanation::Part => false,
            Explanation::Requests(guilty) => guilty.iter().all(|request| covers(request)),
        }
    }

    /// The convicted requests that explain the crash.
    fn requests(&self) -> &[&'a Fingerprint] {
        match self {
            Explanation::Part => &[],
            Explanation::Requests(guilty) => guilty,
        }
    }
}

/// The numbers of the crashes in which each feature ran.
type Runs = BTreeMap<Fingerprint, BTreeSet<u64>>;

/// Whether a feature ran in all crashes of a request.
fn covers(runs: &Runs, feature: &Fingerprint, request: &Fingerprint) -> bool {
    let (own, of_request) = (runs.get(feature), runs.get(request));
    own.zip(of_request)
        .is_some_and(|(own, other)| own.is_superset(other))
}

/// Whether a crash that convicted requests explain counts against a part of them, given how
/// many crashes of each request have been counted. Those that follow the conviction of a
/// request say nothing more of its parts.
fn counts_against(
    part: Fingerprint,
    explanation: &Explanation<'_>,
    counted: &mut BTreeMap<(Fingerprint, Fingerprint), usize>,
) -> bool {
    let mut counts = false;
    for request in explanation.requests() {
        let count = counted.entry((part, **request)).or_default();
        *count += 1;
        counts |= *count <= CONVICTING_CRASHES;
    }
    counts
}

/// The features that explain all crashes of one and are not there by chance.
fn convincing_rivals<'a>(
    evidence: &'a BTreeMap<Fingerprint, Evidence>,
    own: &'a Evidence,
) -> impl Iterator<Item = (&'a Fingerprint, &'a Evidence)> {
    evidence
        .iter()
        .filter(|(_, rival)| rival.is_convincing() && rival.outweighs(own) && rival.covers(own))
}
