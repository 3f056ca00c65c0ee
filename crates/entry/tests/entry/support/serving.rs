//! A cluster that serves one model and one service.

use super::{Caller, Cluster};

/// One engine and one service behind one entry, which has served a call of each.
pub async fn serving() -> (Cluster, fake::Engine, fake::Service, entry::Entry, Caller) {
    let mut cluster = Cluster::start().await;
    let engine = fake::Engine::start(fake::EngineSettings::default())
        .await
        .unwrap();
    let service = fake::Service::start(fake::ServiceSettings::default())
        .await
        .unwrap();
    cluster.offer(&["advisor-01"], &["desk-01"]).await;
    cluster.agent("advisor-01", "", engine.address()).await;
    cluster
        .agent("desk-01", "order-desk", service.address())
        .await;
    let (entry, caller) = cluster.ready_entry("entry-1").await;
    caller.until_served().await;
    caller.until_desk().await;
    (cluster, engine, service, entry, caller)
}
