//! The documented alarms about controls, disks, notes and leases: each is triggered and
//! read from the metric, status or log that the operators' documentation names.

use crate::support::disks::DiskFault;
use crate::support::{Cluster, ClusterPlan, Process, account_item, bearer, get, reserve, until};
use serde_json::json;
use wire::{ClusterKey, Identity, LinkSettings, Role};

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

async fn send(cluster: &Cluster, number: u64) {
    let note = json!({"number": number, "added": [account_item(&format!("account-{number}"))]});
    until("the note is accepted", || async {
        let path = "/v1/operator/notes";
        let answer = cluster.operator("entry-1", "POST", path, &note).await;
        (answer.status == 200).then_some(())
    })
    .await;
}

fn log_of(cluster: &Cluster, name: &str) -> String {
    let path = cluster.folder.path().join(format!("{name}.log"));
    std::fs::read_to_string(path).unwrap()
}

/// Two of three controls are killed. The remaining one reports that it has no leader, does
/// not lead and isn't ready, and the entry refuses callers once its lease has expired.
#[tokio::test(flavor = "multi_thread")]
async fn alarms_majority_gone() {
    let mut cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    for name in ["control-1", "control-2", "control-3"] {
        cluster
            .until_metric(name, "lovageramp_control_has_leader", 1.0)
            .await;
    }
    let mut leads = 0.0;
    for name in ["control-1", "control-2", "control-3"] {
        leads += cluster
            .metric(name, "lovageramp_control_leads")
            .await
            .unwrap();
    }
    assert!((leads - 1.0).abs() < f64::EPSILON, "{leads} lead");
    cluster.kill("control-1").await;
    cluster.kill("control-2").await;
    cluster
        .until_metric("control-3", "lovageramp_control_has_leader", 0.0)
        .await;
    cluster
        .until_metric("control-3", "lovageramp_control_leads", 0.0)
        .await;
    let ready = get(cluster.http("control-3"), "/readyz", &[])
        .await
        .unwrap();
    assert_eq!(ready.status, 503);
    assert!(ready.text().contains("no leader"), "{}", ready.text());
    let bearer = bearer("huber");
    let headers = [("authorization", bearer.as_str())];
    until(
        "the entry counts a refusal because it has no lease",
        || async {
            let entry = cluster.http("entry-1");
            get(entry, "/s/order-desk/stock", &headers).await.ok()?;
            let metrics = get(entry, "/metrics", &[]).await.ok()?.text();
            let mut lines = metrics.lines();
            lines
                .any(|line| {
                    line.starts_with("lovageramp_entry_refused_total") && line.contains("no_lease")
                })
                .then_some(())
        },
    )
    .await;
}

/// The disk of a follower is full. It lags behind the others until disk space is freed:
/// its applied index and its note are lower than theirs, the repair isn't complete, and
/// the ledger grows at the others.
#[tokio::test(flavor = "multi_thread")]
async fn alarms_follower_stuck() {
    let cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    let leader = cluster.leader().await;
    let mut others = (1..=3).map(|n| format!("control-{n}"));
    let stuck = others.find(|name| *name != leader).unwrap();
    let records = "lovageramp_control_ledger_records";
    let bytes = "lovageramp_control_ledger_bytes";
    cluster
        .until_metric(&stuck, "lovageramp_control_note", 1.0)
        .await;
    cluster.fail_disk(&stuck, DiskFault::Full);
    send(&cluster, 2).await;
    let call = reserve(cluster.http("entry-1"), "huber", "lot-1", "burl").await;
    assert_eq!(call.unwrap().status, 200);
    cluster
        .until_metric(&stuck, "lovageramp_control_disk_full", 1.0)
        .await;
    cluster
        .until_metric(&leader, "lovageramp_control_note", 2.0)
        .await;
    cluster.until_metric(&leader, records, 1.0).await;
    assert!(cluster.metric(&leader, bytes).await.unwrap() > 0.0);
    let applied = "lovageramp_control_applied";
    let ahead = cluster.metric(&leader, applied).await.unwrap();
    assert!(cluster.metric(&stuck, applied).await.unwrap() < ahead);
    let note = cluster.metric(&stuck, "lovageramp_control_note").await;
    assert!((note.unwrap() - 1.0).abs() < f64::EPSILON);
    until("the status names it", || async {
        let status = cluster.status("entry-1").await?;
        // A replica that waits for disk space doesn't answer its leader either, so it
        // usually counts as silent before it counts as behind.
        let repair = ["behind", "silent"].map(|repair| format!("{stuck}: {repair}"));
        let named = status["repair"].as_str()?.to_owned();
        repair.contains(&named).then_some(())
    })
    .await;
    cluster.clear_disk_fault(&stuck, DiskFault::Full);
    cluster
        .until_metric(&stuck, "lovageramp_control_note", 2.0)
        .await;
    cluster.until_metric(&stuck, records, 1.0).await;
    cluster.until_repaired().await;
}

/// A peer dials a control with a wrong cluster key, and two entries are started under the
/// same name. The control counts the refused connection, and the leader's log reports the
/// duplicate name.
#[tokio::test(flavor = "multi_thread")]
async fn alarms_wrong_key_and_double_name() {
    let cluster = Cluster::start(ClusterPlan {
        faulty_disks: false,
        ..plan()
    })
    .await;
    cluster.submit_first_note().await;
    let leader = cluster.leader().await;
    let refused = "lovageramp_control_links_refused_total";
    let before = cluster.metric(&leader, refused).await.unwrap();
    let key = ClusterKey::from_bytes(b"the key of another cluster").unwrap();
    let identity = Identity::new(Role::Entry, "entry-1", 7);
    let address = cluster.processes[&leader].links.unwrap();
    let dialled = wire::dial(address, &identity, &key, &LinkSettings::default()).await;
    assert!(dialled.is_err());
    until("the control counts it", || async {
        let count = cluster.metric(&leader, refused).await?;
        (count >= before + 1.0).then_some(())
    })
    .await;

    let entry = env!("CARGO_BIN_EXE_lovageramp-entry");
    let settings = cluster.folder.path().join("entry-1.json");
    let log = cluster.folder.path().join("entry-1-twice.log");
    let args = ["--settings", settings.to_str().unwrap()];
    let second = Process::start(entry, &args, &log).await;
    let alarm = "lease refused for entry-1: a later incarnation of this name was seen";
    until("the leader's log names it", || async {
        log_of(&cluster, &leader).contains(alarm).then_some(())
    })
    .await;
    drop(second);
}
