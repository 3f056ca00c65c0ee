//! One request of a caller.

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use std::time::{Duration, Instant};

/// One request of a caller, read whole.
#[derive(Clone, Debug)]
pub struct ProxyRequest {
    /// Names this try of the caller in logs and at targets.
    pub id: String,
    /// When its head was read.
    pub arrived: Instant,
    /// Host that the caller named.
    pub host: String,
    /// Method.
    pub method: Method,
    /// Path and query, passed on as they are.
    pub path: String,
    /// Key of a client account, if one was shown.
    pub api_key: Option<String>,
    /// How long the caller waits, if it says so.
    pub timeout: Option<Duration>,
    /// Last event that the caller has of a stream.
    pub last_event_id: Option<u64>,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ProxyRequest {
    /// The path without its query.
    pub(crate) fn path_only(&self) -> &str {
        self.path
            .split_once('?')
            .map_or(&self.path, |(path, _)| path)
    }
}
