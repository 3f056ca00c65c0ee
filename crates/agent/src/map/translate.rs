//! Conversions between protocol messages and the types of the expert crate.

use expert::{
    CoordinatorMessage, DecideOutcome, Decision, GroupState, ParticipantMessage, Refusal, Verdict,
};
use wire::proto::frame::Body;
use wire::proto::{
    BarrierHeld, CoordinatorOutcome, DecideMap, HoldBarrier, MapApplied, MapDecision, MapOutcome,
    StageMap, Staged,
};

/// Encodes a coordinator's message.
pub(crate) fn to_participant(group: &str, message: CoordinatorMessage) -> Body {
    let group = group.to_owned();
    match message {
        CoordinatorMessage::Stage {
            fencing,
            version,
            map,
        } => Body::StageMap(StageMap {
            group,
            fencing,
            version,
            map,
        }),
        CoordinatorMessage::Hold {
            fencing,
            version,
            barrier_step,
            formation,
        } => Body::HoldBarrier(HoldBarrier {
            group,
            fencing,
            version,
            barrier_step,
            formation,
        }),
        CoordinatorMessage::Outcome {
            fencing,
            version,
            barrier_step,
            verdict,
        } => Body::MapOutcome(MapOutcome {
            group,
            fencing,
            version,
            barrier_step,
            commit: verdict == Verdict::Commit,
        }),
    }
}

/// Encodes a participant's answer.
pub(crate) fn to_coordinator(group: &str, message: ParticipantMessage) -> Body {
    let group = group.to_owned();
    match message {
        ParticipantMessage::Staged { version, step } => Body::Staged(Staged {
            group,
            version,
            ready: true,
            step,
            ..Staged::default()
        }),
        ParticipantMessage::Fenced { fencing } => Body::Staged(Staged {
            group,
            fencing,
            ..Staged::default()
        }),
        ParticipantMessage::Held { version } => Body::BarrierHeld(BarrierHeld {
            group,
            version,
            held: true,
            ..BarrierHeld::default()
        }),
        ParticipantMessage::Refused { version } => Body::BarrierHeld(BarrierHeld {
            group,
            version,
            ..BarrierHeld::default()
        }),
        ParticipantMessage::Applied { version } => Body::MapApplied(MapApplied {
            group,
            version,
            applied: true,
        }),
    }
}

/// A received message, for one of the two state machines.
pub(crate) enum Received {
    Participant(CoordinatorMessage),
    Coordinator(ParticipantMessage),
}

/// Decodes a message about a switch in `group`; `None` for any other message.
pub(crate) fn from_body(group: &str, body: Body) -> Option<Received> {
    let received = match body {
        Body::StageMap(m) if m.group == group => Received::Participant(CoordinatorMessage::Stage {
            fencing: m.fencing,
            version: m.version,
            map: m.map,
        }),
        Body::HoldBarrier(m) if m.group == group => {
            Received::Participant(CoordinatorMessage::Hold {
                fencing: m.fencing,
                version: m.version,
                barrier_step: m.barrier_step,
                formation: m.formation,
            })
        }
        Body::MapOutcome(m) if m.group == group => {
            Received::Participant(CoordinatorMessage::Outcome {
                fencing: m.fencing,
                version: m.version,
                barrier_step: m.barrier_step,
                verdict: verdict(m.commit),
            })
        }
        Body::Staged(m) if m.group == group => Received::Coordinator(if m.ready {
            ParticipantMessage::Staged {
                version: m.version,
                step: m.step,
            }
        } else {
            ParticipantMessage::Fenced { fencing: m.fencing }
        }),
        Body::BarrierHeld(BarrierHeld {
            group: g,
            version,
            held,
            ..
        }) if g == group => Received::Coordinator(if held {
            ParticipantMessage::Held { version }
        } else {
            ParticipantMessage::Refused { version }
        }),
        Body::MapApplied(m) if m.group == group && m.applied => {
            let version = m.version;
            Received::Coordinator(ParticipantMessage::Applied { version })
        }
        _ => return None,
    };
    Some(received)
}

/// Decodes the decisions that control holds for a group.
pub(crate) fn standing(outcome: CoordinatorOutcome) -> GroupState {
    GroupState {
        fencing: outcome.fencing,
        current: outcome.current.map(decision),
        committed: outcome.committed.into_iter().map(decision).collect(),
        ..GroupState::default()
    }
}

/// Encodes a decision for a proposal.
pub(crate) fn decide(group: &str, decision: Decision) -> DecideMap {
    DecideMap {
        group: group.to_owned(),
        fencing: decision.fencing,
        version: decision.version,
        barrier_step: decision.barrier_step,
        commit: decision.verdict == Verdict::Commit,
        map: decision.map,
    }
}

/// Decodes control's answer to a decision. The answer has no reason for a refusal;
/// in any case the coordinator must open again.
pub(crate) fn decided(answer: MapDecision) -> DecideOutcome {
    if answer.accepted {
        return DecideOutcome::Accepted(decision(answer));
    }
    let current = (answer.version > 0).then(|| decision(answer));
    DecideOutcome::Refused {
        refusal: Refusal::Fencing,
        current,
    }
}

fn decision(decision: MapDecision) -> Decision {
    Decision {
        fencing: decision.fencing,
        version: decision.version,
        barrier_step: decision.barrier_step,
        verdict: verdict(decision.commit),
        map: decision.map,
    }
}

fn verdict(commit: bool) -> Verdict {
    if commit {
        Verdict::Commit
    } else {
        Verdict::Abort
    }
}
