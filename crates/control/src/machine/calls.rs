//! Non-repeatable calls.

use super::{Machine, malformed};
use bytes::Bytes;
use ledger::{Attempt, CallKey, Claimed, Digest, Verdict};
use wire::proto::claim_outcome::Kind;
use wire::proto::{
    Answer, Claim, ClaimOutcome, Finish, FinishOutcome, Header, Release, ReleaseOutcome, finish,
    outcome,
};

impl Machine {
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
        let claimed = self.ledger.claim(claim, self.now_ms);
        outcome::Body::Claim(claim_outcome(claimed).unwrap_or_default())
    }

    pub(super) fn finish(&mut self, finish: Finish) -> outcome::Body {
        let Some(attempt) = Attempt::from_slice(&finish.attempt) else {
            return malformed("attempt is not 16 bytes");
        };
        let verdict = match finish.result {
            Some(finish::Result::Answer(answer)) => match parse_answer(answer) {
                Some(answer) => Verdict::Answer(answer),
                None => return malformed("status of the answer is out of range"),
            },
            Some(finish::Result::Unknown(unknown)) => Verdict::Unknown(unknown.reason),
            None => return malformed("finish without a result"),
        };
        let key = CallKey::new(finish.account, finish.key);
        let (stored, stands) = self.ledger.finish(&key, attempt, verdict, self.now_ms);
        outcome::Body::Finish(FinishOutcome {
            stored,
            record: claim_outcome(stands),
        })
    }

    pub(super) fn release(&mut self, release: &Release) -> outcome::Body {
        let Some(attempt) = Attempt::from_slice(&release.attempt) else {
            return malformed("attempt is not 16 bytes");
        };
        let key = CallKey::new(release.account.clone(), release.key.clone());
        let (released, stands) = self.ledger.release(&key, attempt, self.now_ms);
        outcome::Body::Release(ReleaseOutcome {
            released,
            record: claim_outcome(stands),
        })
    }

    /// What stands for a call.
    pub(crate) fn record(&self, account: &str, key: &Bytes) -> Option<ClaimOutcome> {
        let key = CallKey::new(account, key.clone());
        claim_outcome(self.ledger.standing(&key))
    }
}

fn claim_outcome(claimed: Claimed) -> Option<ClaimOutcome> {
    let empty = ClaimOutcome::default();
    Some(match claimed {
        Claimed::Absent => return None,
        Claimed::Claimed => of_kind(Kind::Claimed),
        Claimed::Mismatch => of_kind(Kind::Mismatch),
        Claimed::Full => of_kind(Kind::Full),
        Claimed::Running(holder) => ClaimOutcome {
            kind: Kind::Running.into(),
            attempt: Bytes::copy_from_slice(&holder.attempt.to_bytes()),
            target: holder.target,
            incarnation: holder.incarnation,
            ..empty
        },
        Claimed::Finished(answer) => ClaimOutcome {
            kind: Kind::Finished.into(),
            answer: Some(answer_message(answer)),
            ..empty
        },
        Claimed::Unknown(reason) => ClaimOutcome {
            kind: Kind::Unknown.into(),
            reason,
            ..empty
        },
    })
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
