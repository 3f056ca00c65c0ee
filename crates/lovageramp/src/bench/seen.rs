//! Requests received by the fake services.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eyre::{WrapErr, bail};
use hyper::Method;
use serde_json::Value;

use super::http::{Client, SendResult};

/// Returns how many requests the fake services received with each idempotency key.
pub(super) async fn fetch_counts(
    client: &Client,
    fakes: &[SocketAddr],
) -> eyre::Result<BTreeMap<String, u64>> {
    let mut counts = BTreeMap::new();
    for fake in fakes {
        let sent = client.request(*fake, Method::GET, "/seen", &[], "".into());
        let response = match sent.await {
            SendResult::Response(response) if response.status == 200 => response,
            SendResult::Response(response) => {
                bail!("{fake} returned status {} for /seen", response.status)
            }
            SendResult::NotSent(reason) | SendResult::NoResponse(reason) => {
                bail!("cannot read the request counts of {fake}: {reason}")
            }
        };
        let rows: Vec<Value> =
            serde_json::from_slice(&response.body).wrap_err("invalid response to /seen")?;
        for row in rows {
            let key = row["key"].as_str().unwrap_or_default();
            if !key.is_empty() {
                let count = row["count"].as_u64().unwrap_or_default();
                *counts.entry(key.to_owned()).or_default() += count;
            }
        }
    }
    Ok(counts)
}
