//! Running requests: attempts, retries, streams and non-repeatable calls.

mod answer;
mod attempt;
mod cx;
mod events;
mod execution;
mod failure;
mod once;
mod open;
mod pump;
mod records;
mod told;
mod whole;

pub(crate) use answer::{Answer, Streamed};
pub(crate) use cx::Cx;
pub(crate) use execution::{Course, convicted};
pub(crate) use once::{OnceJob, refuse_once, run_once};
pub(crate) use pump::run_stream;
pub(crate) use whole::run_whole;
