//! Execution of requests: attempts, retries, streams and non-repeatable calls.

mod answer;
mod at_most_once;
mod attempt;
mod buffered;
mod call_result;
mod context;
mod event_splitter;
mod execution;
mod failure;
mod ledger_record;
mod start_message;
mod stream;

pub(crate) use answer::{Answer, Confirmation, StreamAnswer};
pub(crate) use at_most_once::{AtMostOnceJob, refuse_at_most_once, run_at_most_once};
pub(crate) use buffered::run_buffered;
pub(crate) use context::ExecutionContext;
pub(crate) use execution::{Execution, convicted_problem};
pub(crate) use stream::run_stream;
