//! What reached the fake services.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eyre::{WrapErr, bail};
use hyper::Method;
use serde_json::Value;

use super::http::{Client, Sent};

/// How often each idempotency key reached any of the fakes.
pub(super) async fn ask(
    client: &Client,
    fakes: &[SocketAddr],
) -> eyre::Result<BTreeMap<String, u64>> {
    let mut counts = BTreeMap::new();
    for fake in fakes {
        let sent = client.whole(*fake, Method::GET, "/seen", &[], "".into());
        let answer = match sent.await {
            Sent::Answered(answer) if answer.status == 200 => answer,
            Sent::Answered(answer) => bail!("{fake} answers /seen with {}", answer.status),
            Sent::Nothing(why) | Sent::Lost(why) => bail!("can't ask {fake} what it saw: {why}"),
        };
        let rows: Vec<Value> = serde_json::from_slice(&answer.body).wrap_err("/seen")?;
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
