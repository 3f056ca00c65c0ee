//! The address list, kept as callers keep it.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eyre::{bail, eyre};
use hyper::Method;
use serde_json::Value;

use super::http::{Client, Sent};

/// After a failed connection the list is asked for again, but no more often
/// than this.
const AGAIN: Duration = Duration::from_millis(500);

/// The address list that callers hold, asked for again when it runs out.
pub(super) struct Directory {
    seeds: Vec<SocketAddr>,
    held: Mutex<Held>,
}

struct Held {
    list: Vec<SocketAddr>,
    fetched: Instant,
    ttl: Duration,
}

impl Directory {
    /// Asks the seeds for the list.
    pub(super) async fn ask(client: &Client, seeds: &[SocketAddr]) -> eyre::Result<Directory> {
        let (list, ttl) = fetch(client, seeds).await?;
        Ok(Directory {
            seeds: seeds.to_vec(),
            held: Mutex::new(Held {
                list,
                fetched: Instant::now(),
                ttl,
            }),
        })
    }

    /// The address for a request's `turn`; the next turn is the next address.
    pub(super) fn address(&self, turn: usize) -> SocketAddr {
        let held = self.lock();
        let position = turn.checked_rem(held.list.len()).unwrap_or_default();
        held.list.get(position).copied().unwrap_or(self.seeds[0])
    }

    /// Asks again once the list has run out.
    pub(super) async fn refresh(&self, client: &Client, now: Instant) {
        let due = {
            let held = self.lock();
            now >= held.fetched + held.ttl
        };
        if due {
            self.fetch(client, now).await;
        }
    }

    /// An address can't be reached: asks again soon.
    pub(super) async fn doubt(&self, client: &Client, now: Instant) {
        let due = now >= self.lock().fetched + AGAIN;
        if due {
            self.fetch(client, now).await;
        }
    }

    async fn fetch(&self, client: &Client, now: Instant) {
        let mut asked = {
            let mut held = self.lock();
            // Others needn't ask as well.
            held.fetched = now;
            held.list.clone()
        };
        asked.extend(&self.seeds);
        if let Ok((list, ttl)) = fetch(client, &asked).await {
            let mut held = self.lock();
            held.list = list;
            held.ttl = ttl;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn fetch(client: &Client, hosts: &[SocketAddr]) -> eyre::Result<(Vec<SocketAddr>, Duration)> {
    for host in hosts {
        let sent = client.whole(*host, Method::GET, "/v1/addresses", &[], "".into());
        if let Sent::Answered(answer) = sent.await
            && answer.status == 200
        {
            return read(&answer.body);
        }
    }
    bail!("no entry gives an address list")
}

fn read(body: &[u8]) -> eyre::Result<(Vec<SocketAddr>, Duration)> {
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
