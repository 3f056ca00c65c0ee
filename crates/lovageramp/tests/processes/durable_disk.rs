//! Controls, run as separate processes, whose disks are full or fail to sync.

use crate::support::disks::{self, DiskFault};
use crate::support::notes::Operators;
use crate::support::{Answer, Cluster, ClusterPlan, account_item, bearer, get, reserve, until};
use serde_json::{Value, json};

const REFUSED: &str = "lovageramp_control_refused_commands_total";
const FULL: &str = "lovageramp_control_disk_full";

/// Entry point of the control process that the other tests of this file start from this
/// test executable.
#[test]
fn control_process_with_faults() {
    disks::run_control_process();
}

fn plan() -> ClusterPlan {
    ClusterPlan {
        controls: 3,
        entries: 1,
        engines: 0,
        services: 1,
        faulty_disks: true,
        ..ClusterPlan::default()
    }
}

async fn send(cluster: &Cluster, host: &str, number: u64) -> Answer {
    let note = json!({"number": number, "added": [account_item(&format!("account-{number}"))]});
    let path = "/v1/operator/notes";
    cluster.operator(host, "POST", path, &note).await
}

async fn until_accepted(cluster: &Cluster, host: &str, number: u64) -> Answer {
    until("the note is accepted", || async {
        let answer = send(cluster, host, number).await;
        (answer.status == 200).then_some(answer)
    })
    .await
}

fn control_number(control: &str) -> usize {
    control.rsplit('-').next().unwrap().parse().unwrap()
}

/// The disk of the leader is full. Notes and reservations are refused at once with the
/// reason and a `retry-after`; reads still work. Once disk space is freed, writes resume
/// without intervention and everything acknowledged is retained.
#[tokio::test(flavor = "multi_thread")]
async fn disk_full_leader() {
    let cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    let entry = cluster.http("entry-1");
    let first = reserve(entry, "huber", "lot-1", "burl").await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    let leader = cluster.leader().await;
    cluster.fail_disk(&leader, DiskFault::Full);
    // The first write that fails on the full disk may already be replicated to the others.
    let found = send(&cluster, &leader, 2).await;
    assert!([200, 503].contains(&found.status), "{}", found.text());
    cluster.until_metric(&leader, FULL, 1.0).await;

    // The counter rises by one, so the refusal was passed on without an internal retry.
    for (round, host) in ["entry-1", &leader].into_iter().enumerate() {
        let before = cluster.metric(&leader, REFUSED).await.unwrap();
        let refused = send(&cluster, host, 3).await;
        assert_eq!(refused.status, 503, "round {round}: {}", refused.text());
        assert_eq!(refused.json()["ran"], "no", "{}", refused.text());
        assert!(refused.text().contains("the disk of the leader is full"));
        assert_eq!(refused.header("retry-after"), "5");
        let after = cluster.metric(&leader, REFUSED).await.unwrap();
        assert!(
            (after - before - 1.0).abs() < f64::EPSILON,
            "{before} {after}"
        );
    }
    let call = reserve(entry, "huber", "lot-2", "burl").await.unwrap();
    assert_eq!(call.status, 503, "{}", call.text());
    assert_eq!(cluster.ran("lot-2").await, 0);
    check_reads_work(&cluster, &leader).await;

    cluster.clear_disk_fault(&leader, DiskFault::Full);
    cluster.until_metric(&leader, FULL, 0.0).await;
    until_accepted(&cluster, "entry-1", 2).await;
    until_accepted(&cluster, "entry-1", 3).await;
    let again = reserve(entry, "huber", "lot-1", "burl").await.unwrap();
    assert_eq!((again.status, again.body), (200, first.body));
    assert_eq!(cluster.ran("lot-1").await, 1);
    let later = reserve(entry, "huber", "lot-2", "burl").await.unwrap();
    assert_eq!(later.status, 200, "{}", later.text());
    assert_eq!(cluster.ran("lot-2").await, 1);
}

