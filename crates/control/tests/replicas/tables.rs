//! Large route tables on the way to replicas and entries.

use crate::cluster::{Cluster, WAIT_TIMEOUT, wait_for};
use wire::proto::frame::Body;
use wire::proto::{Entrance, Report, RouteTable, command};

fn large_table() -> RouteTable {
    RouteTable {
        number: 7,
        source: "a route of a table; ".repeat(50_000).into(),
        ..RouteTable::default()
    }
}

/// The table that a replica sends an entry which has just started.
async fn sent_to_entry(cluster: &Cluster, replica: &str, knows_compressed: bool) -> RouteTable {
    let (link, mut rx) = cluster.dial_as_node(replica).await;
    let report = Report {
        entrance: Some(Entrance::default()),
        knows_compressed,
        ..Report::default()
    };
    let reply = link.call(Body::Report(report), WAIT_TIMEOUT);
    assert!(matches!(reply.await, Ok(Body::Reported(_))));
    let table = wait_for("the table", async || match rx.recv().await?.body {
        Body::RouteTable(table) => Some(table),
        _ => None,
    });
    let table = table.await;
    link.close();
    table
}

/// Guards against an entry of an earlier version that is sent a table which it cannot read,
/// and against replicas that hold other content than the leader after its compression.
#[tokio::test(flavor = "multi_thread")]
async fn large_table_to_entries() {
    let cluster = Cluster::start(3).await;
    let table = large_table();
    cluster
        .propose(command::Body::RouteTable(table.clone()))
        .await;
    for name in cluster.names() {
        cluster.wait_caught_up(&name).await;
        let plain = sent_to_entry(&cluster, &name, false).await;
        assert!(plain.source == table.source && plain.compressed.is_none());
        let sent = sent_to_entry(&cluster, &name, true).await;
        assert!(sent.source.is_empty() && sent.digest == plain.digest);
        let compressed = sent.compressed.unwrap();
        assert!(compressed.block.len() < table.source.len() / 10);
        assert!(wire::decompress(&compressed).unwrap() == table.source);
    }
}
