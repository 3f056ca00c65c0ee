//! Spans of real processes, exported to a collector.

use crate::support::{Cluster, ClusterPlan, bearer, request, until};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use opentelemetry_proto::tonic::common::v1::any_value::Value;
use opentelemetry_proto::tonic::trace::v1::ResourceSpans;
use prost::Message;
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use tokio::net::{TcpListener, TcpStream};

const TRACE: [u8; 16] = [
    0x0a, 0xf7, 0x65, 0x19, 0x16, 0xcd, 0x43, 0xdd, 0x84, 0x48, 0xeb, 0x21, 0x1c, 0x80, 0x31, 0x9c,
];
const TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
/// The hops of a request, with the process that exports each.
const HOPS: [(&str, &str); 6] = [
    ("lovageramp-entry", "request"),
    ("lovageramp-entry", "admission"),
    ("lovageramp-entry", "choice"),
    ("lovageramp-entry", "attempt"),
    ("lovageramp-agent", "agent"),
    ("lovageramp-agent", "engine"),
];

/// Spans that reached the collector.
type ReceivedSpans = Arc<Mutex<Vec<ResourceSpans>>>;

/// One entry and one service, whose daemons export to `url`.
async fn start_exporting(url: String) -> Cluster {
    let mut cluster = Cluster::start(ClusterPlan {
        controls: 1,
        entries: 1,
        engines: 0,
        services: 1,
        ..ClusterPlan::default()
    })
    .await;
    cluster.options = vec!["--otlp", url.leak()];
    for name in ["entry-1", "desk-01"] {
        cluster.processes.get_mut(name).unwrap().kill().await;
    }
    cluster.start_agent("desk-01").await;
    cluster.start_entry(1).await;
    cluster.submit_first_note().await;
    cluster
}

async fn get_stock(cluster: &Cluster) -> u16 {
    let bearer = bearer("huber");
    let headers = [
        ("authorization", bearer.as_str()),
        ("traceparent", TRACEPARENT),
    ];
    let path = "/s/order-desk/stock";
    let answer = request(cluster.http("entry-1"), "GET", path, &headers, "").await;
    answer.unwrap().status
}

async fn collect(stream: TcpStream, received: ReceivedSpans) {
    let service = service_fn(move |req: Request<Incoming>| {
        let received = Arc::clone(&received);
        async move {
            let body = req.into_body().collect().await.unwrap().to_bytes();
            let batch = ExportTraceServiceRequest::decode(body).unwrap();
            received.lock().unwrap().extend(batch.resource_spans);
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::new())))
        }
    });
    let conn = hyper::server::conn::http1::Builder::new();
    let _ = conn.serve_connection(TokioIo::new(stream), service).await;
}

fn service_of(spans: &ResourceSpans) -> String {
    let mut attributes = spans.resource.iter().flat_map(|r| &r.attributes);
    let name = attributes.find(|a| a.key == "service.name");
    match name.and_then(|name| name.value.clone()?.value) {
        Some(Value::StringValue(name)) => name,
        other => panic!("no service name: {other:?}"),
    }
}

/// Process and name of all spans, and of those in the caller's trace.
fn names(received: &ReceivedSpans) -> [BTreeSet<(String, String)>; 2] {
    let mut names = [BTreeSet::new(), BTreeSet::new()];
    for resource in received.lock().unwrap().iter() {
        let service = service_of(resource);
        for span in resource.scope_spans.iter().flat_map(|scope| &scope.spans) {
            names[0].insert((service.clone(), span.name.clone()));
            if span.trace_id == TRACE {
                names[1].insert((service.clone(), span.name.clone()));
            }
        }
    }
    names
}

/// Each hop's span must reach the collector from its own process, in the caller's trace, so
/// that a slow request can be traced across hosts. Spans of the actor library must not be
/// exported, because they would far outnumber these.
#[tokio::test(flavor = "multi_thread")]
async fn export_each_hop() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = ReceivedSpans::default();
    tokio::spawn({
        let received = Arc::clone(&received);
        async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(collect(stream, Arc::clone(&received)));
            }
        }
    });
    let cluster = start_exporting(format!("http://{address}/v1/traces")).await;
    assert_eq!(get_stock(&cluster).await, 200);
    until("a span of each hop has arrived", || async {
        let [_, in_trace] = names(&received);
        let hop = |(service, name): &(&str, &str)| {
            in_trace.contains(&((*service).to_owned(), (*name).to_owned()))
        };
        HOPS.iter().all(hop).then_some(())
    })
    .await;
    let [all, _] = names(&received);
    let unexpected = all.iter().filter(|(_, name)| {
        let known = HOPS.iter().any(|(_, hop)| hop == name);
        !known
    });
    assert_eq!(
        unexpected.collect::<Vec<_>>(),
        Vec::<&(String, String)>::new()
    );
}

/// The collector accepts connections and never answers. Requests must still succeed,
/// however many spans are queued for it.
#[tokio::test(flavor = "multi_thread")]
async fn export_collector_hangs() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let cluster = start_exporting(format!("http://{address}/v1/traces")).await;
    // More spans than the exporter's queue holds.
    for _ in 0..1000 {
        assert_eq!(get_stock(&cluster).await, 200);
    }
    let (_hung, _) = listener.accept().await.unwrap();
    assert_eq!(get_stock(&cluster).await, 200);
}

/// The collector refuses connections. Requests must still succeed.
#[tokio::test(flavor = "multi_thread")]
async fn export_collector_down() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let cluster = start_exporting(format!("http://{address}/v1/traces")).await;
    for _ in 0..1000 {
        assert_eq!(get_stock(&cluster).await, 200);
    }
}
