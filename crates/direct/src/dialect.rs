//! How a deployment's targets are spoken to beside plain HTTP.

use hyper::{HeaderMap, StatusCode};
use route::ReportedLoad;
use std::time::Duration;

/// What a target is told with a request.
#[derive(Clone, Copy, Debug)]
pub struct Told<'a> {
    /// The target that is meant; another one at its address must not run it.
    pub target: &'a str,
    /// The caller's client account.
    pub account: Option<&'a str>,
    /// Time that is left for the answer.
    pub left: Duration,
    /// Last event that is here of a stream that goes on.
    pub after: Option<u64>,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// What is known of the answer and of the request's run.
    pub word: Verdict,
    /// How long the target keeps the connection.
    pub keeps: Keeps,
    /// Its load, if it tells.
    pub load: Option<ReportedLoad>,
}

/// What is known of an answer and of the request's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answers the request, and the target vouches for it.
    Vouched,
    /// It answers the request, and the target doesn't vouch for it: a success
    /// is none.
    Unvouched,
    /// The target says that it did not run the request.
    NotRun,
    /// Another target has the address, and did not run the request.
    Replaced,
    /// It answers another request.
    Foreign,
}

/// How long a target keeps a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keeps {
    /// It closes it.
    Not,
    /// It keeps it for so long.
    For(Duration),
    /// It doesn't say.
    Untold,
}

/// How a deployment's targets are spoken to beside plain HTTP.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Adds to the headers what the target is told.
    pub write: fn(&Told<'_>, &mut HeaderMap),
    /// Reads the head of the answer to the request of that id.
    pub read: fn(&str, StatusCode, &HeaderMap) -> Reading,
}
