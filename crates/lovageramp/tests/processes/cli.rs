//! The operators' command-line client and the daemons' options, run against real
//! processes.

use std::process::{Command, Output};

use crate::support::{Cluster, ClusterPlan, bearer, get, until};
use serde_json::{Value, json};

async fn start_cluster() -> Cluster {
    let cluster = Cluster::start(ClusterPlan {
        entries: 2,
        engines: 1,
        services: 1,
        ..ClusterPlan::default()
    })
    .await;
    cluster.submit_first_note().await;
    until("the first note is in force everywhere", || async {
        let status = cluster.client("entry-1", &["note", "status"]).await;
        (text(&status) == "note 1 is in force everywhere\n").then_some(())
    })
    .await;
    cluster
}

fn text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    format!("{out}{err}")
}

fn note_file(cluster: &Cluster, name: &str, note: &Value) -> String {
    let path = cluster.folder.path().join(name);
    std::fs::write(&path, note.to_string()).unwrap();
    path.to_str().unwrap().to_owned()
}

fn model(number: u64, name: &str) -> Value {
    json!({"number": number, "added": [{"kind": "model", "name": name}]})
}

#[tokio::test]
async fn client_any_host() {
    // An operator may name any host. Each entry and each control, followers included,
    // must answer, and all answers must agree.
    let cluster = start_cluster().await;
    for host in ["control-1", "control-2", "control-3", "entry-1", "entry-2"] {
        let status = cluster.client(host, &["note", "status"]).await;
        assert_eq!(text(&status), "note 1 is in force everywhere\n", "{host}");
        let shown = cluster.client(host, &["note", "show", "1", "--json"]).await;
        let shown: Value = serde_json::from_slice(&shown.stdout).unwrap();
        assert_eq!(shown["number"], 1, "{host}");
        let drained = cluster.client(host, &["target", "drain", "desk-01"]).await;
        assert!(drained.status.success(), "{host}: {}", text(&drained));
        let status = cluster.client(host, &["status", "--json"]).await;
        let status: Value = serde_json::from_slice(&status.stdout).unwrap();
        assert_eq!(status["repair"], "complete", "{host}: {status}");
    }
}

#[tokio::test]
async fn send_same_number_at_once() {
    // Two operators concurrently send different notes with the same number through
    // different hosts. One must be accepted, and the other must be told who sent it.
    let cluster = start_cluster().await;
    for number in 2..=6 {
        let one = note_file(
            &cluster,
            "one.json",
            &model(number, &format!("one-{number}")),
        );
        let two = note_file(
            &cluster,
            "two.json",
            &model(number, &format!("two-{number}")),
        );
        let one = ["note", "send", &one, "--operator", "anna"];
        let two = ["note", "send", &two, "--operator", "boris"];
        let (one, two) = tokio::join!(
            cluster.client("entry-1", &one),
            cluster.client("control-2", &two)
        );
        let codes = (one.status.code().unwrap(), two.status.code().unwrap());
        assert!(
            codes == (0, 1) || codes == (1, 0),
            "{}{}",
            text(&one),
            text(&two)
        );
        let (lost, winner) = if codes.0 == 0 {
            (&two, "anna")
        } else {
            (&one, "boris")
        };
        let expected = format!("another note holds number {number}, sent by \"{winner}\"");
        assert!(text(lost).contains(&expected), "{}", text(lost));
    }
}

#[tokio::test]
async fn send_again_after_lost_majority() {
    // Two of three controls are killed and an operator resends a note. The client must
    // report that no host can accept it now, and return the first answer once the
    // controls are back.
    let mut cluster = start_cluster().await;
    let note = note_file(&cluster, "2.json", &model(2, "late"));
    let args = ["note", "send", &note, "--wait", "60"];
    let first = cluster.client("entry-1", &args).await;
    assert!(first.status.success(), "{}", text(&first));
    for control in ["control-1", "control-2"] {
        cluster.processes.get_mut(control).unwrap().kill().await;
    }
    let refused = cluster.client("entry-1", &args).await;
    assert_eq!(refused.status.code(), Some(3), "{}", text(&refused));
    for number in 1..=2 {
        cluster.start_control(number).await;
    }
    until("the first answer comes again", || async {
        let again = cluster.client("entry-1", &args).await;
        text(&again).contains("was accepted before").then_some(())
    })
    .await;
}

#[tokio::test]
async fn drain_and_undo() {
    // A drained target must stop receiving requests within seconds, and receive them
    // again when the operator undoes the drain.
    let cluster = start_cluster().await;
    let entry = cluster.http("entry-2");
    let bearer = bearer("huber");
    let reads = |status: u16| {
        let headers = [("authorization", bearer.clone())];
        async move {
            let headers = headers
                .each_ref()
                .map(|(name, value)| (*name, value.as_str()));
            let answer = get(entry, "/s/order-desk/stock", &headers).await.ok()?;
            (answer.status == status).then_some(())
        }
    };
    let drained = cluster
        .client("entry-1", &["target", "drain", "desk-01"])
        .await;
    assert_eq!(
        text(&drained),
        "desk-01 gets no new work; what runs there finishes\n"
    );
    until("the drained target gets nothing", || reads(503)).await;
    let undo = ["target", "drain", "desk-01", "--undo"];
    let undone = cluster.client("control-3", &undo).await;
    assert_eq!(text(&undone), "desk-01 gets work again\n");
    until("the target serves again", || reads(200)).await;
    let unknown = cluster
        .client("entry-1", &["target", "drain", "desk-09"])
        .await;
    assert_eq!(unknown.status.code(), Some(1), "{}", text(&unknown));
}

