//! A watcher with a stub of a control replica.

use member::{EntryReport, TableDigest};
use node::{Watcher, WatcherSettings};
use std::net::Ipv4Addr;
use std::time::Duration;
use table::{Draft, Table};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use wire::proto::frame::Body;
use wire::proto::{Reported, RouteTable};
use wire::{ClusterKey, Identity, LinkSettings, Role};

const MAX_WAIT: Duration = Duration::from_secs(30);

fn key() -> ClusterKey {
    ClusterKey::from_bytes(b"a key of the cluster").unwrap()
}

/// Accepts one link, sends these tables in turn, each after a report, and returns the
/// tables that are reported.
async fn serve(
    listener: TcpListener,
    tables: Vec<RouteTable>,
    reported: mpsc::UnboundedSender<(u64, u64)>,
) {
    let me = Identity::new(Role::Control, "control-1", 1);
    let (stream, _) = listener.accept().await.unwrap();
    let accepted = wire::accept(stream, &me, &key(), &LinkSettings::default()).await;
    let (link, mut rx) = accepted.unwrap();
    let mut tables = tables.into_iter();
    while let Some(incoming) = rx.recv().await {
        let Body::Report(report) = incoming.body else {
            continue;
        };
        let entrance = report.entrance.unwrap();
        let _ = reported.send((entrance.table, entrance.table_digest));
        if let Some(table) = tables.next() {
            link.send(Body::RouteTable(table)).await.unwrap();
        }
        let reply = Body::Reported(Reported::default());
        link.reply(incoming.call, reply).await.unwrap();
    }
}

/// A replica sends a table of the number that the entry holds, with other content. Guards
/// against an entry that keeps the one that was not committed.
#[tokio::test]
async fn table_same_number() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let tables = [(7, "lost"), (7, "held"), (6, "old")];
    let tables = tables.map(|(number, source)| RouteTable {
        number,
        source: source.into(),
        ..RouteTable::default()
    });
    let (tx, mut reported) = mpsc::unbounded_channel();
    tokio::spawn(serve(listener, tables.to_vec(), tx));
    let here = EntryReport {
        name: "entry-1".to_owned(),
        incarnation: 1,
        sequence: 0,
        zone: "zone-0".to_owned(),
        region: "region".to_owned(),
        address,
        open: true,
        table: 0,
        table_digest: None,
        evacuations: 0,
    };
    let (_seeds, seeds) = watch::channel(vec![address]);
    let cfg = WatcherSettings {
        seeds,
        report_interval: Duration::from_millis(50),
        check_in_interval: Duration::from_secs(1),
        key: key(),
        link: LinkSettings::default(),
        decode: |source| {
            Table::new(Draft {
                number: if source == b"old" { 6 } else { 7 },
                ..Draft::default()
            })
        },
    };
    let watcher = Watcher::spawn(Identity::new(Role::Entry, "entry-1", 1), here, cfg);
    let mut seen = Vec::new();
    while seen.len() < 8 {
        let report = timeout(MAX_WAIT, reported.recv()).await.unwrap();
        seen.push(report.unwrap());
    }
    seen.dedup();
    let digest = |source: &[u8]| TableDigest::of(source).0;
    assert_eq!(seen, [(0, 0), (7, digest(b"lost")), (7, digest(b"held"))]);
    let held = watcher.state().table_digest();
    assert_eq!(held, Some(TableDigest::of(b"held")));
}
