//! Account limits that several entries share.

use std::sync::Arc;
use std::time::Duration;

use node::Follower;
use serde_json::json;
use tokio::task::JoinHandle;
use wire::proto::frame::Body;

use crate::subsets::announce_entry;
use crate::support::{
    Caller, Cluster, KEY, Reply, Script, StubAgent, accept, eventually, send_reply,
};

/// Concurrency limit of the account.
const CONCURRENT: usize = 8;
/// Part of the limit that each of four entries may use without a grant.
const OWN_SHARE: usize = 2;

/// A cluster that announces four entries, of which the first ones are real. Its only
/// desk accepts all calls and never answers.
struct LimitedAccount {
    _cluster: Cluster,
    _others: Vec<Follower>,
    _entries: Vec<entry::Entry>,
    callers: Vec<Caller>,
    desk: StubAgent,
}

async fn limited_account(real: usize) -> LimitedAccount {
    let mut cluster = Cluster::start().await;
    cluster.offer(&[], &["desk-01"]).await;
    let digest = crate::support::sha256_hex(KEY.as_bytes());
    let account = json!({"kind": "account", "name": "saegewerk-huber", "key_sha256": digest,
        "share": 1, "tokens_per_s": 1_000_000, "requests_per_s": 10_000,
        "concurrent": CONCURRENT, "priority": 1});
    cluster.submit_changes(&json!([account])).await;
    let script: Script = Arc::new(|_, incoming| {
        if let Body::Start(start) = &incoming.body {
            send_reply(incoming, accept(start), Vec::new());
        }
    });
    let desk = StubAgent::desk(&cluster, "desk-01", script).await;
    let names = ["entry-1", "entry-2", "entry-3", "entry-4"];
    let others = names[real..].iter();
    let others = others.map(|name| announce_entry(&cluster, name)).collect();
    let (mut entries, mut callers) = (Vec::new(), Vec::new());
    for name in &names[..real] {
        let entry = cluster
            .start_entry(name, json!({"queue_wait_ms": 200}), json!({}))
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
    LimitedAccount {
        _cluster: cluster,
        _others: others,
        _entries: entries,
        callers,
        desk,
    }
}

/// Calls the entry until the call is admitted, and then waits for an answer that never
/// comes.
fn call_until_admitted(caller: &Caller) -> JoinHandle<Reply> {
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

fn abort_all(callers: &[JoinHandle<Reply>]) {
    callers.iter().for_each(JoinHandle::abort);
}

/// All callers of an account use one of four entries. If that entry used only its own
/// part of the limit, it would refuse them although the account uses a quarter of its
/// limit.
#[tokio::test(flavor = "multi_thread")]
async fn account_at_one_entry_full_limit() {
    let limited_account = limited_account(1).await;
    let callers: Vec<_> = (0..CONCURRENT)
        .map(|_| call_until_admitted(&limited_account.callers[0]))
        .collect();
    eventually("all calls are admitted", async || {
        (limited_account.desk.starts().len() >= CONCURRENT).then_some(())
    })
    .await;
    let more = limited_account.callers[0].get("/s/order-desk/stock").await;
    assert_eq!(more.status, 429, "{}", more.text());
    abort_all(&callers);
}

/// An account sends calls through two entries at once. Together they may exceed its
/// limit by the own part of the entry that has no grant yet, and by no more.
#[tokio::test(flavor = "multi_thread")]
async fn account_at_two_entries_bounded() {
    let limited_account = limited_account(2).await;
    let call_concurrently = |caller: &Caller| -> Vec<_> {
        (0..CONCURRENT)
            .map(|_| call_until_admitted(caller))
            .collect()
    };
    let first = call_concurrently(&limited_account.callers[0]);
    eventually("the first entry uses the full limit", async || {
        (limited_account.desk.starts().len() >= CONCURRENT).then_some(())
    })
    .await;
    let second = call_concurrently(&limited_account.callers[1]);
    eventually("the second entry uses its own share", async || {
        (limited_account.desk.starts().len() >= CONCURRENT + OWN_SHARE).then_some(())
    })
    .await;
    // Gives the entry time to admit too many; a longer wait must not change the result.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let running = limited_account.desk.starts().len();
    abort_all(&first);
    abort_all(&second);
    assert!(running <= CONCURRENT + OWN_SHARE, "{running} running calls");
}
