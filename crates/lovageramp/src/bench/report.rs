//! Reports of the results.

use std::fmt::Write;

use serde_json::{Value, json};

use super::histogram::DurationHistogram;
use super::outcome::{OutcomeStatus, RequestKind};
use super::tally::{KindTally, Tally};
use super::verdict::Verdict;

/// Results of one mix.
pub(super) struct Report {
    pub(super) mix: &'static str,
    pub(super) rate: f64,
    pub(super) seconds: u64,
    pub(super) seed: u64,
    pub(super) sent: u64,
    pub(super) tally: Tally,
    pub(super) verdict: Verdict,
}

const STATUSES: [(OutcomeStatus, &str); 5] = [
    (OutcomeStatus::Done, "done"),
    (OutcomeStatus::Refused, "refused"),
    (OutcomeStatus::Unknown, "unknown"),
    (OutcomeStatus::Broken, "broken"),
    (OutcomeStatus::Failed, "failed"),
];

const KINDS: [(RequestKind, &str); 4] = [
    (RequestKind::Chat, "model requests"),
    (RequestKind::Read, "reads"),
    (RequestKind::Write, "non-repeatable"),
    (RequestKind::Raced, "non-repeatable, two at once"),
];

/// Formats all reports as one JSON document.
pub(super) fn json(reports: &[Report]) -> String {
    let runs: Vec<Value> = reports.iter().map(report_json).collect();
    json!({"runs": runs}).to_string()
}

/// Formats all reports as Markdown tables.
pub(super) fn table(reports: &[Report]) -> String {
    let tables: Vec<String> = reports.iter().map(report_text).collect();
    tables.join("\n\n")
}

fn report_json(report: &Report) -> Value {
    let mut kinds = json!({});
    for (kind, name) in KINDS {
        if let Some(tally) = report.tally.kinds.get(&kind) {
            kinds[name] = kind_json(kind, tally);
        }
    }
    json!({
        "mix": report.mix,
        "rate": report.rate,
        "seconds": report.seconds,
        "seed": report.seed,
        "sent": report.sent,
        "kinds": kinds,
        "lost": report.verdict.lost,
        "doubled": report.verdict.doubled,
        "ran_though_refused": report.verdict.ran_though_refused,
        "foreign_events": report.verdict.foreign_events,
        "differing_answers": report.verdict.differing_responses,
        "details": report.tally.details,
    })
}

fn kind_json(kind: RequestKind, tally: &KindTally) -> Value {
    let mut document = json!({"sent": tally.sent});
    for (status, name) in STATUSES {
        document[name] = tally.count(status).into();
    }
    let latency = match kind {
        RequestKind::Chat => "first_token",
        RequestKind::Read | RequestKind::Write | RequestKind::Raced => "answer",
    };
    document[latency] = tally.latency.to_json();
    if !tally.token_gaps.is_empty() {
        document["between_tokens"] = tally.token_gaps.to_json();
    }
    document
}

fn report_text(report: &Report) -> String {
    let mut text = format!(
        "{}: {} requests in {} s ({}/s, seed {})\n\n",
        report.mix, report.sent, report.seconds, report.rate, report.seed
    );
    text.push_str("| | sent | done | refused | unknown | broken | failed |\n");
    text.push_str("|---|---|---|---|---|---|---|\n");
    for (kind, name) in KINDS {
        if let Some(tally) = report.tally.kinds.get(&kind) {
            let _ = write!(text, "| {name} | {} |", tally.sent);
            for (status, _) in STATUSES {
                let _ = write!(text, " {} |", tally.count(status));
            }
            text.push('\n');
        }
    }
    text.push_str("\n| ms | p50 | p95 | p99 | max |\n|---|---|---|---|---|\n");
    if let Some(chat) = report.tally.kinds.get(&RequestKind::Chat) {
        write_row(&mut text, "time to first token", &chat.latency);
        write_row(&mut text, "time between tokens", &chat.token_gaps);
    }
    for (kind, name) in &KINDS[1..] {
        if let Some(tally) = report.tally.kinds.get(kind) {
            write_row(&mut text, &format!("{name}, answer"), &tally.latency);
        }
    }
    let _ = write!(
        text,
        "\nlost {}, doubled {}, ran though refused {}, foreign events {}, differing answers {}",
        count_or_unchecked(report.verdict.lost),
        count_or_unchecked(report.verdict.doubled),
        count_or_unchecked(report.verdict.ran_though_refused),
        report.verdict.foreign_events,
        report.verdict.differing_responses,
    );
    for (detail, count) in &report.tally.details {
        let _ = write!(text, "\n{count} times: {detail}");
    }
    text
}

fn write_row(text: &mut String, name: &str, histogram: &DurationHistogram) {
    let [p50, p95, p99, max] =
        [0.5, 0.95, 0.99, 1.0].map(|quantile| histogram.quantile_ms(quantile));
    let _ = writeln!(
        text,
        "| {name} | {p50:.1} | {p95:.1} | {p99:.1} | {max:.1} |"
    );
}

fn count_or_unchecked(count: Option<u64>) -> String {
    count.map_or_else(|| "not checked".to_owned(), |count| count.to_string())
}
