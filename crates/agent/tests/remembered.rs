//! What an agent remembers of attempts that are over.

mod support;

use fake::{Service, ServiceSettings};
use serde_json::json;
use support::{Bench, id, until};
use wire::proto::{AttemptState, Refusal};

/// Attempts that an agent of these tests remembers.
const REMEMBERED: u32 = 100;

async fn service() -> Service {
    Service::start(ServiceSettings::default()).await.unwrap()
}

/// Entries acknowledge every answer of a target that has many short calls. An agent that
/// kept a note of each for minutes would be full, and refuse a target's whole work.
#[tokio::test(flavor = "multi_thread")]
async fn calls_acknowledged() {
    let service = service().await;
    let limits = json!({"limits": {"remembered": REMEMBERED}});
    let bench = Bench::service(&service, limits).await;
    let caller = bench.caller().await;
    let mut taken = 0;
    for attempt in 1..=u128::from(10 * REMEMBERED) {
        let mut start = bench.reservation(attempt, "stock");
        start.keep = false;
        if !caller.start(start).await.accepted {
            break;
        }
        taken += 1;
        caller.whole(&id(attempt)).await;
        caller.done(&id(attempt)).await;
    }
    assert_eq!(taken, 10 * REMEMBERED);
}

/// An entry dies without a word on the answers that it had. They may be asked for again,
/// and what is remembered of them is never dropped to make room.
#[tokio::test(flavor = "multi_thread")]
async fn calls_not_acknowledged() {
    let service = service().await;
    let settings = json!({"limits": {"remembered": REMEMBERED}, "timing": {"ended_ms": 1}});
    let bench = Bench::service(&service, settings).await;
    let caller = bench.caller().await;
    for attempt in 1..=u128::from(REMEMBERED) {
        let mut start = bench.reservation(attempt, "stock");
        start.keep = false;
        caller.begin(start).await;
        caller.whole(&id(attempt)).await;
    }
    until("the answers are dropped", async || {
        let last = id(REMEMBERED.into());
        caller.bar(&last).await == AttemptState::Forgotten
    })
    .await;
    let mut start = bench.reservation(u128::from(REMEMBERED) + 1, "stock");
    start.keep = false;
    assert_eq!(caller.refused(start).await, Refusal::Full);
}

/// A reservation ran and nobody could record it, since the majority of controls was away
/// for longer than the agent keeps an answer. The ledger's time stood still meanwhile:
/// for it the reservation still runs. Were the agent to say that it knows nothing of it,
/// the key would be free and the lot sold twice.
#[tokio::test(flavor = "multi_thread")]
async fn reservation_never_recorded() {
    let service = service().await;
    let times = json!({"timing": {"keep_ms": 1, "remember_ms": 300}});
    let bench = Bench::service(&service, times).await;
    let caller = bench.caller().await;
    caller.begin(bench.reservation(1, "lot-1")).await;
    caller.whole(&id(1)).await;
    until("the answer is dropped", async || {
        caller.bar(&id(1)).await == AttemptState::Forgotten
    })
    .await;
    // What the agent remembers for a time only is over when this one's bar is.
    assert_eq!(caller.bar(&id(2)).await, AttemptState::Barred);
    until("the bar is over", async || {
        caller.attach(&id(2), 0).await == AttemptState::Absent
    })
    .await;
    assert_eq!(caller.bar(&id(1)).await, AttemptState::Forgotten);
}
