//! The W3C trace context, as text.

use opentelemetry::trace::{SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState};
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

/// Characters of version, trace id, span id and flags, with their dashes.
const LENGTH: usize = 55;

/// Makes `span`, which must not have been entered yet, a child of the span that
/// `traceparent` names. Text that is no `traceparent` is ignored, as the W3C
/// recommendation asks.
pub fn set_parent(span: &Span, traceparent: &str) {
    let Some(parent) = parse(traceparent) else {
        return;
    };
    let cx = opentelemetry::Context::new().with_remote_span_context(parent);
    if let Err(err) = span.set_parent(cx) {
        // Where no spans are recorded there is nothing to adopt.
        log::trace!("span without its parent: {err}");
    }
}

/// The `traceparent` of `span`, to be passed on; `given` where no spans are recorded.
#[must_use]
pub fn traceparent(span: &Span, given: &str) -> String {
    let cx = span.context();
    let own = cx.span().span_context().clone();
    if !own.is_valid() {
        return given.to_owned();
    }
    let flags = own.trace_flags().to_u8();
    format!("00-{}-{}-{flags:02x}", own.trace_id(), own.span_id())
}

/// Whether `text` is a `traceparent` of version 00.
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
    if text.len() != LENGTH || !text.is_ascii() {
        return None;
    }
    let mut parts = text.split('-');
    if parts.next()? != "00" {
        return None;
    }
    let trace = TraceId::from_hex(parts.next()?).ok()?;
    let span = SpanId::from_hex(parts.next()?).ok()?;
    let flags = u8::from_str_radix(parts.next()?, 16).ok()?;
    let flags = TraceFlags::new(flags);
    let context = SpanContext::new(trace, span, flags, true, TraceState::default());
    context.is_valid().then_some(context)
}
