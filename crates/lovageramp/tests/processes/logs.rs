//! Log lines of one request, from entry to agent.

use crate::support::{Cluster, ClusterPlan, bearer, request, until};
use serde_json::{Map, Value};

/// An operator searches the logs of all hosts for the request id of an answer. Each log
/// line must carry the id in a field of its own and name the target that the request was
/// sent to.
#[tokio::test(flavor = "multi_thread")]
async fn logs_of_one_request() {
    let mut cluster = Cluster::start(ClusterPlan {
        controls: 1,
        entries: 1,
        engines: 0,
        services: 1,
        ..ClusterPlan::default()
    })
    .await;
    cluster.options = vec![
        "--log-format",
        "json",
        "--log",
        "info,entry=debug,agent=debug",
    ];
    for name in ["entry-1", "desk-01"] {
        cluster.processes.get_mut(name).unwrap().kill().await;
    }
    cluster.start_agent("desk-01").await;
    cluster.start_entry(1).await;
    cluster.submit_first_note().await;

    let entry = cluster.http("entry-1");
    let bearer = bearer("huber");
    let headers = [("authorization", bearer.as_str())];
    let answer = request(entry, "GET", "/s/order-desk/stock", &headers, "").await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, 200);
    let id = answer.header("x-request-id").to_owned();
    let refused = request(entry, "GET", "/s/no-such-desk/stock", &headers, "").await;
    let refused = refused.unwrap();
    assert_eq!(refused.status, 404);
    let refused = refused.header("x-request-id").to_owned();

    let lines = until("all lines are written", || async {
        let mut lines = Vec::new();
        for (host, request, count) in [
            ("entry-1", &id, 2),
            ("desk-01", &id, 1),
            ("entry-1", &refused, 2),
        ] {
            let ours = lines_of(&cluster, host, request);
            if ours.len() < count {
                return None;
            }
            lines.extend(ours);
        }
        Some(lines)
    })
    .await;
    insta::assert_snapshot!(lines.join("\n"));
}

/// The log lines of one request at one host, with values that differ between runs redacted.
fn lines_of(cluster: &Cluster, host: &str, request: &str) -> Vec<String> {
    let log = cluster.folder.path().join(format!("{host}.log"));
    let log = std::fs::read_to_string(log).unwrap();
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    let ours =
        lines.filter(|line: &Map<String, Value>| line.get("request") == Some(&request.into()));
    ours.map(|mut line| {
        line["request"] = "[id]".into();
        line["timestamp"] = "[time]".into();
        line["line"] = "[line]".into();
        format!("{host}: {}", Value::Object(line))
    })
    .collect()
}
