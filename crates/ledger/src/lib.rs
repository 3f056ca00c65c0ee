//! At-most-once record of non-repeatable calls.
//!
//! A caller identifies a non-repeatable call by an idempotency key. The key is
//! claimed for one attempt before anything is sent to a target, and the result
//! is recorded before the caller is answered. A claimed key becomes free again
//! in three ways only: by [`Ledger::release`], which requires proof that the
//! attempt was barred before it started; by expiry of its record, a retention
//! time after its answer proved that the attempt ended; or by
//! [`Ledger::forget`], on request of an operator. A key whose attempt is not
//! proved to have ended never expires.
//!
//! The state machine is replicated. It reads no clock, and the same calls with
//! the same times lead to the same state on every replica.
//!
//! ```
//! use ledger::{Answer, Attempt, CallKey, Claim, Digest, KeyStatus, Ledger, Limits};
//!
//! let mut ledger = Ledger::new(Limits::default());
//! let key = CallKey::new("saegewerk-huber", "lot-4711");
//! let claim = |attempt| Claim {
//!     key: key.clone(),
//!     digest: Digest([7; 32]),
//!     attempt: Attempt(attempt),
//!     target: "desk-01".into(),
//!     incarnation: 1,
//! };
//! assert_eq!(ledger.claim(claim(1), 0), KeyStatus::Claimed);
//! assert!(matches!(ledger.claim(claim(2), 5), KeyStatus::Running(_)));
//!
//! let answer = Answer { status: 201, headers: Vec::new(), body: "reserved".into() };
//! ledger.finish(&key, Attempt(1), answer.clone().into(), 9);
//! assert_eq!(ledger.claim(claim(3), 12), KeyStatus::Finished(answer));
//! ```

mod answer;
mod attempt;
mod call_key;
mod call_outcome;
mod claim;
mod digest;
mod error;
mod holder;
mod key_status;
mod ledger;
mod limits;
mod record;
mod snapshot;
mod unknown_outcome;
mod unproved_call;

pub use answer::Answer;
pub use attempt::Attempt;
pub use call_key::CallKey;
pub use call_outcome::CallOutcome;
pub use claim::Claim;
pub use digest::Digest;
pub use error::{Error, Result};
pub use holder::Holder;
pub use key_status::KeyStatus;
pub use ledger::Ledger;
pub use limits::Limits;
pub use unknown_outcome::UnknownOutcome;
pub use unproved_call::UnprovedCall;
