//! Entries that keep links to a subset of the targets.

use fake::Relay;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use node::{ControlAddresses, Follower, FollowerSettings};
use route::{Subset, SubsetSettings, ZonedNode};
use serde_json::json;
use wire::proto::frame::Body;
use wire::proto::{Announcement, AttemptState, NodeInfo, Start};
use wire::{Identity, LinkSettings, Role};

use crate::calls::{claim_as_crashed_entry, script_with_state};
use crate::support::{
    Caller, Cluster, KEY, Script, StubAgent, accept, announcement, answer, eventually, send_reply,
};

const ONE: SubsetSettings = SubsetSettings {
    targets: 1,
    entries: 1,
};
const BEAT: Duration = Duration::from_millis(200);
const DESKS: [&str; 6] = [
    "desk-01", "desk-02", "desk-03", "desk-04", "desk-05", "desk-06",
];
const ENTRIES: [&str; 4] = ["entry-1", "entry-2", "entry-3", "entry-4"];

/// Names of the desks that an entry links if `desks` are announced.
fn subset(entry: &str, desks: &[&'static str]) -> BTreeSet<&'static str> {
    let site = |name| ZonedNode {
        name,
        zone: "celje",
    };
    let entries = ENTRIES.map(site);
    let targets: Vec<ZonedNode<'_>> = desks.iter().map(|name| site(name)).collect();
    let me = ENTRIES.iter().position(|name| *name == entry).unwrap();
    let subset = Subset::of(ONE, me, &entries, &targets);
    let linked = subset.linked().iter();
    linked.map(|linked| desks[linked.target]).collect()
}

/// Announces an entry that serves no callers.
pub fn announce_entry(cluster: &Cluster, name: &str) -> Follower {
    let me = Identity::new(Role::Entry, name, rand::random());
    let info = NodeInfo {
        role: Role::Entry.into(),
        name: name.to_owned(),
        incarnation: me.incarnation,
        zone: "celje".to_owned(),
        caller_address: "127.0.0.1:9".to_owned(),
        ..NodeInfo::default()
    };
    let cfg = FollowerSettings {
        controls: ControlAddresses::All(vec![cluster.control.link_address()]),
        renew_interval: Duration::from_millis(200),
        key: cluster.key(),
        link: LinkSettings::default(),
    };
    Follower::spawn(me, info, cfg)
}

async fn start_entry(cluster: &Cluster, name: &str) -> (entry::Entry, Caller) {
    let timing = json!({"beat_ms": BEAT.as_millis(), "start_ms": 2000, "link_grace_ms": 3000});
    let limits = json!({"subset_targets": ONE.targets, "subset_entries": ONE.entries});
    let entry = cluster.start_entry(name, timing, limits).await;
    let caller = Caller::new(entry.http_address(), KEY);
    caller.until_ready().await;
    (entry, caller)
}

async fn start_desk(
    cluster: &Cluster,
    name: &str,
    relay: Option<&Relay>,
    script: &Script,
) -> StubAgent {
    let target = Announcement {
        service: "order-desk".to_owned(),
        ..announcement(name)
    };
    StubAgent::start(cluster, target, relay, Arc::clone(script)).await
}

async fn gauge(caller: &Caller, name: &str) -> usize {
    let text = caller.get("/metrics").await.text();
    let prefix = format!("lovageramp_entry_{name} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
    value.unwrap().parse().unwrap()
}

/// Waits until the entry knows `known` targets and has links to `linked` of them.
async fn until_linked(caller: &Caller, known: usize, linked: usize) {
    eventually("the links are those of the subset", async || {
        let agents = gauge(caller, "agents").await;
        let links = gauge(caller, "links").await;
        ((agents, links) == (known, linked)).then_some(())
    })
    .await;
}

/// A script that answers each call at once.
fn answering_script() -> Script {
    Arc::new(|stub, incoming| {
        if let Body::Start(start) = &incoming.body {
            send_reply(incoming, accept(start), whole_answer(start, &stub.name));
        }
    })
}

fn whole_answer(start: &Start, text: &str) -> Vec<Body> {
    answer(&start.attempt, "application/json", text)
}

/// The network fails between an entry and all desks of its subset, while the other
/// desks are healthy and announced. Those must serve its callers, or the callers would
/// be refused until the network recovers.
#[tokio::test(flavor = "multi_thread")]
async fn subset_unreachable_others_serve() {
    let mut cluster = Cluster::start().await;
    cluster.offer(&[], &DESKS).await;
    let others = ENTRIES[1..].iter();
    let _others: Vec<Follower> = others.map(|n| announce_entry(&cluster, n)).collect();
    let mut desks = Vec::new();
    for name in DESKS {
        let relay = Relay::start().await.unwrap();
        let desk = start_desk(&cluster, name, Some(&relay), &answering_script()).await;
        desks.push((desk, relay));
    }
    let (_entry, caller) = start_entry(&cluster, "entry-1").await;
    let own = subset("entry-1", &DESKS);
    assert!(own.len() < DESKS.len(), "{own:?}");
    until_linked(&caller, DESKS.len(), own.len()).await;
    caller.until_service_served().await;
    for (desk, relay) in &desks {
        if own.contains(desk.name.as_str()) {
            relay.black_hole();
        }
    }
    // Until the failure is detected, attempts may still be running.
    eventually("another desk serves", async || {
        let reply = caller.get("/s/order-desk/stock").await;
        (reply.status == 200 && !own.contains(reply.text().as_str())).then_some(())
    })
    .await;
    for _ in 0..20 {
        let reply = caller.get("/s/order-desk/stock").await;
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
}

/// An entry starts a reservation at a desk and crashes. The reservation is sent again
/// through an entry without a link to that desk. It must return the answer of the
/// running attempt, which no other entry can record.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_resent_to_entry_without_link() {
    let mut cluster = Cluster::start().await;
    cluster.offer(&[], &DESKS).await;
    let others = ENTRIES[1..].iter();
    let _others: Vec<Follower> = others.map(|n| announce_entry(&cluster, n)).collect();
    let script = script_with_state(AttemptState::Ended, |_| Vec::new());
    let mut desks = Vec::new();
    for name in DESKS {
        desks.push(start_desk(&cluster, name, None, &script).await);
    }
    let (_entry, caller) = start_entry(&cluster, "entry-1").await;
    let own = subset("entry-1", &DESKS);
    until_linked(&caller, DESKS.len(), own.len()).await;
    let unlinked = |desk: &&StubAgent| !own.contains(desk.name.as_str());
    let desk = desks.iter().find(unlinked).unwrap();
    claim_as_crashed_entry(desk, desk.incarnation, "lot-17").await;
    let again = caller.reserve("lot-17", "{}").await;
    assert_eq!((again.status, again.text().as_str()), (200, "{\"lot\":17}"));
    assert!(desks.iter().all(|desk| desk.starts().is_empty()));
    // The link that was opened for this is closed again.
    until_linked(&caller, DESKS.len(), own.len()).await;
}

/// A desk joins, and an entry replaces a desk of its subset with it while calls run at
/// the old one. The calls must complete and run once; only then may the entry close the
/// link.
#[tokio::test(flavor = "multi_thread")]
async fn subset_change_keeps_running_calls() {
    let mut cluster = Cluster::start().await;
    cluster.offer(&[], &DESKS).await;
    let others = ENTRIES[1..].iter();
    let _others: Vec<Follower> = others.map(|n| announce_entry(&cluster, n)).collect();
    let (before, unlinked_desk) = desks_with_moved_link();
    let held: Arc<std::sync::Mutex<Vec<(wire::Link, Start)>>> = Arc::default();
    let script: Script = {
        let held = Arc::clone(&held);
        Arc::new(move |_, incoming| {
            if let Body::Start(start) = &incoming.body {
                send_reply(incoming, accept(start), Vec::new());
                let running = (incoming.link.clone(), start.clone());
                held.lock().unwrap().push(running);
            }
        })
    };
    let mut desks = Vec::new();
    for name in &before {
        desks.push(start_desk(&cluster, name, None, &script).await);
    }
    let (_entry, caller) = start_entry(&cluster, "entry-1").await;
    until_linked(&caller, before.len(), subset("entry-1", &before).len()).await;
    let calls: Vec<_> = (0..20)
        .map(|_| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.get("/s/order-desk/stock").await })
        })
        .collect();
    eventually("calls run at the desk that leaves the subset", async || {
        let desk = desks.iter().find(|desk| desk.name == unlinked_desk)?;
        let all: usize = desks.iter().map(|desk| desk.starts().len()).sum();
        (!desk.starts().is_empty() && all == calls.len()).then_some(())
    })
    .await;
    for name in DESKS.iter().filter(|name| !before.contains(name)) {
        desks.push(start_desk(&cluster, name, None, &script).await);
    }
    let after = subset("entry-1", &DESKS);
    eventually("the new subset is linked", async || {
        (gauge(&caller, "ready_targets{pool=\"order-desk\"}").await == after.len()).then_some(())
    })
    .await;
    // Gives a link time to be closed too early; a longer wait must not change the
    // result.
    tokio::time::sleep(BEAT * 20).await;
    for (link, start) in held.lock().unwrap().iter() {
        let (link, frames) = (link.clone(), whole_answer(start, "{}"));
        tokio::spawn(async move {
            for body in frames {
                let _ = link.send(body).await;
            }
        });
    }
    for call in calls {
        let reply = call.await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    until_linked(&caller, DESKS.len(), after.len()).await;
    let ran: usize = desks.iter().map(|desk| desk.starts().len()).sum();
    assert_eq!(ran, 20);
}

/// The desks to start with, and one of them that leaves the subset of the first entry
/// once all desks are announced.
fn desks_with_moved_link() -> (Vec<&'static str>, &'static str) {
    let after = subset("entry-1", &DESKS);
    for skipped in &after {
        let before: Vec<&str> = DESKS.into_iter().filter(|name| name != skipped).collect();
        let own = subset("entry-1", &before);
        if let Some(unlinked_desk) = own.difference(&after).next() {
            return (before.clone(), unlinked_desk);
        }
    }
    panic!("no desk changes the subset of the first entry");
}
