//! Plain services.

use std::time::Duration;

use cfg::Reader;
use serde_json::{Value, json};

use crate::name;

/// Methods of RFC 9110, section 9.3, and PATCH of RFC 5789. CONNECT and TRACE
/// are not proxied.
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// The safe methods of RFC 9110, section 9.2.1.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
const MIN_TIMEOUT: Duration = Duration::from_millis(1);
const MAX_TIMEOUT: Duration = Duration::from_mins(10);

/// A plain HTTP service, as opposed to a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name, as in the path `/s/{name}/`.
    pub name: String,
    /// Methods whose calls are idempotent and may be retried.
    pub repeatable: Vec<String>,
    /// Maximum duration of a call.
    pub timeout: Duration,
}

impl Service {
    /// Returns whether calls with this method may be retried. All other calls run
    /// at most once and need an idempotency key.
    ///
    /// ```
    /// let json = br#"{"number": 1, "added": [{"kind": "service", "name": "order-desk"}]}"#;
    /// let mut catalogue = note::Catalogue::default();
    /// let checked = catalogue.check(json).unwrap();
    /// catalogue.apply(&checked);
    /// let service = catalogue.service("order-desk").unwrap();
    /// assert!(service.is_repeatable("GET") && !service.is_repeatable("POST"));
    /// ```
    #[must_use]
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable.iter().any(|known| known == method)
    }

    pub(crate) fn read(r: &mut Reader) -> Option<Self> {
        let name = name::read(r, "name");
        let repeatable = read_methods(r);
        let timeout = r.within("timeout_ms", DEFAULT_TIMEOUT, MIN_TIMEOUT..=MAX_TIMEOUT);
        Some(Service {
            name: name?,
            repeatable,
            timeout,
        })
    }

    pub(crate) fn to_value(&self) -> Value {
        json!({
            "kind": "service",
            "name": self.name,
            "repeatable": self.repeatable,
            "timeout_ms": cfg::Field::to_json(&self.timeout),
        })
    }
}

fn read_methods(r: &mut Reader) -> Vec<String> {
    let methods = r.or("repeatable", SAFE_METHODS.map(str::to_owned).to_vec());
    if methods.len() > METHODS.len() {
        r.finding(
            "repeatable",
            format!("must be at most {} methods", METHODS.len()),
        );
        return methods;
    }
    for (position, method) in methods.iter().enumerate() {
        let place = format!("repeatable[{position}]");
        if !METHODS.contains(&method.as_str()) {
            let message = match cfg::nearest(&method.to_ascii_uppercase(), METHODS) {
                Some(near) => format!("unknown method {method:?}, did you mean {near:?}?"),
                None => format!(
                    "unknown method {method:?}, known are {}",
                    METHODS.join(", ")
                ),
            };
            r.finding(&place, message);
        }
        if methods[..position].contains(method) {
            r.finding(&place, format!("{method:?} stands twice"));
        }
    }
    methods
}
