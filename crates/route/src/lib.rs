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

mod absence;
mod account;
mod account_limits;
mod admission;
mod admission_settings;
mod admitted;
mod affinity;
mod arrival;
mod budget;
mod cache;
mod choice;
mod demand;
mod ejection;
mod ending;
mod error;
mod exchange;
mod fingerprint;
mod key;
mod limit;
mod pace;
mod place;
mod places;
mod pool;
mod quarantine;
mod quarantine_document;
mod rank;
mod rate;
mod ration;
mod refusal;
mod report;
mod return_schedule;
mod standing;
mod subset;
mod target;
mod target_set;
mod target_state;
mod ticket;
mod time_used;
mod tuning;
mod usage;
mod verdict;

pub use crate::absence::Absence;
pub use crate::account_limits::AccountLimits;
pub use crate::admission::Admission;
pub use crate::admission_settings::AdmissionSettings;
pub use crate::admitted::{Admitted, Advance};
pub use crate::arrival::Arrival;
pub use crate::budget::RetryBudget;
pub use crate::choice::Choice;
pub use crate::demand::{Demand, Prefix, Suspicion};
pub use crate::ending::Ending;
pub use crate::error::{Error, Result};
pub use crate::exchange::{Exchange, Part, Use, WHOLE, account_number};
pub use crate::fingerprint::Fingerprint;
pub use crate::key::{AttemptKey, TargetKey};
pub use crate::limit::Limit;
pub use crate::pace::Pace;
pub use crate::places::Places;
pub use crate::pool::Pool;
pub use crate::quarantine::Quarantine;
pub use crate::rate::Rate;
pub use crate::ration::Ration;
pub use crate::refusal::{Reason, Refusal};
pub use crate::report::{RankReport, Report};
pub use crate::return_schedule::ReturnSchedule;
pub use crate::standing::Standing;
pub use crate::subset::{Linked, Reach, Site, Subset, SubsetSettings};
pub use crate::target_set::{
    Distance, LoadEstimate, Outcome, ReportedLoad, TargetSet, TargetSetTuning,
};
pub use crate::ticket::{AccountKey, TicketKey};
pub use crate::time_used::TimeUsed;
pub use crate::tuning::Tuning;
pub use crate::usage::Usage;
pub use crate::verdict::Verdict;
