//! Single guards of a participant that random schedules seldom need.

use bytes::Bytes;
use expert::{
    Arming, CoordinatorMessage, Decision, EngineCommand, EngineState, GroupState, Participant,
    ParticipantMessage, ParticipantOutput, SwitchTiming, Verdict,
};
use std::time::{Duration, Instant};

const TIMING: SwitchTiming = SwitchTiming {
    resend_interval: Duration::from_millis(10),
    phase_timeout: Duration::from_secs(1),
    command_timeout: Duration::from_millis(50),
    late_command_window: Duration::from_millis(50),
    lead_steps: 10,
    lead_time: Duration::MAX,
};

/// An engine that runs steps.
fn running() -> EngineState {
    EngineState {
        requires_join: true,
        formation: Some(3),
        ..EngineState::default()
    }
}

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
        formation: 3,
    }
}

fn orders(outputs: &[ParticipantOutput]) -> Vec<&EngineCommand> {
    let mut orders = Vec::new();
    for output in outputs {
        if let ParticipantOutput::Command(order) = output {
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
    let now = start + TIMING.late_command_window;
    participant.tick(now);
    participant.on_engine_state(Some(running()), now);
    participant.on_group_state(&GroupState::default(), now);
    (participant, now)
}

/// A participant that has promised to stop before step 20.
fn holding(start: Instant) -> (Participant, Instant) {
    let (mut participant, now) = ready(start);
    participant.on_message("a", stage(1, 1), now);
    let mut state = EngineState {
        staged: Some(1),
        ..running()
    };
    participant.on_engine_state(Some(state), now);
    participant.on_message("a", hold(1, 1), now);
    state.held_step = Some(20);
    participant.on_engine_state(Some(state), now);
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
    let outputs = participant.tick(now + TIMING.resend_interval);
    assert!(outputs.contains(&ParticipantOutput::ReadGroupState));
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
    let standing = GroupState {
        fencing: 1,
        current: Some(decision),
        ..GroupState::default()
    };
    participant.on_group_state(&standing, now);
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
    assert!(matches!(
        orders(&outputs)[..],
        [EngineCommand::Stage { .. }]
    ));
    participant.on_engine_state(None, now);
    let later = now + TIMING.resend_interval;
    let outputs = participant.tick(later);
    assert_eq!(orders(&outputs), [&EngineCommand::Read]);
    let outputs = participant.on_engine_state(Some(running()), later);
    assert!(orders(&outputs).is_empty());
    let outputs = participant.tick(later + TIMING.late_command_window);
    assert!(matches!(
        orders(&outputs)[..],
        [EngineCommand::Stage { .. }]
    ));
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
        ..running()
    };
    participant.on_engine_state(Some(state), now);
    let outputs = participant.on_message("a", hold(1, 1), now);
    assert_eq!(
        answers(&outputs),
        [ParticipantMessage::Refused { version: 1 }]
    );
    assert!(orders(&outputs).is_empty());
}

/// An engine that was started and waits to join.
fn started(formation: Option<u64>) -> EngineState {
    EngineState {
        awaiting_join: true,
        formation,
        ..running()
    }
}

fn committed(version: u64, barrier_step: u64) -> Decision {
    Decision {
        fencing: 1,
        version,
        barrier_step,
        verdict: Verdict::Commit,
        map: Bytes::from_static(b"map"),
    }
}

/// What stands once this agent has opened a number of its own.
fn opened() -> GroupState {
    GroupState {
        fencing: 7,
        current: Some(committed(2, 90)),
        committed: vec![committed(2, 90), committed(1, 40)],
        ..GroupState::default()
    }
}

/// What a participant does at its next look, at which it finds this engine.
fn look(participant: &mut Participant, state: EngineState, now: Instant) -> Vec<ParticipantOutput> {
    let outputs = participant.tick(now);
    assert_eq!(orders(&outputs), [&EngineCommand::Read]);
    participant.on_engine_state(Some(state), now)
}

#[test]
fn on_engine_started_while_promised() {
    // An engine restarts on its own after it has promised to stop before a
    // barrier. It would join on the map that it was started with, and knows
    // nothing of its promise. The switch may be committed at any moment, so a
    // number is opened first that shuts the commit out.
    let (mut participant, now) = holding(Instant::now());
    let now = now + TIMING.resend_interval;
    let outputs = look(&mut participant, started(Some(4)), now);
    assert_eq!(outputs, [ParticipantOutput::OpenFencing { formation: 4 }]);
    let outputs = participant.on_opened(4, &opened(), now);
    let join = EngineCommand::Join {
        fencing: 7,
        formation: 4,
        maps: vec![committed(1, 40), committed(2, 90)],
    };
    assert_eq!(orders(&outputs), [&join]);
    // The second map is yet to come into use: another switch must not
    // displace it.
    let state = EngineState {
        formation: Some(4),
        version: 1,
        next: Some(2),
        ..running()
    };
    participant.on_engine_state(Some(state), now);
    let outputs = participant.on_message("b", stage(8, 3), now + TIMING.resend_interval);
    assert!(answers(&outputs).is_empty());
    assert!(
        !orders(&outputs)
            .iter()
            .any(|order| matches!(order, EngineCommand::Stage { .. }))
    );
}

#[test]
fn on_engine_started_between_formations() {
    // The group has not taken the engine in yet: a switch may still be
    // decided without it, so what stands now may not be the last word.
    let (mut participant, now) = ready(Instant::now());
    let now = now + TIMING.resend_interval;
    assert!(look(&mut participant, started(None), now).is_empty());
    let now = now + TIMING.resend_interval;
    let outputs = look(&mut participant, started(Some(4)), now);
    assert_eq!(outputs, [ParticipantOutput::OpenFencing { formation: 4 }]);
}

#[test]
fn on_opened_late() {
    // The engine restarts once more before the answer comes. A switch may
    // have been decided without it in between, so the answer is too old.
    let (mut participant, now) = ready(Instant::now());
    let now = now + TIMING.resend_interval;
    look(&mut participant, started(Some(4)), now);
    let now = now + TIMING.resend_interval;
    look(&mut participant, started(Some(6)), now);
    assert!(participant.on_opened(4, &opened(), now).is_empty());
    let outputs = participant.on_opened(6, &opened(), now);
    assert!(matches!(
        orders(&outputs)[..],
        [EngineCommand::Join { formation: 6, .. }]
    ));
}

#[test]
fn on_message_hold_other_formation() {
    // An engine that the coordinator doesn't know of has joined the group.
    // Were the promise given, the switch could be committed without it.
    let (mut participant, now) = ready(Instant::now());
    participant.on_message("a", stage(1, 1), now);
    let state = EngineState {
        staged: Some(1),
        formation: Some(4),
        ..running()
    };
    participant.on_engine_state(Some(state), now);
    let outputs = participant.on_message("a", hold(1, 1), now);
    assert_eq!(
        answers(&outputs),
        [ParticipantMessage::Refused { version: 1 }]
    );
}

#[test]
fn on_message_stage_engine_does_not_wait() {
    // An engine that runs steps at once after a start would run them on its
    // start map. Only a group that stays on that map is safe with it.
    let (mut participant, now) = ready(Instant::now());
    let state = EngineState {
        requires_join: false,
        ..running()
    };
    let now = now + TIMING.resend_interval;
    look(&mut participant, state, now);
    let outputs = participant.on_message("a", stage(1, 1), now);
    assert_eq!(
        answers(&outputs),
        [ParticipantMessage::Refused { version: 1 }]
    );
}

#[test]
fn on_message_stage_while_loading() {
    // Loading takes long. Asked again, the engine would begin anew each time
    // and never be done.
    let (mut participant, now) = ready(Instant::now());
    participant.on_message("a", stage(1, 1), now);
    let state = EngineState {
        loading: Some(1),
        ..running()
    };
    let outputs = participant.on_engine_state(Some(state), now);
    assert!(outputs.is_empty());
    let now = now + TIMING.resend_interval;
    let state = EngineState {
        staged: Some(1),
        ..running()
    };
    let outputs = look(&mut participant, state, now);
    assert_eq!(
        answers(&outputs),
        [ParticipantMessage::Staged {
            version: 1,
            step: 0
        }]
    );
}

/// A rank that is armed by an order of its own and uses version 3, which it
/// therefore still holds loaded.
fn armed_before() -> EngineState {
    EngineState {
        version: 3,
        staged: Some(3),
        arming: Some(Arming::Unarmed),
        ..running()
    }
}

fn outcome(version: u64, verdict: Verdict) -> CoordinatorMessage {
    CoordinatorMessage::Outcome {
        fencing: 4,
        version,
        barrier_step: 0,
        verdict,
    }
}

/// What stands once version 3 was committed and version 4 given up.
fn given_up_since() -> GroupState {
    let committed = committed(3, 20);
    GroupState {
        fencing: 4,
        current: Some(Decision {
            fencing: 4,
            version: 4,
            barrier_step: 0,
            verdict: Verdict::Abort,
            map: Bytes::new(),
        }),
        committed: vec![committed],
        ..GroupState::default()
    }
}

/// A coordinator is killed, and the next one first gives up the next version.
/// A rank keeps what it has loaded also when that is in use; taken for an open
/// attempt, it would be learnt of again and again, the new coordinator would
/// wait for ever, and the group would never switch again.
#[test]
fn on_message_abort_with_map_in_use_loaded() {
    let start = Instant::now();
    let (mut participant, now) = ready(start);
    participant.on_message("b", outcome(4, Verdict::Abort), now);
    participant.on_engine_state(Some(armed_before()), now);
    let told = participant.on_group_state(&given_up_since(), now);
    assert_eq!(answers(&told), []);
    let told = participant.on_message("b", outcome(4, Verdict::Abort), now);
    let applied = ParticipantMessage::Applied { version: 4 };
    assert_eq!(answers(&told), [applied]);
}

/// An order to arm got no answer, and the switch is given up. The rank shows
/// nothing of it and may obey it all the same, later than the others are let
/// go: only once an order after it is answered is it out of force.
#[test]
fn on_message_abort_after_answer_lost() {
    let start = Instant::now();
    let (mut participant, now) = ready(start);
    participant.on_message("a", stage(1, 1), now);
    let state = EngineState {
        staged: Some(1),
        arming: Some(Arming::Unarmed),
        ..running()
    };
    participant.on_engine_state(Some(state), now);
    participant.on_message("a", hold(1, 1), now);
    participant.on_engine_state(None, now);
    let now = now + TIMING.late_command_window;
    let asked = participant.on_message("a", outcome(1, Verdict::Abort), now);
    assert_eq!(orders(&asked), [&EngineCommand::Read]);
    let told = participant.on_engine_state(Some(state), now);
    assert_eq!(answers(&told), []);
    let abort = EngineCommand::Outcome {
        fencing: 4,
        version: 1,
        barrier_step: 0,
        verdict: Verdict::Abort,
    };
    assert_eq!(orders(&told), [&abort]);
    let told = participant.on_engine_state(Some(state), now);
    assert_eq!(answers(&told), [ParticipantMessage::Applied { version: 1 }]);
}

/// A rank crashes while a decided switch is to come, and its group forms anew
/// on the start map. Ordered again, the decided map would be in use at this
/// rank alone.
#[test]
fn on_engine_formed_anew_before_barrier() {
    let start = Instant::now();
    let (mut participant, now) = ready(start);
    participant.on_message("a", stage(1, 1), now);
    let mut state = EngineState {
        staged: Some(1),
        arming: Some(Arming::Unarmed),
        ..running()
    };
    participant.on_engine_state(Some(state), now);
    participant.on_message("a", hold(1, 1), now);
    state.held_step = Some(20);
    state.arming = Some(Arming::Armed);
    participant.on_engine_state(Some(state), now);
    participant.on_message("a", outcome(1, Verdict::Commit), now);
    let anew = EngineState {
        arming: Some(Arming::Unarmed),
        formation: Some(4),
        ..running()
    };
    let told = participant.on_engine_state(Some(anew), now);
    assert_eq!(answers(&told), [ParticipantMessage::Applied { version: 1 }]);
    let later = now + TIMING.resend_interval * 3;
    let told = participant.tick(later);
    assert_eq!(orders(&told), [&EngineCommand::Read]);
}
