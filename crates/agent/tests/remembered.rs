//! Tombstones of attempts that have ended.

mod support;

use fake::{Service, ServiceSettings};
use serde_json::json;
use support::{Fixture, id, wait_until};
use wire::proto::{AttemptState, Refusal};

/// Number of attempts that an agent remembers in these tests.
const REMEMBERED: u32 = 100;

async fn service() -> Service {
    Service::start(ServiceSettings::default()).await.unwrap()
}

/// Entries acknowledge every answer of a target that has many short calls. If the agent
/// kept a tombstone of each for minutes, it would reach its limit and refuse all work.
#[tokio::test(flavor = "multi_thread")]
async fn calls_acknowledged() {
    let service = service().await;
    let limits = json!({"limits": {"remembered": REMEMBERED}});
    let fixture = Fixture::service(&service, limits).await;
    let entry = fixture.connect_entry().await;
    let mut accepted = 0;
    for attempt in 1..=u128::from(10 * REMEMBERED) {
        let mut start = fixture.reservation(attempt, "stock");
        start.keep = false;
        if !entry.start(start).await.accepted {
            break;
        }
        accepted += 1;
        entry.wait_complete(&id(attempt)).await;
        entry.release(&id(attempt)).await;
    }
    assert_eq!(accepted, 10 * REMEMBERED);
}

/// An entry dies without acknowledging the answers that it received. They may be requested
/// again, so their tombstones must not be dropped to make room.
#[tokio::test(flavor = "multi_thread")]
async fn calls_not_acknowledged() {
    let service = service().await;
    let settings = json!({"limits": {"remembered": REMEMBERED}, "timing": {"ended_ms": 1}});
    let fixture = Fixture::service(&service, settings).await;
    let entry = fixture.connect_entry().await;
    for attempt in 1..=u128::from(REMEMBERED) {
        let mut start = fixture.reservation(attempt, "stock");
        start.keep = false;
        entry.start_accepted(start).await;
        entry.wait_complete(&id(attempt)).await;
    }
    wait_until("the answers are dropped", async || {
        let last = id(REMEMBERED.into());
        entry.bar(&last).await == AttemptState::Forgotten
    })
    .await;
    let mut start = fixture.reservation(u128::from(REMEMBERED) + 1, "stock");
    start.keep = false;
    assert_eq!(entry.start_refused(start).await, Refusal::Full);
}

/// A reservation ran and couldn't be recorded, because the majority of control was down for
/// longer than the agent keeps an answer. The ledger's clock stopped meanwhile, so for the
/// ledger the reservation is still running. If the agent answered that it doesn't know the
/// attempt, the key would be released and the lot sold twice.
#[tokio::test(flavor = "multi_thread")]
async fn reservation_never_recorded() {
    let service = service().await;
    let times = json!({"timing": {"keep_ms": 1, "remember_ms": 300}});
    let fixture = Fixture::service(&service, times).await;
    let entry = fixture.connect_entry().await;
    entry.start_accepted(fixture.reservation(1, "lot-1")).await;
    entry.wait_complete(&id(1)).await;
    wait_until("the answer is dropped", async || {
        entry.bar(&id(1)).await == AttemptState::Forgotten
    })
    .await;
    // When this bar has expired, all tombstones with a limited retention have.
    assert_eq!(entry.bar(&id(2)).await, AttemptState::Barred);
    wait_until("the bar has expired", async || {
        entry.attach(&id(2), 0).await == AttemptState::Absent
    })
    .await;
    assert_eq!(entry.bar(&id(1)).await, AttemptState::Forgotten);
}
