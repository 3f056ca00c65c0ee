//! How a deployment's targets are spoken to beside plain HTTP.

use hyper::{HeaderMap, StatusCode};
use route::ToldLoad;
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
    /// Whether it answers the request that was sent.
    pub is_own: bool,
    /// Whether the target says that it did not run the request.
    pub not_run: bool,
    /// Whether the target vouches for the answer; a success without that is
    /// none.
    pub is_vouched: bool,
    /// Whether the target sends no more answers on this connection.
    pub closes: bool,
    /// How long the target keeps the connection, if it says so.
    pub kept: Option<Duration>,
    /// Its load, if it tells.
    pub load: Option<ToldLoad>,
}

/// How a deployment's targets are spoken to beside plain HTTP.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Adds to the headers what the target is told.
    pub write: fn(&Told<'_>, &mut HeaderMap),
    /// Reads the head of the answer to the request of that id.
    pub read: fn(&str, StatusCode, &HeaderMap) -> Reading,
}