/// Guards against an order that only the platform's entries obey: the target of an
/// evacuated zone gets nothing at the product's own entries either.
#[tokio::test]
async fn evacuate_and_finish() {
    let cluster = start_cluster().await;
    let entry = cluster.http("entry-2");
    let bearer = bearer("huber");
    let reads = |status: u16| {
        let bearer = bearer.clone();
        async move {
            let headers = [("authorization", bearer.as_str())];
            let answer = get(entry, "/s/order-desk/stock", &headers).await.ok()?;
            (answer.status == status).then_some(())
        }
    };
    let zone = crate::support::zones::zone_of("desk-01");
    let started = cluster
        .client("entry-1", &["evacuation", "start", zone])
        .await;
    assert_eq!(text(&started), format!("evacuated: {zone}\n"));
    until("targets of the evacuated zone get nothing", || reads(503)).await;
    let list = cluster.client("control-1", &["evacuation", "list"]).await;
    assert_eq!(text(&list), format!("evacuated: {zone}\n"));
    let finished = cluster
        .client("control-3", &["evacuation", "finish", zone])
        .await;
    assert_eq!(text(&finished), "no zone is evacuated\n");
    until("the target serves again", || reads(200)).await;
}

#[tokio::test]
async fn quarantine_empty() {
    let cluster = start_cluster().await;
    let list = cluster.client("entry-1", &["quarantine", "list"]).await;
    assert_eq!(text(&list), "no request is in quarantine\n");
    let pardon = cluster
        .client("control-1", &["quarantine", "pardon", "9f0c"])
        .await;
    assert_eq!(pardon.status.code(), Some(1), "{}", text(&pardon));
    let unknown = "9f".repeat(32);
    let pardon = cluster
        .client("entry-2", &["quarantine", "pardon", &unknown])
        .await;
    assert_eq!(pardon.status.code(), Some(1), "{}", text(&pardon));
    assert!(text(&pardon).contains("isn't in quarantine"));
}

const DAEMONS: [(&str, &str, &str); 3] = [
    (
        env!("CARGO_BIN_EXE_lovageramp-control"),
        "control.json",
        "listen",
    ),
    (env!("CARGO_BIN_EXE_lovageramp-entry"), "entry.json", "http"),
    (
        env!("CARGO_BIN_EXE_lovageramp-agent"),
        "agent-desk.json",
        "listen",
    ),
];

fn example(name: &str) -> String {
    format!(
        "{}/../../examples/association/{name}",
        env!("CARGO_MANIFEST_DIR")
    )
}

fn daemon(program: &str, file: &str, option: &str) -> Output {
    let mut daemon = Command::new(program);
    daemon.args(["--settings", file, option]).output().unwrap()
}

#[test]
fn check_all_findings() {
    // A settings file has three errors. All must be reported at once, so that the operator
    // does not find them one start at a time.
    let folder = tempfile::tempdir().unwrap();
    for (program, name, address) in DAEMONS {
        let json = std::fs::read_to_string(example(name)).unwrap();
        let mut settings: Value = serde_json::from_str(&json).unwrap();
        settings[address] = "celje".into();
        settings["timing"] = json!({"bogus_ms": 1});
        let members = settings.as_object_mut().unwrap();
        members.remove("zone");
        let path = folder.path().join(name);
        std::fs::write(&path, settings.to_string()).unwrap();
        let checked = daemon(program, path.to_str().unwrap(), "--check");
        assert_eq!(checked.status.code(), Some(1), "{}", text(&checked));
        for finding in [
            "missing at zone".to_owned(),
            format!("expected an address \"ip:port\" at {address}"),
            "unknown key".to_owned(),
            "at timing.bogus_ms".to_owned(),
        ] {
            assert!(text(&checked).contains(&finding), "{}", text(&checked));
        }
    }
}

#[test]
fn print_settings_reads_again() {
    let folder = tempfile::tempdir().unwrap();
    for (program, name, _) in DAEMONS {
        let checked = daemon(program, &example(name), "--check");
        assert!(checked.status.success(), "{}", text(&checked));
        let printed = daemon(program, &example(name), "--print-settings");
        let path = folder.path().join(name);
        std::fs::write(&path, &printed.stdout).unwrap();
        let again = daemon(program, path.to_str().unwrap(), "--print-settings");
        assert!(again.status.success(), "{}", text(&again));
        assert_eq!(again.stdout, printed.stdout);
    }
}
