//! Commands and queries on the ledger of non-repeatable calls.

use super::{StateMachine, malformed};
use bytes::Bytes;
use ledger::{Attempt, CallKey, CallOutcome, Digest, Holder, KeyStatus, UnprovedCall};
use serde_json::{Value, json};
use wire::proto::claim_outcome::Kind;
use wire::proto::{
    Answer, Claim, ClaimOutcome, Finish, FinishOutcome, Forget, ForgetOutcome, Header,
    LedgerLimits, Release, ReleaseOutcome, finish, outcome,
};

/// Maximum number of calls in a list for operators; the oldest are listed.
const MAX_LISTED_CALLS: usize = 1000;

/// Upper bound of the configurable limit on calls not proved to have ended.
pub(crate) const MAX_UNPROVED: u64 = 100_000;

impl StateMachine {
    pub(super) fn claim(&mut self, claim: Claim) -> outcome::Body {
        let Some(digest) = Digest::from_slice(&claim.digest) else {
            return malformed("digest is not 32 bytes");
        };
        let Some(attempt) = Attempt::from_slice(&claim.attempt) else {
            return malformed("attempt is not 16 bytes");
        };
        let claim = ledger::Claim {
            key: CallKey::new(claim.account, claim.key),
            digest,
            attempt,
            target: claim.target,
            incarnation: claim.incarnation,
        };
        let status = self.ledger.claim(claim, self.now_ms);
        outcome::Body::Claim(claim_outcome(status).unwrap_or_default())
    }

    pub(super) fn finish(&mut self, finish: Finish) -> outcome::Body {
        let Some(attempt) = Attempt::from_slice(&finish.attempt) else {
            return malformed("attempt is not 16 bytes");
        };
        let outcome = match finish.result {
            Some(finish::Result::Answer(answer)) => match parse_answer(answer) {
                Some(answer) => CallOutcome::Answer(answer),
                None => return malformed("status of the answer is out of range"),
            },
            Some(finish::Result::Unknown(unknown)) => CallOutcome::Unknown(unknown.reason),
            None => return malformed("finish without a result"),
        };
        let key = CallKey::new(finish.account, finish.key);
        let (stored, status) = self.ledger.finish(&key, attempt, outcome, self.now_ms);
        outcome::Body::Finish(FinishOutcome {
            stored,
            record: claim_outcome(status),
        })
    }

    pub(super) fn release(&mut self, release: &Release) -> outcome::Body {
        let Some(attempt) = Attempt::from_slice(&release.attempt) else {
            return malformed("attempt is not 16 bytes");
        };
        let key = CallKey::new(release.account.clone(), release.key.clone());
        let (released, status) = self.ledger.release(&key, attempt, self.now_ms);
        outcome::Body::Release(ReleaseOutcome {
            released,
            record: claim_outcome(status),
        })
    }

    pub(super) fn forget(&mut self, forget: &Forget) -> outcome::Body {
        let Some(attempt) = Attempt::from_slice(&forget.attempt) else {
            return malformed("attempt is not 16 bytes");
        };
        let forgotten = self.ledger.forget(attempt, self.now_ms);
        outcome::Body::Forget(match forgotten {
            None => ForgetOutcome::default(),
            Some(call) => ForgetOutcome {
                known: true,
                account: call.account,
                key: call.key,
            },
        })
    }

    pub(super) fn set_ledger_limits(&mut self, limits: LedgerLimits) -> outcome::Body {
        let unproved = limits.max_unproved.clamp(1, MAX_UNPROVED);
        self.ledger.set_limits(ledger::Limits {
            keep_ms: limits.keep_ms,
            running_ms: limits.running_ms,
            max_unproved: usize::try_from(unproved).unwrap_or(usize::MAX),
            ..*self.ledger.limits()
        });
        outcome::Body::LedgerLimits(limits)
    }

    /// Returns the calls not proved to have ended, as JSON for operators.
    pub(crate) fn unproved(&self) -> Value {
        let mut calls: Vec<_> = self.ledger.unproved().collect();
        calls.sort_by_key(|call| call.since_ms);
        let rows = calls.iter().take(MAX_LISTED_CALLS);
        let rows: Vec<Value> = rows.map(|call| self.unproved_row(call)).collect();
        json!({
            "unproved": calls.len(),
            "most": self.ledger.limits().max_unproved,
            "calls": rows,
        })
    }

    fn unproved_row(&self, call: &UnprovedCall) -> Value {
        json!({
            "attempt": call.holder.attempt.to_string(),
            "account": call.key.account,
            "key": call.key.key.escape_ascii().to_string(),
            "target": call.holder.target,
            "reason": call.reason,
            "for_ms": self.now_ms.saturating_sub(call.since_ms),
        })
    }

    /// Returns the ledger's record of a call.
    pub(crate) fn record(&self, account: &str, key: &Bytes) -> Option<ClaimOutcome> {
        let key = CallKey::new(account, key.clone());
        claim_outcome(self.ledger.status(&key))
    }
}

fn claim_outcome(status: KeyStatus) -> Option<ClaimOutcome> {
    let empty = ClaimOutcome::default();
    Some(match status {
        KeyStatus::Absent => return None,
        KeyStatus::Claimed => of_kind(Kind::Claimed),
        KeyStatus::Mismatch => of_kind(Kind::Mismatch),
        KeyStatus::Full => of_kind(Kind::Full),
        KeyStatus::Running(holder) => ClaimOutcome {
            kind: Kind::Running.into(),
            ..holder_outcome(holder)
        },
        KeyStatus::Finished(answer) => ClaimOutcome {
            kind: Kind::Finished.into(),
            answer: Some(answer_message(answer)),
            ..empty
        },
        KeyStatus::Unknown(unknown) => ClaimOutcome {
            kind: Kind::Unknown.into(),
            reason: unknown.reason,
            ..unknown.holder.map(holder_outcome).unwrap_or_default()
        },
    })
}

fn holder_outcome(holder: Holder) -> ClaimOutcome {
    ClaimOutcome {
        attempt: Bytes::copy_from_slice(&holder.attempt.to_bytes()),
        target: holder.target,
        incarnation: holder.incarnation,
        ..ClaimOutcome::default()
    }
}

fn of_kind(kind: Kind) -> ClaimOutcome {
    ClaimOutcome {
        kind: kind.into(),
        ..ClaimOutcome::default()
    }
}

fn answer_message(answer: ledger::Answer) -> Answer {
    let header = |(name, value)| Header { name, value };
    Answer {
        status: u32::from(answer.status),
        headers: answer.headers.into_iter().map(header).collect(),
        body: answer.body,
    }
}

fn parse_answer(answer: Answer) -> Option<ledger::Answer> {
    let pair = |header: Header| (header.name, header.value);
    Some(ledger::Answer {
        status: u16::try_from(answer.status).ok()?,
        headers: answer.headers.into_iter().map(pair).collect(),
        body: answer.body,
    })
}
