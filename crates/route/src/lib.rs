//! Load balancing, admission control, retry budgets and quarantine.
//!
//! This crate does no I/O. Functions take the current time and the random number
//! generator as arguments and return plain values. Sockets and timers belong to
//! the entry that calls it.
//!
//! [`Quarantine`] is replicated state: all control replicas apply the same
//! reports in the same order and reach the same state.
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

mod account;
mod account_demand;
mod account_limiter;
mod account_limits;
mod admission;
mod admission_decision;
mod admission_settings;
mod affinity;
mod attempt;
mod attempt_result;
mod background_share;
mod budget;
mod cache_estimate;
mod capacity;
mod choice;
mod class_order;
mod cold_start;
mod concurrency_limit;
mod crash_document;
mod crash_evidence;
mod crash_guard;
mod crash_record;
mod crash_tally;
mod crash_verdict;
mod departures;
mod ejection;
mod elapsed_wait;
mod error;
mod features;
mod fingerprint;
mod key;
mod load_probe;
mod load_report;
mod outage_estimate;
mod part_shares;
mod pausable_clock;
mod placement_request;
mod pool;
mod pool_settings;
mod priority;
mod quarantine;
mod quarantine_document;
mod queue_account;
mod queue_bounds;
mod queue_class;
mod queue_order;
mod queue_prediction;
mod queue_rates;
mod queue_refusal;
mod queue_reserve;
mod queue_stats;
mod queued_choice;
mod queued_request;
mod quota_allocator;
mod rank;
mod rate_window;
mod refusal;
mod request_limit;
mod request_queue;
mod request_queue_settings;
mod rest;
mod retry_after_schedule;
mod retry_limits;
mod return_ramp;
mod return_schedule;
mod start_state;
mod startup_grace;
mod step_time_model;
mod subset;
mod target;
mod target_availability;
mod target_limits;
mod target_rests;
mod target_set;
mod target_state;
mod target_status;
mod ticket;
mod token_bucket;
mod verdict;
mod verdict_settling;
mod zone_subset;

pub use crate::account_demand::AccountDemand;
pub use crate::account_limiter::AccountLimiter;
pub use crate::account_limits::AccountLimits;
pub use crate::admission::Admission;
pub use crate::admission_decision::{AdmissionDecision, QueueUpdate};
pub use crate::admission_settings::AdmissionSettings;
pub use crate::attempt_result::AttemptResult;
pub use crate::budget::RetryBudget;
pub use crate::capacity::Capacity;
pub use crate::choice::Choice;
pub use crate::cold_start::{ColdLimit, ColdShare};
pub use crate::concurrency_limit::ConcurrencyLimit;
pub use crate::crash_guard::{CrashGuard, CrashReport, SharedTally};
pub use crate::crash_tally::CrashTally;
pub use crate::departures::Departures;
pub use crate::elapsed_wait::ElapsedWait;
pub use crate::error::{Error, Result};
pub use crate::features::{CrashedRequest, Features};
pub use crate::fingerprint::Fingerprint;
pub use crate::key::{AttemptKey, TargetKey};
pub use crate::load_report::{RankLoadReport, TargetLoadReport};
pub use crate::outage_estimate::{MeasuredOutage, OutageEstimate};
pub use crate::part_shares::PartShares;
pub use crate::placement_request::{PlacementRequest, Prefix, Suspicion};
pub use crate::pool::Pool;
pub use crate::pool_settings::PoolSettings;
pub use crate::priority::Priority;
pub use crate::quarantine::Quarantine;
pub use crate::queue_refusal::{QueueRefusal, QueueRefusalReason};
pub use crate::queue_stats::QueueStats;
pub use crate::queued_request::{QueueKey, QueuedRequest};
pub use crate::quota_allocator::{
    FULL_QUOTA, QuotaAllocator, QuotaGrant, QuotaUsage, account_hash,
};
pub use crate::refusal::{Refusal, RefusalReason};
pub use crate::request_limit::{RequestLimit, TargetUse, last_request, limit_share};
pub use crate::request_queue::RequestQueue;
pub use crate::request_queue_settings::RequestQueueSettings;
pub use crate::rest::{Rest, Rests, rest_end};
pub use crate::retry_after_schedule::RetryAfterSchedule;
pub use crate::retry_limits::RetryLimits;
pub use crate::return_ramp::ReturnRamp;
pub use crate::return_schedule::{Return, ReturnSchedule};
pub use crate::start_state::StartState;
pub use crate::startup_grace::StartupGrace;
pub use crate::step_time_model::StepTimeModel;
pub use crate::subset::{LinkedTarget, Reachability, Subset, SubsetSettings, ZonedNode};
pub use crate::target_set::{
    DispatchOutcome, LoadEstimate, Locality, ReportedLoad, TargetSet, TargetSetSettings,
};
pub use crate::target_status::TargetStatus;
pub use crate::ticket::{AccountKey, TicketKey};
pub use crate::token_bucket::TokenBucket;
pub use crate::verdict::Verdict;
pub use crate::verdict_settling::VerdictSettling;
pub use crate::zone_subset::{ZoneSubset, zone_subset};
