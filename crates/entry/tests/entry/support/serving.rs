//! A cluster that serves one model and one service.

use super::{Caller, Cluster};

/// Starts one engine, one service and one entry, and waits until the entry has served a
/// call of each.
pub async fn serving_cluster() -> (Cluster, fake::Engine, fake::Service, entry::Entry, Caller) {
    let mut cluster = Cluster::start().await;
    let engine = fake::Engine::start(fake::EngineSettings::default())
        .await
        .unwrap();
    let service = fake::Service::start(fake::ServiceSettings::default())
        .await
        .unwrap();
    cluster.offer(&["advisor-01"], &["desk-01"]).await;
    cluster
        .start_agent("advisor-01", "", engine.address())
        .await;
    cluster
        .start_agent("desk-01", "order-desk", service.address())
        .await;
    let (entry, caller) = cluster.start_ready_entry("entry-1").await;
    caller.until_chat_served().await;
    caller.until_service_served().await;
    (cluster, engine, service, entry, caller)
}
