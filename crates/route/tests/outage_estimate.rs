//! Prediction of the end of an outage, and the return of callers after it.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{
    DispatchOutcome, Locality, OutageEstimate, Priority, ReportedLoad, Return, ReturnRamp,
    ReturnSchedule, TargetKey, TargetSet, TargetSetSettings,
};
use std::time::{Duration, Instant};

const ASSUMED: Duration = Duration::from_secs(3);
const SETTLED: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Goes through an outage of this length; returns the time at which it has settled.
fn pass(estimate: &mut OutageEstimate, length: Duration, now: Instant) -> Instant {
    estimate.began(now);
    estimate.ended(now + length);
    let settled = now + length + SETTLED;
    estimate.settle(settled);
    settled
}

/// Guards against a prediction without evidence, or one in a service that is available.
#[test]
fn remaining_without_measured_outage() {
    let now = Instant::now();
    let mut estimate = OutageEstimate::new(ASSUMED);
    assert_eq!(estimate.remaining(now), None);
    assert_eq!(estimate.began(now), Some(ASSUMED));
    assert_eq!(estimate.remaining(now + ms(400)), Some(ms(2_600)));
    estimate.ended(now + ms(500));
    assert_eq!(estimate.remaining(now + ms(500)), None);
}

/// Guards against callers who are told that a service is back at once, again and again,
/// in an outage that lasts longer than predicted.
#[test]
fn remaining_past_predicted_end() {
    let now = Instant::now();
    let mut estimate = OutageEstimate::new(ASSUMED);
    estimate.began(now);
    for seconds in 4..60 {
        let elapsed = Duration::from_secs(seconds);
        assert_eq!(estimate.remaining(now + elapsed), Some(elapsed / 2));
    }
}

/// Guards against predictions that keep to the first outage after the usual length has
/// changed.
#[test]
fn began_after_outages_of_other_length() {
    let mut now = Instant::now();
    let mut estimate = OutageEstimate::new(ASSUMED);
    now = pass(&mut estimate, ms(1_000), now);
    assert_eq!(estimate.began(now), Some(ms(1_000)));
    estimate.ended(now);
    now += SETTLED;
    estimate.settle(now);
    for _ in 0..5 {
        now = pass(&mut estimate, ms(4_000), now);
    }
    let predicted = estimate.began(now).unwrap();
    assert!(
        predicted > ms(3_800) && predicted <= ms(4_000),
        "{predicted:?}"
    );
}

/// Guards against single declined requests that make the next outage look short.
#[test]
fn began_after_short_outages() {
    let mut now = Instant::now();
    let mut estimate = OutageEstimate::new(ASSUMED);
    for _ in 0..10 {
        now = pass(&mut estimate, ms(49), now);
    }
    assert_eq!(estimate.began(now), Some(ASSUMED));
}

/// Guards against an outage whose prediction starts anew with each request that a target
/// accepts by chance, and against a mean of its pieces.
#[test]
fn began_again_within_interruption() {
    let begin = Instant::now();
    let mut estimate = OutageEstimate::new(ASSUMED);
    estimate.began(begin);
    for piece in 1..10 {
        let at = begin + ms(200) * piece;
        estimate.ended(at);
        assert_eq!(estimate.settle(at + ms(199)), None);
        assert_eq!(estimate.began(at + ms(199)), None);
    }
    assert_eq!(estimate.remaining(begin + ms(2_000)), Some(ms(1_000)));
    estimate.ended(begin + ms(2_000));
    estimate.ended(begin + ms(2_100));
    let outage = estimate.settle(begin + ms(2_200)).unwrap();
    assert_eq!((outage.length, outage.predicted), (ms(2_000), ASSUMED));
    assert_eq!(estimate.settle(begin + ms(2_300)), None);
    assert_eq!(estimate.began(begin + ms(2_300)), Some(ms(2_000)));
}

/// Guards against an outage that is forgotten if nobody asks for it before the next one.
#[test]
fn began_after_end_not_settled() {
    let begin = Instant::now();
    let mut estimate = OutageEstimate::new(ASSUMED);
    estimate.began(begin);
    estimate.ended(begin + ms(700));
    assert_eq!(estimate.began(begin + ms(9_000)), Some(ms(700)));
}

