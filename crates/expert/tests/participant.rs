//! Single guards of a participant that random schedules seldom need.

use bytes::Bytes;
use expert::{
    CoordinatorMessage, Decision, EngineOrder, EngineState, Participant, ParticipantMessage,
    ParticipantOutput, Standing, SwitchTiming, Verdict,
};
use std::time::{Duration, Instant};

const TIMING: SwitchTiming = SwitchTiming {
    resend: Duration::from_millis(10),
    attempt: Duration::from_secs(1),
    order: Duration::from_millis(50),
    ghost: Duration::from_millis(50),
    lead_steps: 10,
};

fn stage(fencing: u64, version: u64) -> CoordinatorMessage {
    CoordinatorMessage::Stage {
        fencing,
        version,
        map: Bytes::from_static(b"map"),
    }
}

fn hold(fencing: u64, version: u64) -> CoordinatorMessage {
    CoordinatorMessage::Hold {
        fencing,
        version,
        barrier_step: 20,
    }
}

fn orders(outputs: &[ParticipantOutput]) -> Vec<&EngineOrder> {
    let mut orders = Vec::new();
    for output in outputs {
        if let ParticipantOutput::Order(order) = output {
            orders.push(order);
        }
    }
    orders
}

fn answers(outputs: &[ParticipantOutput]) -> Vec<ParticipantMessage> {
    let answer = |output: &ParticipantOutput| match output {
        ParticipantOutput::Send { message, .. } => Some(*message),
        _ => None,
    };
    outputs.iter().filter_map(answer).collect()
}

/// A participant that has read its engine and the durable state.
fn ready(start: Instant) -> (Participant, Instant) {
    let mut participant = Participant::new(TIMING, start);
    let now = start + TIMING.ghost;
    participant.tick(now);
    participant.on_engine(Some(EngineState::default()), now);
    participant.on_standing(&Standing::default(), now);
    (participant, now)
}

/// A participant that has promised to stop before step 20.
fn holding(start: Instant) -> (Participant, Instant) {
    let (mut participant, now) = ready(start);
    participant.on_message("a", stage(1, 1), now);
    let mut state = EngineState {
        staged: Some(1),
        ..EngineState::default()
    };
    participant.on_engine(Some(state), now);
    participant.on_message("a", hold(1, 1), now);
    state.held = Some(20);
    participant.on_engine(Some(state), now);
    (participant, now)
}

#[test]
fn on_message_stage_while_promised() {
    // A new coordinator stages the next version while this rank has not
    // heard the outcome of the last one. Were the promise dropped, the rank
    // would run the barrier step on the former map although the switch was
    // committed.
    let (mut participant, now) = holding(Instant::now());
    let outputs = participant.on_message("b", stage(2, 2), now);
    assert!(orders(&outputs).is_empty());
    let outputs = participant.tick(now + TIMING.resend);
    assert!(outputs.contains(&ParticipantOutput::Ask));
}

#[test]
fn on_message_old_fencing() {
    // A coordinator that was cut off comes back and goes on as if it led.
    // The engine ignores fencing numbers, so the order must end here.
    let (mut participant, now) = ready(Instant::now());
    participant.on_message("b", stage(2, 2), now);
    let outputs = participant.on_message("a", stage(1, 3), now);
    assert_eq!(
        answers(&outputs),
        [ParticipantMessage::Fenced { fencing: 2 }]
    );
}

#[test]
fn on_message_old_fencing_after_outcome() {
    // All that was heard of the next coordinator is the abort of what hung.
    // The former one thaws and goes on as if it led: the engine ignores
    // fencing numbers, so the order must end here.
    let (mut participant, now) = ready(Instant::now());
    participant.on_message("a", stage(1, 1), now);
    let abort = CoordinatorMessage::Outcome {
        fencing: 2,
        version: 1,
        barrier_step: 0,
        verdict: Verdict::Abort,
    };
    participant.on_message("b", abort, now);
    let outputs = participant.on_message("a", stage(1, 3), now);
    assert_eq!(
        answers(&outputs),
        [ParticipantMessage::Fenced { fencing: 2 }]
    );
}

#[test]
fn on_message_late_stage() {
    // A message of a switch that is over arrives late.
    let (mut participant, now) = ready(Instant::now());
    let decision = Decision {
        fencing: 1,
        version: 4,
        barrier_step: 0,
        verdict: Verdict::Abort,
        map: Bytes::new(),
    };
    let standing = Standing {
        fencing: 1,
        current: Some(decision),
        ..Standing::default()
    };
    participant.on_standing(&standing, now);
    let outputs = participant.on_message("a", stage(1, 4), now);
    assert!(orders(&outputs).is_empty());
}

#[test]
fn on_engine_answer_lost() {
    // The answer to an order is lost, and the engine may obey it only now.
    // Another order could overtake it, so the engine is only read until the
    // first must have come or gone, and what it did is told from that.
    let (mut participant, now) = ready(Instant::now());
    let outputs = participant.on_message("a", stage(1, 1), now);
    assert!(matches!(orders(&outputs)[..], [EngineOrder::Stage { .. }]));
    participant.on_engine(None, now);
    let later = now + TIMING.resend;
    let outputs = participant.tick(later);
    assert_eq!(orders(&outputs), [&EngineOrder::Read]);
    let outputs = participant.on_engine(Some(EngineState::default()), later);
    assert!(orders(&outputs).is_empty());
    let outputs = participant.tick(later + TIMING.ghost);
    assert!(matches!(orders(&outputs)[..], [EngineOrder::Stage { .. }]));
    assert!(answers(&outputs).is_empty());
}

#[test]
fn on_message_barrier_passed() {
    // The group was faster than expected and is past the barrier when the
    // hold arrives: the switch must be given up.
    let (mut participant, now) = ready(Instant::now());
    participant.on_message("a", stage(1, 1), now);
    let state = EngineState {
        staged: Some(1),
        step: 20,
        ..EngineState::default()
    };
    participant.on_engine(Some(state), now);
    let outputs = participant.on_message("a", hold(1, 1), now);
    assert_eq!(
        answers(&outputs),
        [ParticipantMessage::Refused { version: 1 }]
    );
    assert!(orders(&outputs).is_empty());
}
