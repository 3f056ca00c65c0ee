//! Choice of target, limits, fairness, retries, quarantine.
//!
//! Everything here is pure: the present time is an argument, random choices
//! are drawn from a generator that the caller passes in, and the answers are
//! plain values. The entry's actors hold the sockets and timers and call in.
//!
//! [`Quarantine`] is replicated state: every control replica applies the same
//! reports in the same order and holds the same quarantine.
//!
//! ```
//! use route::{Fingerprint, Quarantine};
//!
//! let mut quarantine = Quarantine::new();
//! let poison = Fingerprint::new([7; 32]);
//! quarantine.crashed("advisor-01", 1, &[poison]);
//! assert!(quarantine.is_suspect(&poison));
//! quarantine.crashed("advisor-02", 1, &[poison]);
//! assert!(quarantine.is_convicted(&poison));
//! ```

mod error;
mod fingerprint;
mod quarantine;
mod quarantine_document;
mod verdict;

pub use crate::error::{Error, Result};
pub use crate::fingerprint::Fingerprint;
pub use crate::quarantine::Quarantine;
pub use crate::verdict::Verdict;
