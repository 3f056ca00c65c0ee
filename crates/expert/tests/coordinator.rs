//! Barrier step that a coordinator chooses for a switch.

use bytes::Bytes;
use expert::{
    Coordinator, CoordinatorMessage, CoordinatorOutput, DecideOutcome, GroupState,
    ParticipantMessage, SwitchTiming,
};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const AGENT: &str = "advisor-01";

/// The barrier step of a switch that is staged after step 100, if a step takes
/// `step_time`.
fn barrier_step(step_time: Option<Duration>) -> u64 {
    let timing = SwitchTiming {
        lead_steps: 5,
        lead_time: Duration::from_millis(300),
        ..SwitchTiming::default()
    };
    let now = Instant::now();
    let mut coordinator = Coordinator::new(BTreeSet::from([AGENT.to_owned()]), 1, timing, now);
    coordinator.tick(now);
    let outputs = coordinator.on_opened(&GroupState::default(), now);
    let [CoordinatorOutput::Decide(abort)] = &outputs[..] else {
        panic!("{outputs:?}")
    };
    let version = abort.version;
    coordinator.on_decided(DecideOutcome::Accepted(abort.clone()), now);
    coordinator.on_message(AGENT, ParticipantMessage::Applied { version }, now);
    coordinator.set_step_time(step_time);
    coordinator.begin_switch(Bytes::from_static(b"a map"), Duration::ZERO, now);
    let staged = ParticipantMessage::Staged {
        version: version + 1,
        step: 100,
    };
    let outputs = coordinator.on_message(AGENT, staged, now);
    let [
        CoordinatorOutput::Send {
            message: CoordinatorMessage::Hold { barrier_step, .. },
            ..
        },
    ] = &outputs[..]
    else {
        panic!("{outputs:?}")
    };
    *barrier_step
}

/// Guards against a late switch while steps are slow. A newly formed group runs
/// on its initial map with steps of, say, 250 ms instead of 60 ms. With the usual
/// lead of five steps, its streams would be late for more than a second longer.
#[test]
fn hold_with_slow_steps() {
    let usual = barrier_step(Some(Duration::from_millis(60)));
    let slow = barrier_step(Some(Duration::from_millis(250)));
    assert_eq!((usual, slow), (105, 101));
}

/// Guards against a group that has just formed and runs several more steps on its
/// initial map. Its step time is unknown when its first map is planned.
#[test]
fn hold_with_unknown_step_time() {
    assert_eq!(barrier_step(None), 101);
}

/// Barrier steps of three switches in a group of 30, all staged after step 100. It takes
/// `hold_time` until all ranks have promised, and `wait` from the decision until the
/// barrier has passed.
fn barrier_steps_in_large_group(hold_time: Duration, wait: Duration) -> Vec<u64> {
    let timing = SwitchTiming {
        lead_steps: 3,
        lead_time: Duration::from_millis(200),
        ..SwitchTiming::default()
    };
    let names: BTreeSet<String> = (0..30).map(|n| format!("advisor-{n:02}")).collect();
    let mut now = Instant::now();
    let mut coordinator = Coordinator::new(names.clone(), 1, timing, now);
    coordinator.tick(now);
    let mut outputs = coordinator.on_opened(&GroupState::default(), now);
    let mut barriers = Vec::new();
    for _ in 0..3 {
        let [CoordinatorOutput::Decide(decision)] = &outputs[..] else {
            panic!("{outputs:?}")
        };
        let version = decision.version;
        coordinator.on_decided(DecideOutcome::Accepted(decision.clone()), now);
        now += wait;
        for name in &names {
            coordinator.on_message(name, ParticipantMessage::Applied { version }, now);
        }
        coordinator.set_step_time(Some(Duration::from_millis(60)));
        coordinator.begin_switch(Bytes::from_static(b"a map"), Duration::ZERO, now);
        let version = version + 1;
        for name in &names {
            let staged = ParticipantMessage::Staged { version, step: 100 };
            outputs = coordinator.on_message(name, staged, now);
        }
        let CoordinatorOutput::Send {
            message: CoordinatorMessage::Hold { barrier_step, .. },
            ..
        } = &outputs[0]
        else {
            panic!("{outputs:?}")
        };
        barriers.push(*barrier_step);
        now += hold_time;
        for name in &names {
            outputs = coordinator.on_message(name, ParticipantMessage::Held { version }, now);
        }
    }
    barriers
}

/// Guards against ranks that wait at the barrier because the messages of a switch take
/// longer in a large group than the usual lead.
#[test]
fn hold_after_slow_exchange() {
    let barriers = barrier_steps_in_large_group(Duration::from_millis(400), Duration::ZERO);
    assert_eq!(barriers, [103, 110, 110]);
}

/// Guards against a lead that grows with each switch: a rank that turns slow makes the
/// steps to one barrier take seconds, which says nothing about the next exchange.
#[test]
fn hold_after_slow_steps_to_barrier() {
    let hold_time = Duration::from_millis(40);
    let barriers = barrier_steps_in_large_group(hold_time, Duration::from_secs(5));
    assert_eq!(barriers, [103, 103, 103]);
}

/// Guards against a group that waits at one barrier after another while its targets carry
/// out a part of their orders seconds late: with a lead as short as the last successful
/// exchange, each switch stops the group until the promise that does not come is given up.
#[test]
fn hold_after_abandoned_exchange() {
    let timing = SwitchTiming {
        lead_steps: 3,
        lead_time: Duration::from_millis(200),
        phase_timeout: Duration::from_millis(1_500),
        ..SwitchTiming::default()
    };
    let step_time = Duration::from_millis(60);
    let names: BTreeSet<String> = (0..30).map(|n| format!("advisor-{n:02}")).collect();
    let mut now = Instant::now();
    let mut coordinator = Coordinator::new(names.clone(), 1, timing, now);
    coordinator.tick(now);
    let mut outputs = coordinator.on_opened(&GroupState::default(), now);
    let mut waits = Vec::new();
    for _ in 0..2 {
        let [CoordinatorOutput::Decide(decision)] = &outputs[..] else {
            panic!("{outputs:?}")
        };
        let version = decision.version;
        coordinator.on_decided(DecideOutcome::Accepted(decision.clone()), now);
        for name in &names {
            coordinator.on_message(name, ParticipantMessage::Applied { version }, now);
        }
        coordinator.set_step_time(Some(step_time));
        coordinator.begin_switch(Bytes::from_static(b"a map"), Duration::ZERO, now);
        let version = version + 1;
        for name in &names {
            let staged = ParticipantMessage::Staged { version, step: 100 };
            outputs = coordinator.on_message(name, staged, now);
        }
        let CoordinatorOutput::Send {
            message: CoordinatorMessage::Hold { barrier_step, .. },
            ..
        } = &outputs[0]
        else {
            panic!("{outputs:?}")
        };
        let at_barrier = now + step_time * u32::try_from(barrier_step - 100).unwrap();
        for name in names.iter().skip(1) {
            coordinator.on_message(name, ParticipantMessage::Held { version }, now);
        }
        while !matches!(outputs[..], [CoordinatorOutput::Decide(_)]) {
            now += Duration::from_millis(25);
            outputs = coordinator.tick(now);
        }
        waits.push(now.saturating_duration_since(at_barrier));
    }
    assert!(waits[0] > Duration::from_secs(1), "{waits:?}");
    assert!(waits[1] <= step_time, "{waits:?}");
}
