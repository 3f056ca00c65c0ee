//! Tracing spans of one request, from the entry to the target.

#[path = "processes/support/mod.rs"]
mod support;

use lovageramp::standalone::{DEMO_KEY, Deployment, DeploymentSize};
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::{InMemorySpanExporter, SdkTracerProvider, SpanData};
use std::collections::BTreeSet;
use support::{request, until};
use tracing_subscriber::layer::SubscriberExt;

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN_ID: &str = "b7ad6b7169203331";
/// Names of the spans, outermost first.
const SPAN_NAMES: [&str; 6] = [
    "request",
    "admission",
    "choice",
    "attempt",
    "agent",
    "engine",
];

/// To find the hop that delayed a request, each hop needs a span of its own. All spans must
/// be in the caller's trace and connected by their parents, and the target must receive the
/// trace context too.
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
    let traceparent = format!("00-{TRACE_ID}-{CALLER_SPAN_ID}-01");
    let key = format!("Bearer {DEMO_KEY}");
    let headers = [
        ("authorization", key.as_str()),
        ("traceparent", traceparent.as_str()),
    ];
    let body = r#"{"model":"burl-notes","max_tokens":4,"messages":[]}"#;
    let entry = deployment.entry_address();
    let answer = request(entry, "POST", "/v1/chat/completions", &headers, body).await;
    assert_eq!(answer.unwrap().status, 200);

    let spans = until("the spans of all hops have ended", || async {
        let spans = exporter.get_finished_spans().unwrap();
        let ours = spans.into_iter().filter(|span| trace_of(span) == TRACE_ID);
        let ours: Vec<SpanData> = ours.collect();
        let all = SPAN_NAMES
            .iter()
            .all(|name| ours.iter().any(|span| span.name == *name));
        all.then_some(ours)
    })
    .await;
    let span_ids: BTreeSet<String> = spans.iter().map(id_of).collect();
    for span in &spans {
        let parent = span.parent_span_id.to_string();
        assert!(
            span_ids.contains(&parent) || parent == CALLER_SPAN_ID,
            "{span:#?}"
        );
    }
    let engine = spans.iter().find(|span| span.name == "engine").unwrap();
    let expected = format!("00-{TRACE_ID}-{}-01", id_of(engine));
    let seen = deployment.engine_requests();
    let mut received = seen.iter().filter_map(|seen| seen.header("traceparent"));
    assert!(received.any(|traceparent| traceparent == expected));
    deployment.shutdown().await;
}

fn trace_of(span: &SpanData) -> String {
    span.span_context.trace_id().to_string()
}

fn id_of(span: &SpanData) -> String {
    span.span_context.span_id().to_string()
}
