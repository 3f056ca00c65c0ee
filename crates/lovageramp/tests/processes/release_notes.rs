//! An accepted release note is in force everywhere within seconds and never reverts.

use crate::support::{Cluster, ClusterPlan, Relay, account_item, chat, request, until};
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A small deployment: these tests concern controls, entries and agents, not targets.
fn small_plan() -> ClusterPlan {
    ClusterPlan {
        controls: 3,
        entries: 2,
        engines: 1,
        services: 1,
        ..ClusterPlan::default()
    }
}

fn add_account(number: u64, name: &str) -> Value {
    json!({"number": number, "added": [account_item(name)]})
}

/// An operation of an operator and its result.
#[derive(Clone, Debug)]
enum Op {
    /// Submits a note: number, content and outcome.
    Submit(u64, u64, SubmitOutcome),
    /// Reads the newest accepted number.
    Newest(Option<u64>),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum SubmitOutcome {
    Accepted,
    Repeated,
    Conflict,
    Gap,
    /// The answer was lost.
    Unknown,
}

/// The sequential specification: a list of notes, by number.
struct Notes;

impl Specification for Notes {
    type State = Vec<u64>;
    type Operation = Op;

    fn init() -> Vec<u64> {
        vec![0]
    }

    fn apply(op: &Op, notes: &Vec<u64>) -> (bool, Vec<u64>) {
        let newest = notes.len() as u64;
        match op {
            Op::Newest(seen) => (*seen == Some(newest), notes.clone()),
            Op::Submit(number, content, outcome) => {
                let existing = notes.get(usize::try_from(*number - 1).unwrap());
                let expected = match existing {
                    Some(existing) if existing == content => SubmitOutcome::Repeated,
                    Some(_) => SubmitOutcome::Conflict,
                    None if *number == newest + 1 => SubmitOutcome::Accepted,
                    None => SubmitOutcome::Gap,
                };
                let mut after = notes.clone();
                if expected == SubmitOutcome::Accepted {
                    after.push(*content);
                }
                // The host that received the note resends it to the leader when the
                // leader's answer is lost. The operator then gets "repeated" although
                // the note was accepted by this very call. Either way the note stands.
                let resent =
                    *outcome == SubmitOutcome::Repeated && expected == SubmitOutcome::Accepted;
                let valid = *outcome == SubmitOutcome::Unknown || *outcome == expected || resent;
                (valid, after)
            }
        }
    }
}

/// Several operators send notes with the same numbers through different hosts while the
/// leader is killed and restarted. The outcomes reported to them must be linearizable.
#[tokio::test(flavor = "multi_thread")]
async fn notes_racing_operators_linearizable() {
    let mut cluster = Cluster::start(small_plan()).await;
    cluster.submit_first_note().await;
    let hosts = ["entry-1", "entry-2"].map(|name| cluster.http(name));
    let history = Arc::new(Mutex::new(Vec::new()));
    let operators: Vec<_> = (0..4_usize)
        .map(|operator| {
            let history = Arc::clone(&history);
            let host = hosts[operator % hosts.len()];
            tokio::spawn(run_operator(operator, host, history))
        })
        .collect();
    let leader = cluster.leader().await;
    cluster.kill(&leader).await;
    let number = leader.rsplit('-').next().unwrap().parse().unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.start_control(number).await;
    for operator in operators {
        operator.await.unwrap();
    }
    let actions = history.lock().unwrap().clone();
    let answered = actions.len();
    assert!(
        WGLChecker::<Notes>::is_linearizable(History::from_actions(actions.clone())),
        "{actions:#?}"
    );
    assert!(answered >= 4 * 2 * 6);
}

type Actions = Arc<Mutex<Vec<(usize, Action<Op>)>>>;

/// Runs one operator, which reads the newest number and sends a note with the next one,
/// and sends it a second time in each third round.
async fn run_operator(process: usize, host: std::net::SocketAddr, history: Actions) {
    let mut unanswered = Vec::new();
    for round in 0..6_u64 {
        let newest = newest(process, host, &history).await;
        let content = process as u64 * 100 + round;
        for _ in 0..=(round % 3 / 2) {
            let number = newest + 1;
            let call = Action::Call(Op::Submit(number, content, SubmitOutcome::Unknown));
            history.lock().unwrap().push((process, call));
            let outcome = submit(host, number, content).await;
            let response = Action::Response(Op::Submit(number, content, outcome));
            if outcome == SubmitOutcome::Unknown {
                // It may take effect at any later time, so its response is recorded at the end.
                unanswered.push(response);
                break;
            }
            history.lock().unwrap().push((process, response));
        }
        if !unanswered.is_empty() {
            break;
        }
    }
    for response in unanswered {
        history.lock().unwrap().push((process, response));
    }
}

async fn newest(process: usize, host: std::net::SocketAddr, history: &Actions) -> u64 {
    history
        .lock()
        .unwrap()
        .push((process, Action::Call(Op::Newest(None))));
    let newest = until("the newest number", || async {
        let bearer = format!("Bearer {}", crate::support::TOKEN);
        let headers = [("authorization", bearer.as_str())];
        let answer = crate::support::get(host, "/v1/operator/notes/status", &headers)
            .await
            .ok()?;
        if answer.status != 200 {
            return None;
        }
        answer.json()["accepted"].as_u64()
    })
    .await;
    history
        .lock()
        .unwrap()
        .push((process, Action::Response(Op::Newest(Some(newest)))));
    newest
}

async fn submit(host: std::net::SocketAddr, number: u64, content: u64) -> SubmitOutcome {
    let bearer = format!("Bearer {}", crate::support::TOKEN);
    let headers = [("authorization", bearer.as_str())];
    let note = add_account(number, &format!("account-{number}-{content}")).to_string();
    let Ok(answer) = request(host, "POST", "/v1/operator/notes", &headers, note).await else {
        return SubmitOutcome::Unknown;
    };
    if answer.status == 503 {
        return SubmitOutcome::Unknown;
    }
    match answer.json()["outcome"].as_str().unwrap() {
        "accepted" => SubmitOutcome::Accepted,
        "repeated" => SubmitOutcome::Repeated,
        "conflict" => SubmitOutcome::Conflict,
        "gap" => SubmitOutcome::Gap,
        other => panic!("{other}"),
    }
}

/// An entry, an agent and a control are down while 300 notes are accepted. Once restarted
/// they must use the last one, not an intermediate one.
#[tokio::test(flavor = "multi_thread")]
async fn notes_down_for_hundreds() {
    let mut cluster = Cluster::start(small_plan()).await;
    cluster.submit_first_note().await;
    let leader = cluster.leader().await;
    let follower = (1..=3).find(|n| format!("control-{n}") != leader).unwrap();
    let control = format!("control-{follower}");
    for name in ["entry-2", "advisor-01", control.as_str()] {
        cluster.kill(name).await;
    }
    for number in 2..=301 {
        let note = add_account(number, &format!("account-{number}"));
        until("accepted", || async {
            let answer = cluster
                .operator("entry-1", "POST", "/v1/operator/notes", &note)
                .await;
            (answer.status < 300).then_some(())
        })
        .await;
    }
    cluster.start_control(follower).await;
    cluster.start_agent("advisor-01").await;
    cluster.start_entry(2).await;
    cluster.until_in_force("entry-2", 301).await;
    let entry = cluster.http("entry-2");
    until("the last note's account is served", || async {
        let answer = chat(entry, "account-301", "hello", false).await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    until("the control that was down has caught up", || async {
        let status = cluster.status(&control).await?;
        (status["notes"]["accepted"].as_u64()? == 301).then_some(())
    })
    .await;
}

/// The leader is partitioned from the other controls, together with one entry and its
/// callers, and still believes that it leads. The majority accepts a note that withdraws an
/// account. Within seconds the partitioned entry must accept no new requests, and after the
/// partition heals it must never again use the old note.
#[tokio::test(flavor = "multi_thread")]
async fn notes_leader_cut_off_with_an_entry() {
    let cluster = Cluster::start(small_plan()).await;
    cluster.submit_first_note().await;
    let leader = cluster.leader().await;
    let majority: Vec<String> = (1..=3)
        .map(|n| format!("control-{n}"))
        .filter(|name| *name != leader)
        .collect();
    for other in &majority {
        for pair in [
            format!("{leader}>{other}"),
            format!("{other}>{leader}"),
            format!("entry-1>{other}"),
        ] {
            cluster.relays[&pair].cut();
        }
    }
    for node in ["entry-2", "advisor-01", "desk-01"] {
        cluster.relays[&format!("{node}>{leader}")].cut();
    }
    let withdraw = json!({"number": 2, "withdrawn": [{"kind": "account", "name": "maier"}]});
    until("the majority accepts", || async {
        let answer = cluster
            .operator("entry-2", "POST", "/v1/operator/notes", &withdraw)
            .await;
        (answer.status < 300).then_some(())
    })
    .await;
    cluster.until_in_force("entry-2", 2).await;
    // The note is reported in force everywhere: from here on no entry may use note 1.
    for _ in 0..20 {
        let cut_off = chat(cluster.http("entry-1"), "maier", "hello", false)
            .await
            .unwrap();
        assert_ne!(cut_off.status, 200, "{}", cut_off.text());
        let connected = chat(cluster.http("entry-2"), "maier", "hello", false)
            .await
            .unwrap();
        assert_eq!(connected.status, 401, "{}", connected.text());
    }
    for relay in cluster.relays.values() {
        relay.heal();
    }
    until("the entry uses note 2", || async {
        let answer = chat(cluster.http("entry-1"), "huber", "hello", false)
            .await
            .ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    let healed = chat(cluster.http("entry-1"), "maier", "hello", false)
        .await
        .unwrap();
    assert_eq!(healed.status, 401);
}

/// Sends a note to a host over a connection that is cut once the note is accepted, so
/// that no byte of the answer arrives.
async fn send_and_lose_answer(cluster: &Cluster, host: &str, note: &Value) {
    let relay = Relay::start().await.unwrap();
    relay.set_target(cluster.http(host));
    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    until("the relay has connected", || async {
        (relay.connections() == 1).then_some(())
    })
    .await;
    relay.discard_from_target();
    let (token, body) = (crate::support::TOKEN, note.to_string());
    let head = format!(
        "POST /v1/operator/notes HTTP/1.1\r\nhost: control\r\nx-operator: anna\r\n\
         authorization: Bearer {token}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    until("the note is accepted", || async {
        let status = cluster.status("entry-2").await?;
        (status["notes"]["accepted"] == note["number"]).then_some(())
    })
    .await;
    relay.cut();
    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer).await;
    assert!(answer.is_empty(), "{ended:?}: {answer:?}");
}

/// An operator's connection is cut after the note was sent and before the answer arrived,
/// at a control and at an entry. Resent to any host, the note must get the outcome
/// "repeated"; a different note with that number is refused, naming the first operator.
#[tokio::test(flavor = "multi_thread")]
async fn notes_resent_after_lost_answer() {
    let cluster = Cluster::start(small_plan()).await;
    cluster.submit_first_note().await;
    let leader = cluster.leader().await;
    for (number, first) in [(2, leader.as_str()), (3, "entry-1")] {
        let note = add_account(number, &format!("account-{number}"));
        send_and_lose_answer(&cluster, first, &note).await;
        for host in ["entry-2", "control-1", "control-2", "control-3", first] {
            let again = cluster
                .operator(host, "POST", "/v1/operator/notes", &note)
                .await;
            assert_eq!(again.status, 200, "{}", again.text());
            assert_eq!(again.json()["outcome"], "repeated");
            assert_eq!(again.json()["operator"], "anna");
        }
        let other = add_account(number, "somebody-else");
        let refused = cluster
            .operator("entry-2", "POST", "/v1/operator/notes", &other)
            .await;
        assert_eq!(refused.status, 409, "{}", refused.text());
        assert_eq!(refused.json()["operator"], "anna");
    }
    let status = cluster.status("entry-2").await.unwrap();
    assert_eq!(status["notes"]["accepted"], 3);
}

/// An entry's link to the leader loses the answers to a note that the entry forwards, and
/// is then detected as dead. The entry asks again over another link; its operator gets one
/// correct answer and the note takes one number.
#[tokio::test(flavor = "multi_thread")]
async fn notes_answer_lost_behind_entry() {
    let cluster = Cluster::start(small_plan()).await;
    cluster.submit_first_note().await;
    for number in 2..=4 {
        let leader = cluster.leader().await;
        cluster.relays[&format!("entry-1>{leader}")].discard_from_target();
        let note = add_account(number, &format!("account-{number}"));
        let answer = cluster
            .operator("entry-1", "POST", "/v1/operator/notes", &note)
            .await;
        assert!([200, 503].contains(&answer.status), "{}", answer.text());
        if answer.status == 503 {
            assert_eq!(answer.json()["ran"], "unknown", "{}", answer.text());
        }
        let again = cluster
            .operator("entry-2", "POST", "/v1/operator/notes", &note)
            .await;
        assert_eq!(again.json()["outcome"], "repeated", "{}", again.text());
    }
    let status = cluster.status("entry-2").await.unwrap();
    assert_eq!(status["notes"]["accepted"], 4);
}
