//! The normal path of a command through a cluster of three replicas.

use crate::cluster::Cluster;
use serde_json::json;
use wire::proto::note_outcome::Kind;
use wire::proto::{NoteQuery, query, query_reply};

#[tokio::test(flavor = "multi_thread")]
async fn submit_note_and_read_back() {
    let cluster = Cluster::start(3).await;
    let note =
        json!({"number": 1, "added": [{"kind": "model", "name": "burl-notes", "versions": ["1"]}]});
    let outcome = cluster.submit(&note, "anna").await;
    assert_eq!(outcome.kind(), Kind::Accepted);
    let catalogue = query::Body::Note(NoteQuery { number: 0 });
    let query_reply::Body::Json(json) = cluster.query(catalogue).await else {
        panic!("no JSON");
    };
    assert!(String::from_utf8_lossy(&json).contains("burl-notes"));
    for name in cluster.names() {
        cluster.wait_caught_up(&name).await;
    }
}
