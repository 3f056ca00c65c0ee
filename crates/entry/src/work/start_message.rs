//! The message that starts an attempt.

use std::time::Instant;

use bytes::Bytes;
use route::Fingerprint;
use tracing::Span;
use wire::proto::Start;

use super::context::ExecutionContext;
use crate::job::Job;
use crate::placement::{PlacedAttempt, StartAt};
use crate::pool_name::PoolName;

/// Creates the message that starts an attempt at the selected target, and opens the
/// span of the attempt.
pub(crate) fn start_message(
    context: &ExecutionContext,
    job: &Job,
    placed: &PlacedAttempt,
    start_at: StartAt,
) -> (Start, Span) {
    let now = Instant::now();
    let left = job.deadline.saturating_duration_since(now);
    let (model, service) = match &job.pool {
        PoolName::Model(model) => (model.clone(), String::new()),
        PoolName::Service(service) => (String::new(), service.clone()),
    };
    let span = tracing::info_span!("attempt", request = %job.id, target = %placed.agent().name);
    trace::set_parent(&span, &job.traceparent);
    let start = Start {
        attempt: new_attempt(),
        request: Bytes::from(job.id.clone()),
        incarnation: placed.agent().incarnation,
        note: context.follower.catalogue().number(),
        account: job.account.clone(),
        service,
        group: placed.group().to_owned(),
        model,
        adapter: job.adapter.clone(),
        version: job.version.clone(),
        rank: placed.rank(),
        priority: job.priority,
        deadline_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        method: job.method.clone(),
        path: job.path.clone(),
        headers: job.headers.clone(),
        body: job.body.clone(),
        traceparent: trace::traceparent(&span, &job.traceparent),
        resume_events: match start_at {
            StartAt::Beginning => 0,
            StartAt::Event(count) => count,
        },
        keep: false,
        fingerprint: to_bytes(&job.fingerprint),
        parts: job.parts.iter().map(to_bytes).collect(),
        entry_leased: context.follower.leased(now),
    };
    (start, span)
}

fn to_bytes(fingerprint: &Fingerprint) -> Bytes {
    Bytes::copy_from_slice(fingerprint.as_bytes())
}

/// Generates an attempt ID.
fn new_attempt() -> Bytes {
    Bytes::copy_from_slice(&rand::random::<[u8; 16]>())
}
