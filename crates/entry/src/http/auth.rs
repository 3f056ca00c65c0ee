//! Authentication of client accounts.

use admin::Problem;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use note::{Account, Catalogue};

/// Returns the account whose bearer key the request carries.
pub(super) fn authenticate<'a>(
    headers: &HeaderMap,
    catalogue: &'a Catalogue,
) -> Result<&'a Account, Problem> {
    let value = headers.get(AUTHORIZATION);
    let value = value.ok_or_else(|| Problem::unauthorized("no bearer key"))?;
    let key = bearer_key(value.as_bytes());
    let key = key.ok_or_else(|| Problem::unauthorized("authorization is no bearer key"))?;
    let account = catalogue.account_by_key(key);
    account.ok_or_else(|| Problem::unauthorized("unknown bearer key"))
}

fn bearer_key(value: &[u8]) -> Option<&[u8]> {
    const SCHEME: &[u8] = b"bearer ";
    let (scheme, key) = value.split_at_checked(SCHEME.len())?;
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}
