//! Limits of an account that several entries give out.

use std::sync::Arc;
use std::time::Duration;

use node::Follower;
use serde_json::json;
use tokio::task::JoinHandle;
use wire::proto::frame::Body;

use crate::subsets::announce_entry;
use crate::support::{Caller, Cluster, KEY, Reply, Script, StubAgent, accept, eventually, say};

/// Requests at once that the account may have.
const CONCURRENT: usize = 8;
/// Of four entries, each has this part of it that it needs no grant for.
const OWN: usize = 2;

/// Four entries are announced, of which the first ones are real; one desk accepts all calls
/// and never answers.
struct Limited {
    _cluster: Cluster,
    _others: Vec<Follower>,
    _entries: Vec<entry::Entry>,
    callers: Vec<Caller>,
    desk: StubAgent,
}

async fn limited(real: usize) -> Limited {
    let mut cluster = Cluster::start().await;
    cluster.offer(&[], &["desk-01"]).await;
    let digest = crate::support::sha256_hex(KEY.as_bytes());
    let account = json!({"kind": "account", "name": "saegewerk-huber", "key_sha256": digest,
        "share": 1, "tokens_per_s": 1_000_000, "requests_per_s": 10_000,
        "concurrent": CONCURRENT, "priority": 1});
    cluster.change(&json!([account])).await;
    let script: Script = Arc::new(|_, incoming| {
        if let Body::Start(start) = &incoming.body {
            say(incoming, accept(start), Vec::new());
        }
    });
    let desk = StubAgent::desk(&cluster, "desk-01", script).await;
    let names = ["entry-1", "entry-2", "entry-3", "entry-4"];
    let others = names[real..].iter();
    let others = others.map(|name| announce_entry(&cluster, name)).collect();
    let (mut entries, mut callers) = (Vec::new(), Vec::new());
    for name in &names[..real] {
        let entry = cluster
            .entry(name, json!({"queue_wait_ms": 200}), json!({}))
            .await;
        let caller = Caller::new(entry.http_address(), KEY);
        caller.until_ready().await;
        callers.push(caller);
        entries.push(entry);
    }
    for caller in &callers {
        eventually("all entries are known", async || {
            let list = caller.get("/v1/addresses").await.text();
            (list.matches("127.0.0.1:").count() >= names.len()).then_some(())
        })
        .await;
    }
    Limited {
        _cluster: cluster,
        _others: others,
        _entries: entries,
        callers,
        desk,
    }
}

/// A caller that asks until it is let in, and then waits for an answer that never comes.
fn insist(caller: &Caller) -> JoinHandle<Reply> {
    let caller = caller.clone();
    tokio::spawn(async move {
        loop {
            let reply = caller.get("/s/order-desk/stock").await;
            if reply.status != 429 && reply.status != 503 {
                return reply;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
}

fn all_of(callers: &[JoinHandle<Reply>]) {
    callers.iter().for_each(JoinHandle::abort);
}

/// All callers of a small account hold to one entry of four. If the entry gave out its own
/// part only, they would be refused though the account uses a quarter of its limit.
#[tokio::test(flavor = "multi_thread")]
async fn account_at_one_entry_whole_limit() {
    let limited = limited(1).await;
    let callers: Vec<_> = (0..CONCURRENT)
        .map(|_| insist(&limited.callers[0]))
        .collect();
    eventually("all are let in", async || {
        (limited.desk.starts().len() >= CONCURRENT).then_some(())
    })
    .await;
    let more = limited.callers[0].get("/s/order-desk/stock").await;
    assert_eq!(more.status, 429, "{}", more.text());
    all_of(&callers);
}

/// Callers of an account press on two entries at once. Together they may exceed its limit by
/// the own part of the one that was granted nothing yet, and by no more.
#[tokio::test(flavor = "multi_thread")]
async fn account_at_two_entries_bounded() {
    let limited = limited(2).await;
    let press = |caller: &Caller| -> Vec<_> { (0..CONCURRENT).map(|_| insist(caller)).collect() };
    let first = press(&limited.callers[0]);
    eventually("the first has the whole", async || {
        (limited.desk.starts().len() >= CONCURRENT).then_some(())
    })
    .await;
    let second = press(&limited.callers[1]);
    eventually("the second lets in its own part", async || {
        (limited.desk.starts().len() >= CONCURRENT + OWN).then_some(())
    })
    .await;
    // Time for it to let in too many; the test holds however long it is.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let running = limited.desk.starts().len();
    all_of(&first);
    all_of(&second);
    assert!(running <= CONCURRENT + OWN, "{running} at once");
}
