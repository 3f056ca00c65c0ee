//! Export of spans with OpenTelemetry.

use std::time::Duration;

use eyre::WrapErr;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::SdkTracerProvider;
use tracing_subscriber::Layer;
use tracing_subscriber::filter::filter_fn;
use tracing_subscriber::layer::SubscriberExt;

/// Crate whose spans are not exported: it opens one span per actor message, which would
/// outnumber the spans of requests.
const EXCLUDED_CRATE: &str = "ractor";

/// Timeout for sending a batch to the collector. Process shutdown waits for the last batch.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// A running span export. Dropping it sends the remaining spans.
#[derive(Debug)]
pub struct SpanExport {
    provider: SdkTracerProvider,
}

impl Drop for SpanExport {
    fn drop(&mut self) {
        // The collector may be unreachable; spans are not worth delaying shutdown.
        let _ = self.provider.shutdown();
    }
}

/// Starts exporting the spans of service `name` to the OTLP collector at `endpoint`, for
/// example `http://127.0.0.1:4318/v1/traces`.
///
/// # Errors
///
/// Returns an error if the endpoint is invalid or a span subscriber is already installed.
pub fn start_span_export(name: &str, endpoint: &str) -> eyre::Result<SpanExport> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_endpoint(endpoint)
        .with_timeout(EXPORT_TIMEOUT)
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
    let span_filter = filter_fn(|metadata| !metadata.target().starts_with(EXCLUDED_CRATE));
    let subscriber = tracing_subscriber::registry().with(layer.with_filter(span_filter));
    tracing::subscriber::set_global_default(subscriber).wrap_err("can't record spans")?;
    Ok(SpanExport { provider })
}
