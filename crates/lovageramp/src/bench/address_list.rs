//! The list of entry addresses, cached as callers do.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eyre::{bail, eyre};
use hyper::Method;
use serde_json::Value;

use super::http::{Client, SendResult};

/// A failed connection triggers a refresh of the list, at most once per this interval.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// The list of entry addresses, refreshed when its time to live has passed.
pub(super) struct AddressList {
    /// Hosts given on the command line.
    configured: Vec<SocketAddr>,
    cached: Mutex<CachedList>,
}

struct CachedList {
    list: Vec<SocketAddr>,
    fetched: Instant,
    ttl: Duration,
}

impl AddressList {
    /// Requests the list from the configured hosts.
    pub(super) async fn fetch(
        client: &Client,
        configured: &[SocketAddr],
    ) -> eyre::Result<AddressList> {
        let (list, ttl) = fetch_list(client, configured).await?;
        Ok(AddressList {
            configured: configured.to_vec(),
            cached: Mutex::new(CachedList {
                list,
                fetched: Instant::now(),
                ttl,
            }),
        })
    }

    /// Returns the address at `index`, modulo the length of the list.
    pub(super) fn address(&self, index: usize) -> SocketAddr {
        let cached = self.lock();
        let position = index.checked_rem(cached.list.len()).unwrap_or_default();
        cached
            .list
            .get(position)
            .copied()
            .unwrap_or(self.configured[0])
    }

    /// Refreshes the list once its time to live has passed.
    pub(super) async fn refresh(&self, client: &Client, now: Instant) {
        let is_expired = {
            let cached = self.lock();
            now >= cached.fetched + cached.ttl
        };
        if is_expired {
            self.update(client, now).await;
        }
    }

    /// Refreshes the list after a failed connection, at most once per
    /// [`MIN_REFRESH_INTERVAL`].
    pub(super) async fn refresh_after_failure(&self, client: &Client, now: Instant) {
        let is_due = now >= self.lock().fetched + MIN_REFRESH_INTERVAL;
        if is_due {
            self.update(client, now).await;
        }
    }

    async fn update(&self, client: &Client, now: Instant) {
        let mut hosts = {
            let mut cached = self.lock();
            // Keeps concurrent callers from refreshing as well.
            cached.fetched = now;
            cached.list.clone()
        };
        hosts.extend(&self.configured);
        if let Ok((list, ttl)) = fetch_list(client, &hosts).await {
            let mut cached = self.lock();
            cached.list = list;
            cached.ttl = ttl;
        }
    }

    fn lock(&self) -> MutexGuard<'_, CachedList> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn fetch_list(
    client: &Client,
    hosts: &[SocketAddr],
) -> eyre::Result<(Vec<SocketAddr>, Duration)> {
    for host in hosts {
        let sent = client.request(*host, Method::GET, "/v1/addresses", &[], "".into());
        if let SendResult::Response(response) = sent.await
            && response.status == 200
        {
            return parse_list(&response.body);
        }
    }
    bail!("no entry returned an address list")
}

fn parse_list(body: &[u8]) -> eyre::Result<(Vec<SocketAddr>, Duration)> {
    let document: Value = serde_json::from_slice(body)?;
    let rows = document["addresses"].as_array().into_iter().flatten();
    let list: Vec<SocketAddr> = rows
        .filter_map(|row| row["address"].as_str()?.parse().ok())
        .collect();
    if list.is_empty() {
        return Err(eyre!("the address list is empty"));
    }
    let ttl = document["ttl_s"].as_u64().unwrap_or_default();
    Ok((list, Duration::from_secs(ttl)))
}