/// A schedule of an entry that has started this many requests per second for 10 s.
fn schedule(per_second: u32, begin: Instant) -> (ReturnSchedule, Instant) {
    let mut schedule = ReturnSchedule::default();
    for n in 0..per_second * 10 {
        schedule.record_start(begin + Duration::from_secs(1) * n / per_second);
    }
    (schedule, begin + Duration::from_secs(10))
}

fn priority(route: u32) -> Priority {
    Priority { account: 0, route }
}

const RETURN: Return = Return {
    remaining: Duration::from_secs(2),
    ahead: 0,
    max_delay: Duration::from_mins(1),
};

/// Guards against callers that come back all at once, or before the predicted return.
#[test]
fn retry_after_spreads_at_previous_rate() {
    let (mut schedule, outage) = schedule(40, Instant::now());
    schedule.outage_began(outage);
    let mut rng = SmallRng::seed_from_u64(11);
    let mut per_second = [0_u32; 10];
    for _ in 0..400 {
        let delay = schedule.retry_after(priority(1), &RETURN, rng.random(), outage);
        let after = delay.checked_sub(RETURN.remaining).unwrap();
        per_second[usize::try_from(after.as_secs()).unwrap().min(9)] += 1;
    }
    assert!(
        per_second.iter().all(|count| (39..=41).contains(count)),
        "{per_second:?}"
    );
}

/// Guards against a rate that is taken while requests already stall, which would send
/// callers back too late.
#[test]
fn rate_before_with_stall() {
    let (mut schedule, stall) = schedule(40, Instant::now());
    schedule.outage_began(stall + ms(1_500));
    assert_eq!(schedule.rate_before(), Some(40.0));
}

/// Guards against a rate of zero in a service with a request every few seconds.
#[test]
fn rate_before_with_few_starts() {
    let now = Instant::now();
    let mut schedule = ReturnSchedule::default();
    schedule.outage_began(now);
    assert_eq!(schedule.rate_before(), None);
    schedule.record_start(now);
    schedule.outage_began(now + ms(3_000));
    assert_eq!(schedule.rate_before(), Some(0.125));
    schedule.outage_began(now + ms(9_000));
    assert_eq!(schedule.rate_before(), None);
}

/// Guards against urgent callers that come back after less urgent ones that were refused
/// earlier, and against delays that callers do not honour.
#[test]
fn retry_after_by_priority() {
    let (mut schedule, outage) = schedule(10, Instant::now());
    schedule.outage_began(outage);
    for _ in 0..50 {
        schedule.retry_after(priority(2), &RETURN, 0.0, outage);
    }
    let mut delay = |route, at: &Return| schedule.retry_after(priority(route), at, 0.0, outage);
    assert_eq!(delay(0, &RETURN), RETURN.remaining);
    assert_eq!(delay(1, &RETURN), RETURN.remaining + ms(100));
    assert_eq!(delay(2, &RETURN), RETURN.remaining + ms(5_200));
    let bounded = Return {
        max_delay: ms(1_500),
        ..RETURN
    };
    assert_eq!(delay(0, &bounded), ms(1_500));
}

/// Guards against entries that fill all slots of the targets at once after an outage, as
/// the reports of load are from before it.
#[test]
fn ramp_without_reports() {
    let now = Instant::now();
    for rate in [None, Some(5.0), Some(20.0), Some(200.0)] {
        let mut ramp = ReturnRamp::new(rate, now);
        let mut started = 0;
        for elapsed in 0..2_000 {
            while ramp.admits(now + ms(elapsed)) {
                ramp.record_start();
                started += 1;
            }
        }
        let rate = rate.unwrap_or(0.0);
        let bound = 2.25_f64.mul_add(rate, 4.0);
        assert!(f64::from(started) <= bound, "{started} at {rate}/s");
        assert!(f64::from(started) >= 2.0 * rate, "{started} at {rate}/s");
        assert!(ramp.admits(now + ms(2_000)));
    }
}

