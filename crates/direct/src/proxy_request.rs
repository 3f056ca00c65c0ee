//! A request of a caller.

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use route::{Features, Fingerprint};
use std::time::{Duration, Instant};

/// A request of a caller, with its complete body.
#[derive(Clone, Debug)]
pub struct ProxyRequest {
    /// Id of this attempt of the caller, in logs and at targets.
    pub id: String,
    /// When the head of the request was read.
    pub arrived: Instant,
    /// Requested host, without the port.
    pub host: String,
    /// Method.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub path: String,
    /// API key of a client account, if the request has one.
    pub api_key: Option<String>,
    /// How long the caller waits for the response, if it says so.
    pub timeout: Option<Duration>,
    /// Identities of the parts of its prompt that prompts of other requests may have, too.
    pub parts: Vec<Fingerprint>,
    /// Id of the last event that the caller has received of a stream.
    pub last_event_id: Option<u64>,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ProxyRequest {
    /// What the request may share with others. Its identity is the same whenever its caller
    /// sends it again. `account` is the client account of the caller, if it has one.
    pub(crate) fn features(&self, account: Option<&str>) -> Features {
        let caller = account.or(self.api_key.as_deref()).unwrap_or_default();
        let request = Fingerprint::of_parts(&[
            caller.as_bytes(),
            self.host.as_bytes(),
            self.method.as_str().as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ]);
        Features {
            request,
            parts: self.parts.clone(),
        }
    }

    /// The path without its query.
    pub(crate) fn path_only(&self) -> &str {
        self.path
            .split_once('?')
            .map_or(&self.path, |(path, _)| path)
    }
}
