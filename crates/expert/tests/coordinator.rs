//! Where a coordinator puts the barrier of a switch.

use bytes::Bytes;
use expert::{
    Coordinator, CoordinatorMessage, CoordinatorOutput, DecideOutcome, GroupState,
    ParticipantMessage, SwitchTiming,
};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const RANK: &str = "advisor-01";

/// The barrier of a switch that is staged after step 100, while a step takes
/// `step`.
fn barrier(step: Option<Duration>) -> u64 {
    let timing = SwitchTiming {
        lead_steps: 5,
        lead_time: Duration::from_millis(300),
        ..SwitchTiming::default()
    };
    let now = Instant::now();
    let mut coordinator = Coordinator::new(BTreeSet::from([RANK.to_owned()]), 1, timing, now);
    coordinator.tick(now);
    let outputs = coordinator.on_opened(&GroupState::default(), now);
    let [CoordinatorOutput::Decide(abort)] = &outputs[..] else {
        panic!("{outputs:?}")
    };
    let version = abort.version;
    coordinator.on_decided(DecideOutcome::Accepted(abort.clone()), now);
    coordinator.on_message(RANK, ParticipantMessage::Applied { version }, now);
    coordinator.set_step_time(step);
    coordinator.begin_switch(Bytes::from_static(b"a map"), Duration::ZERO, now);
    let staged = ParticipantMessage::Staged {
        version: version + 1,
        step: 100,
    };
    let outputs = coordinator.on_message(RANK, staged, now);
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

/// A group that formed anew runs on its start map, and a step takes 250 ms in
/// place of 60. With the usual five steps ahead all its streams would be late for
/// more than a second longer.
#[test]
fn hold_while_steps_are_slow() {
    let usual = barrier(Some(Duration::from_millis(60)));
    let slow = barrier(Some(Duration::from_millis(250)));
    assert_eq!((usual, slow), (105, 102));
}

/// Nothing is known yet of a group's steps when the first map is planned.
#[test]
fn hold_before_steps_are_timed() {
    assert_eq!(barrier(None), 103);
}
