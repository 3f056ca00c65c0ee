//! Propagation of the trace context across a hop.

use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::{InMemorySpanExporter, SdkTracerProvider};
use tracing_subscriber::layer::SubscriberExt;

const PARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[test]
fn set_parent_links_to_caller() {
    let exporter = InMemorySpanExporter::default();
    let provider = SdkTracerProvider::builder()
        .with_simple_exporter(exporter.clone())
        .build();
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("test"));
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::with_default(subscriber, || {
        let span = tracing::info_span!("attempt");
        trace::set_parent(&span, PARENT);
        let forwarded = trace::traceparent(&span, PARENT);
        assert!(trace::is_valid_traceparent(&forwarded));
        assert_eq!(forwarded[..35], PARENT[..35]);
        assert_ne!(forwarded, PARENT);
    });
    let spans = exporter.get_finished_spans().unwrap();
    assert_eq!(spans[0].parent_span_id.to_string(), "b7ad6b7169203331");
}

#[test]
fn invalid_traceparent_is_ignored() {
    let span = tracing::info_span!("attempt");
    for text in ["", "00-xyz", &"é".repeat(30), &"-".repeat(55)] {
        trace::set_parent(&span, text);
        assert!(!trace::is_valid_traceparent(text));
    }
}
