//! Paths and headers of service calls, `/s/{service}/...`.

use admin::Problem;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Splits a path into the name of the service and the path at the service.
pub(super) fn split_path(path: &str) -> Option<(&str, String)> {
    let rest = path.strip_prefix("/s/")?;
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    (!name.is_empty()).then(|| (name, format!("/{rest}")))
}

/// Returns the idempotency key, which a non-repeatable call must carry.
pub(super) fn idempotency_key(headers: &HeaderMap) -> Result<Bytes, Problem> {
    let bad_request = |detail: &str| Problem::new(StatusCode::BAD_REQUEST, detail);
    let Some(key) = headers.get("idempotency-key") else {
        return Err(bad_request(
            "this call may not be repeated and needs an Idempotency-Key",
        ));
    };
    let key = key.as_bytes().trim_ascii();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(bad_request("the Idempotency-Key must have 1 to 256 bytes"));
    }
    Ok(Bytes::copy_from_slice(key))
}
