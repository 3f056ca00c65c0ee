//! Five controls in three availability zones: a whole zone is lost, or is partitioned from
//! the others.

use crate::support::callers::Callers;
use crate::support::notes::Operators;
use crate::support::zones::zone_of;
use crate::support::{Cluster, ClusterPlan, account_item, bearer, get, reserve, until};
use serde_json::json;

fn plan() -> ClusterPlan {
    ClusterPlan {
        controls: 5,
        entries: 3,
        engines: 0,
        services: 3,
        ..ClusterPlan::default()
    }
}

/// The entry of a zone.
fn entry_in(zone: &str) -> String {
    let mut entries = (1..=3).map(|n| format!("entry-{n}"));
    entries.find(|entry| zone_of(entry) == zone).unwrap()
}

fn entry_outside(zone: &str) -> String {
    let mut entries = (1..=3).map(|n| format!("entry-{n}"));
    entries.find(|entry| zone_of(entry) != zone).unwrap()
}

fn control_number(name: &str) -> usize {
    name.rsplit('-').next().unwrap().parse().unwrap()
}

async fn stock_status(cluster: &Cluster, entry: &str, account: &str) -> u16 {
    let bearer = bearer(account);
    let headers = [("authorization", bearer.as_str())];
    let answer = get(cluster.http(entry), "/s/order-desk/stock", &headers).await;
    answer.unwrap().status
}

async fn until_serves(cluster: &Cluster, entry: &str, account: &str) {
    until(&format!("{entry} serves {account}"), || async {
        (stock_status(cluster, entry, account).await == 200).then_some(())
    })
    .await;
}

/// Waits until the leader's status shows the control as a fully repaired voter on a disk
/// other than the lost ones.
async fn until_voter(cluster: &Cluster, host: &str, control: &str) {
    until(&format!("{control} is a voter again"), || async {
        let status = cluster.status(host).await?;
        let mut rows = status["replicas"].as_array()?.iter();
        let row = rows.find(|row| row["name"] == control)?;
        let lost = cluster.lost_disks.iter().any(|disk| row["disk"] == **disk);
        (row["repair"] == "complete" && !lost).then_some(())
    })
    .await;
}

/// The availability zone of the leader is lost, with its controls, an entry and an agent.
/// The other zones continue, a new note comes into force within the lease, and completed
/// reservations keep their answers. One of the zone's controls comes back with a blank
/// disk while the rest of the zone is still down.
#[tokio::test(flavor = "multi_thread")]
async fn zone_lost() {
    let mut cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    let operators = Operators::start(&cluster, 3, 1);
    let callers = Callers::start(&cluster);
    let zone = zone_of(&cluster.leader().await);
    let lost = cluster.in_zone(zone);
    let survivor = entry_outside(zone);
    let first = reserve(cluster.http(&survivor), "maier", "lot-1", "burl").await;
    let first = first.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    cluster.kill_zone(zone).await;

    let note = json!({"added": [account_item("late")]});
    let number = operators.send_next(&cluster, &survivor, note).await;
    cluster.until_in_force(&survivor, number).await;
    until_serves(&cluster, &survivor, "late").await;
    let again = reserve(cluster.http(&survivor), "maier", "lot-1", "burl").await;
    let again = again.unwrap();
    assert_eq!((again.status, again.body), (200, first.body));

    let blank = lost.iter().find(|name| name.starts_with("control"));
    let blank = blank.unwrap();
    cluster.replace_disk(control_number(blank)).await;
    operators.shared.add_host(&cluster, blank);
    until_voter(&cluster, &survivor, blank).await;
    for name in lost.iter().filter(|name| *name != blank) {
        cluster.start_again(name).await;
        if name.starts_with("control") {
            operators.shared.add_host(&cluster, name);
        }
    }
    cluster.until_repaired().await;
    until_serves(&cluster, &entry_in(zone), "late").await;
    assert_eq!(cluster.ran("lot-1").await, 1);
    assert!(callers.end(&cluster).await > 0);
    assert!(operators.end(&cluster).await > 1);
}

/// A zone is partitioned from the others with its controls, entry, targets, operators and
/// callers: first the leader's zone, then another while a control outside it loses its
/// disk. The other zones continue; the isolated zone accepts no new work once the next
/// note is in force everywhere, and after the partition heals it resumes without
/// intervention under the newest note.
#[tokio::test(flavor = "multi_thread")]
async fn region_cut_off() {
    let mut cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    let operators = Operators::start(&cluster, 3, 1);
    let callers = Callers::start(&cluster);
    let leader_zone = zone_of(&cluster.leader().await);
    cut_off_and_heal(&mut cluster, &operators, leader_zone, None).await;
    // Zone oberpfalz has one control: with the disk of another lost, three of five remain.
    cut_off_and_heal(&mut cluster, &operators, "oberpfalz", Some(4)).await;
    assert!(callers.end(&cluster).await > 0);
    assert!(operators.end(&cluster).await > 1);
}

async fn cut_off_and_heal(
    cluster: &mut Cluster,
    operators: &Operators,
    zone: &str,
    lost: Option<usize>,
) {
    let (inside, outside) = (entry_in(zone), entry_outside(zone));
    let account = format!("former-{zone}");
    let note = json!({"added": [account_item(&account)]});
    let number = operators.send_next(cluster, &outside, note).await;
    cluster.until_in_force(&outside, number).await;
    until_serves(cluster, &inside, &account).await;

    cluster.cut_off_zone(zone);
    if let Some(number) = lost {
        cluster.lose_disk(number).await;
        cluster.start_control(number).await;
        let name = format!("control-{number}");
        operators.shared.add_host(cluster, &name);
        until_voter(cluster, &outside, &name).await;
    }
    let withdraw = json!({"withdrawn": [{"kind": "account", "name": account}]});
    let number = operators.send_next(cluster, &outside, withdraw).await;
    cluster.until_in_force(&outside, number).await;
    until_serves(cluster, &outside, "huber").await;
    for round in 0..10 {
        // The isolated zone can't know which accounts are withdrawn, so it serves none.
        assert_ne!(stock_status(cluster, &inside, &account).await, 200);
        assert_ne!(stock_status(cluster, &inside, "huber").await, 200);
        let key = format!("cut-off-{zone}-{round}");
        let call = reserve(cluster.http(&inside), "huber", &key, "burl").await;
        assert_eq!(call.unwrap().status, 503);
        assert_eq!(cluster.ran(&key).await, 0);
        assert_eq!(stock_status(cluster, &outside, &account).await, 401);
    }

    cluster.heal_all();
    until_serves(cluster, &inside, "huber").await;
    assert_eq!(stock_status(cluster, &inside, &account).await, 401);
    cluster.until_repaired().await;
}