async fn check_reads_work(cluster: &Cluster, leader: &str) {
    let status = cluster.status("entry-1").await.unwrap();
    assert_eq!(status["disk_full"], true);
    assert_eq!(status["leader"], leader);
    for host in ["entry-1", leader] {
        let path = "/v1/operator/notes/1";
        let note = cluster.operator(host, "GET", path, &Value::Null).await;
        assert_eq!(note.status, 200, "{}", note.text());
    }
    let bearer = bearer("huber");
    let headers = [("authorization", bearer.as_str())];
    let entry = cluster.http("entry-1");
    let stock = get(entry, "/s/order-desk/stock", &headers).await.unwrap();
    assert_eq!(stock.status, 200, "{}", stock.text());
}

/// A sync fails at the leader. Its process exits with the reason and refuses to start on
/// that disk again; the others continue with everything that was acknowledged, and the
/// host rejoins with a blank disk.
#[tokio::test(flavor = "multi_thread")]
async fn sync_fails_at_leader() {
    let mut cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    let entry = cluster.http("entry-1");
    let first = reserve(entry, "huber", "lot-1", "burl").await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    let leader = cluster.leader().await;
    cluster.fail_disk(&leader, DiskFault::Sync);
    until_accepted(&cluster, "entry-1", 2).await;
    assert!(!cluster.until_ended(&leader).await);
    let log = std::fs::read_to_string(cluster.folder.path().join(format!("{leader}.log")));
    assert!(
        log.unwrap()
            .contains("replica stops: sync failed: input/output error")
    );
    let other = cluster.leader().await;
    assert_ne!(other, leader);
    until_accepted(&cluster, "entry-1", 3).await;

    // Later syncs would succeed although data of the failed one may be lost.
    cluster.clear_disk_fault(&leader, DiskFault::Sync);
    for _ in 0..2 {
        let output = cluster.start_and_end(&leader).await;
        assert!(output.contains("a sync failed here"), "{output}");
    }
    cluster.replace_disk(control_number(&leader)).await;
    cluster.until_repaired().await;
    let again = reserve(entry, "huber", "lot-1", "burl").await.unwrap();
    assert_eq!((again.status, again.body), (200, first.body));
    assert_eq!(cluster.ran("lot-1").await, 1);
    until_accepted(&cluster, "entry-1", 4).await;
}

/// Operators concurrently send notes with the same numbers while disks of leaders and
/// followers fill up and fail. A note reported as accepted must not be missing later, and
/// one reported as not sent must not exist.
#[tokio::test(flavor = "multi_thread")]
async fn disks_fail_while_operators_race() {
    let mut cluster = Cluster::start(ClusterPlan {
        entries: 0,
        services: 0,
        ..plan()
    })
    .await;
    let operators = Operators::start(&cluster, 4, 0);
    let rounds = [
        (DiskFault::Full, true),
        (DiskFault::Sync, true),
        (DiskFault::Full, false),
        (DiskFault::Sync, false),
        (DiskFault::Full, true),
        (DiskFault::Sync, true),
    ];
    for (fault, at_leader) in rounds {
        cluster.until_repaired().await;
        let leader = cluster.leader().await;
        let mut others = (1..=3).map(|n| format!("control-{n}"));
        let follower = others.find(|name| *name != leader).unwrap();
        let name = if at_leader { leader } else { follower };
        cluster.fail_disk(&name, fault);
        match fault {
            DiskFault::Full => {
                cluster.until_metric(&name, FULL, 1.0).await;
                operators.until_operations(20).await;
                cluster.clear_disk_fault(&name, fault);
                cluster.until_metric(&name, FULL, 0.0).await;
            }
            DiskFault::Sync => {
                assert!(!cluster.until_ended(&name).await);
                cluster.clear_disk_fault(&name, fault);
                let output = cluster.start_and_end(&name).await;
                assert!(output.contains("a sync failed here"), "{output}");
                cluster.replace_disk(control_number(&name)).await;
                operators.shared.add_host(&cluster, &name);
            }
        }
    }
    cluster.until_repaired().await;
    let accepted = operators.end(&cluster).await;
    assert!(
        accepted > rounds.len(),
        "only {accepted} notes were accepted"
    );
}