/// Guards against requests that wait longer than needed while the targets report that they
/// have room: starts have to grow with the reports.
#[test]
fn ramp_with_reports() {
    let now = Instant::now();
    let mut ramp = ReturnRamp::new(None, now);
    let mut started = 0_u32;
    let mut unreported = 0;
    for _ in 0..5 {
        for _ in 0..unreported {
            ramp.record_report();
        }
        unreported = 0;
        while ramp.admits(now) {
            ramp.record_start();
            unreported += 1;
        }
        started += unreported;
    }
    assert!(started >= 100, "{started}");
}

/// Targets with free slots that have declined a request one after the other.
fn declining_targets(count: usize, now: Instant) -> (TargetSet, Vec<TargetKey>) {
    let mut targets = TargetSet::new(TargetSetSettings::default());
    let keys: Vec<TargetKey> = (0..count)
        .map(|_| targets.insert(10, Locality::SameZone))
        .collect();
    let load = ReportedLoad {
        running: 0,
        waiting: 0,
    };
    for key in &keys {
        assert!(!targets.is_out(now));
        targets.start(*key, now);
        targets.report_load(*key, load, now);
        targets.end(*key, DispatchOutcome::Declined, now);
    }
    (targets, keys)
}

/// Guards against an outage that begins before the last target of a group has declined, or
/// ends with a probe that is declined.
#[test]
fn is_out_while_group_declines() {
    let mut now = Instant::now();
    let (mut targets, _) = declining_targets(8, now);
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..5 {
        assert!(targets.is_out(now));
        now += ms(200);
        let probed = targets.choose(&[], now, &mut rng).unwrap();
        targets.start(probed, now);
        now += ms(5);
        assert!(targets.is_out(now));
        targets.end(probed, DispatchOutcome::Declined, now);
    }
    now += ms(200);
    let probed = targets.choose(&[], now, &mut rng).unwrap();
    targets.start(probed, now);
    assert!(targets.is_out(now + ms(49)));
    assert!(!targets.is_out(now + ms(50)));
}

/// Guards against an outage that lasts until the first stream has ended, although the group
/// accepts requests.
#[test]
fn is_out_until_request_is_accepted() {
    let now = Instant::now();
    let (mut targets, keys) = declining_targets(2, now);
    targets.start(keys[0], now);
    targets.end(keys[0], DispatchOutcome::Failed, now + ms(1));
    targets.record_serving(keys[0], now);
    assert!(targets.is_out(now + ms(2)));
    targets.record_serving(keys[0], now + ms(2));
    assert!(!targets.is_out(now + ms(2)));
}

/// Starts of an entry within 100 ms after an outage of 3.8 s, without new reports of load.
fn starts_after_outage(mut ramp: Option<ReturnRamp>, targets: usize, seed: u64) -> u32 {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut targets, _) = declining_targets(targets, now);
    let probed_at = now + ms(3_750);
    let probed = targets.choose(&[], probed_at, &mut rng).unwrap();
    targets.start(probed, probed_at);
    let returned = probed_at + ms(50);
    assert!(!targets.is_out(returned));
    let mut starts = 0;
    for elapsed in 0..100 {
        let now = returned + ms(elapsed);
        while ramp.is_none_or(|ramp| ramp.admits(now)) {
            let Some(key) = targets.choose(&[], now, &mut rng) else {
                break;
            };
            targets.start(key, now);
            if let Some(ramp) = &mut ramp {
                ramp.record_start();
            }
            starts += 1;
        }
    }
    starts
}

/// 47 entries return to 7 targets of 10 slots that queue 20 requests each. Guards against
/// starts that the targets must decline: each entry believes that all slots are free.
#[test]
fn ramp_of_many_entries() {
    let (entries, targets) = (47, 7);
    let most = 7 * (10 + 20);
    let rate = 28.0 / 47.0;
    let mut sums = [0; 2];
    for entry in 0..entries {
        let ramp = ReturnRamp::new(Some(rate), Instant::now() + ms(3_800));
        sums[0] += starts_after_outage(None, targets, entry);
        sums[1] += starts_after_outage(Some(ramp), targets, entry);
    }
    let [without, with] = sums;
    assert!(
        without > most && with <= most,
        "{without} and {with} of {most}"
    );
}
