//! Spans, exported as OpenTelemetry.

use std::time::Duration;

use eyre::WrapErr;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::SdkTracerProvider;
use tracing_subscriber::Layer;
use tracing_subscriber::filter::filter_fn;
use tracing_subscriber::layer::SubscriberExt;

/// Crate whose spans aren't exported: it opens one for each message of an actor, which
/// would bury those of the requests.
const SILENT: &str = "ractor";

/// For the collector to take a batch. The end of a process waits for the last one.
const EXPORT: Duration = Duration::from_secs(2);

/// The running export of spans; dropping it sends what is left.
#[derive(Debug)]
pub struct SpanExport {
    provider: SdkTracerProvider,
}

impl Drop for SpanExport {
    fn drop(&mut self) {
        // The collector may be gone; spans are not worth delaying an end for.
        let _ = self.provider.shutdown();
    }
}

/// Begins to export the spans of service `name` to the OTLP collector at `endpoint`,
/// for example `http://127.0.0.1:4318/v1/traces`.
///
/// # Errors
///
/// Fails for an endpoint that can't be used, and when spans are recorded already.
pub fn start_span_export(name: &str, endpoint: &str) -> eyre::Result<SpanExport> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_endpoint(endpoint)
        .with_timeout(EXPORT)
        .build()
        .wrap_err_with(|| format!("span collector {endpoint}"))?;
    let resource = Resource::builder()
        .with_service_name(name.to_owned())
        .build();
    let provider = SdkTracerProvider::builder()
        .with_batch_exporter(exporter)
        .with_resource(resource)
        .build();
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("lovageramp"));
    let ours = filter_fn(|of| !of.target().starts_with(SILENT));
    let subscriber = tracing_subscriber::registry().with(layer.with_filter(ours));
    tracing::subscriber::set_global_default(subscriber).wrap_err("can't record spans")?;
    Ok(SpanExport { provider })
}
