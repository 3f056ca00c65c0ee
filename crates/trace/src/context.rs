//! Parsing and formatting of the W3C trace context.

use opentelemetry::trace::{SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState};
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

/// Length of a `traceparent` in characters: version, trace id, span id and flags,
/// separated by dashes.
const TRACEPARENT_LEN: usize = 55;

/// Makes `span`, which must not have been entered yet, a child of the span identified by
/// `traceparent`. An invalid `traceparent` is ignored, as the W3C recommendation requires.
pub fn set_parent(span: &Span, traceparent: &str) {
    let Some(parent) = parse(traceparent) else {
        return;
    };
    let cx = opentelemetry::Context::new().with_remote_span_context(parent);
    if let Err(err) = span.set_parent(cx) {
        // Expected if no spans are recorded.
        log::trace!("can't set the parent of a span: {err}");
    }
}

/// Returns the `traceparent` of `span` to send with outgoing requests, or `received` if no
/// spans are recorded.
#[must_use]
pub fn traceparent(span: &Span, received: &str) -> String {
    let cx = span.context();
    let span_context = cx.span().span_context().clone();
    if !span_context.is_valid() {
        return received.to_owned();
    }
    let flags = span_context.trace_flags().to_u8();
    let (trace_id, span_id) = (span_context.trace_id(), span_context.span_id());
    format!("00-{trace_id}-{span_id}-{flags:02x}")
}

/// Returns whether `text` is a valid `traceparent` of version 00.
///
/// ```
/// assert!(trace::is_valid_traceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"));
/// assert!(!trace::is_valid_traceparent("00-00000000000000000000000000000000-b7ad6b7169203331-01"));
/// assert!(!trace::is_valid_traceparent("nonsense"));
/// ```
#[must_use]
pub fn is_valid_traceparent(text: &str) -> bool {
    parse(text).is_some()
}

fn parse(text: &str) -> Option<SpanContext> {
    if text.len() != TRACEPARENT_LEN || !text.is_ascii() {
        return None;
    }
    let mut parts = text.split('-');
    if parts.next()? != "00" {
        return None;
    }
    let trace_id = TraceId::from_hex(parts.next()?).ok()?;
    let span_id = SpanId::from_hex(parts.next()?).ok()?;
    let flags = u8::from_str_radix(parts.next()?, 16).ok()?;
    let flags = TraceFlags::new(flags);
    let context = SpanContext::new(trace_id, span_id, flags, true, TraceState::default());
    context.is_valid().then_some(context)
}
