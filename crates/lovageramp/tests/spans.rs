//! One request's spans, from the caller to the target.

#[path = "processes/support/mod.rs"]
mod support;

use lovageramp::standalone::{DEMO_KEY, Deployment, DeploymentSize};
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::{InMemorySpanExporter, SdkTracerProvider, SpanData};
use std::collections::BTreeSet;
use support::{request, until};
use tracing_subscriber::layer::SubscriberExt;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER: &str = "b7ad6b7169203331";
/// The hops, from the caller inwards.
const HOPS: [&str; 6] = [
    "request",
    "admission",
    "choice",
    "attempt",
    "agent",
    "engine",
];

/// A summary reaches the dispatcher late, and whoever is on call asks which hop held it
/// up. Each hop must have a span of its own, all of them in the caller's trace and
/// hanging together, and the target must be handed the trace too.
#[tokio::test(flavor = "multi_thread")]
async fn spans_of_one_request() {
    let exporter = InMemorySpanExporter::default();
    let provider = SdkTracerProvider::builder()
        .with_simple_exporter(exporter.clone())
        .build();
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("test"));
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::set_global_default(subscriber).unwrap();

    let deployment = Deployment::start(None, DeploymentSize::default())
        .await
        .unwrap();
    let traceparent = format!("00-{TRACE}-{CALLER}-01");
    let key = format!("Bearer {DEMO_KEY}");
    let headers = [
        ("authorization", key.as_str()),
        ("traceparent", traceparent.as_str()),
    ];
    let body = r#"{"model":"burl-notes","max_tokens":4,"messages":[]}"#;
    let entry = deployment.entry_address();
    let answer = request(entry, "POST", "/v1/chat/completions", &headers, body).await;
    assert_eq!(answer.unwrap().status, 200);

    let spans = until("all hops have ended their spans", || async {
        let spans = exporter.get_finished_spans().unwrap();
        let ours = spans.into_iter().filter(|span| trace_of(span) == TRACE);
        let ours: Vec<SpanData> = ours.collect();
        let all = HOPS
            .iter()
            .all(|hop| ours.iter().any(|span| span.name == *hop));
        all.then_some(ours)
    })
    .await;
    let known: BTreeSet<String> = spans.iter().map(id_of).collect();
    for span in &spans {
        let parent = span.parent_span_id.to_string();
        assert!(known.contains(&parent) || parent == CALLER, "{span:#?}");
    }
    let engine = spans.iter().find(|span| span.name == "engine").unwrap();
    let handed_on = format!("00-{TRACE}-{}-01", id_of(engine));
    let seen = deployment.engine_requests();
    let told = seen.iter().filter_map(|seen| seen.header("traceparent"));
    assert!(told.into_iter().any(|told| told == handed_on));
    deployment.shutdown().await;
}

fn trace_of(span: &SpanData) -> String {
    span.span_context.trace_id().to_string()
}

fn id_of(span: &SpanData) -> String {
    span.span_context.span_id().to_string()
}
