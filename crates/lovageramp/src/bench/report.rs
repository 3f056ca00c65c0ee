//! The figures of a run.

use std::fmt::Write;

use serde_json::{Value, json};

use super::histogram::Times;
use super::outcome::{Ending, Kind};
use super::tally::{KindTally, Tally};
use super::verdict::Verdict;

/// The figures of one mix.
pub(super) struct Report {
    pub(super) mix: &'static str,
    pub(super) rate: f64,
    pub(super) seconds: u64,
    pub(super) seed: u64,
    pub(super) sent: u64,
    pub(super) tally: Tally,
    pub(super) verdict: Verdict,
}

const ENDINGS: [(Ending, &str); 5] = [
    (Ending::Done, "done"),
    (Ending::Refused, "refused"),
    (Ending::Unknown, "unknown"),
    (Ending::Broken, "broken"),
    (Ending::Failed, "failed"),
];

const KINDS: [(Kind, &str); 4] = [
    (Kind::Chat, "model requests"),
    (Kind::Read, "reads"),
    (Kind::Write, "non-repeatable"),
    (Kind::Raced, "non-repeatable, two at once"),
];

/// All reports as one JSON document.
pub(super) fn json(reports: &[Report]) -> String {
    let runs: Vec<Value> = reports.iter().map(document).collect();
    json!({"runs": runs}).to_string()
}

/// All reports as tables.
pub(super) fn table(reports: &[Report]) -> String {
    let tables: Vec<String> = reports.iter().map(text).collect();
    tables.join("\n\n")
}

fn document(report: &Report) -> Value {
    let mut kinds = json!({});
    for (kind, name) in KINDS {
        if let Some(tally) = report.tally.kinds.get(&kind) {
            kinds[name] = kind_document(kind, tally);
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
        "foreign_events": report.verdict.foreign,
        "differing_answers": report.verdict.differing,
        "details": report.tally.details,
    })
}

fn kind_document(kind: Kind, tally: &KindTally) -> Value {
    let mut document = json!({"sent": tally.sent});
    for (ending, name) in ENDINGS {
        document[name] = tally.ended(ending).into();
    }
    let first = match kind {
        Kind::Chat => "first_token",
        Kind::Read | Kind::Write | Kind::Raced => "answer",
    };
    document[first] = tally.first.to_json();
    if !tally.gaps.is_empty() {
        document["between_tokens"] = tally.gaps.to_json();
    }
    document
}

fn text(report: &Report) -> String {
    let mut text = format!(
        "{}: {} requests in {} s ({}/s, seed {})\n\n",
        report.mix, report.sent, report.seconds, report.rate, report.seed
    );
    text.push_str("| | sent | done | refused | unknown | broken | failed |\n");
    text.push_str("|---|---|---|---|---|---|---|\n");
    for (kind, name) in KINDS {
        if let Some(tally) = report.tally.kinds.get(&kind) {
            let _ = write!(text, "| {name} | {} |", tally.sent);
            for (ending, _) in ENDINGS {
                let _ = write!(text, " {} |", tally.ended(ending));
            }
            text.push('\n');
        }
    }
    text.push_str("\n| ms | p50 | p95 | p99 | max |\n|---|---|---|---|---|\n");
    if let Some(chat) = report.tally.kinds.get(&Kind::Chat) {
        row(&mut text, "time to first token", &chat.first);
        row(&mut text, "time between tokens", &chat.gaps);
    }
    for (kind, name) in &KINDS[1..] {
        if let Some(tally) = report.tally.kinds.get(kind) {
            row(&mut text, &format!("{name}, answer"), &tally.first);
        }
    }
    let _ = write!(
        text,
        "\nlost {}, doubled {}, ran though refused {}, foreign events {}, differing answers {}",
        asked(report.verdict.lost),
        asked(report.verdict.doubled),
        asked(report.verdict.ran_though_refused),
        report.verdict.foreign,
        report.verdict.differing,
    );
    for (detail, count) in &report.tally.details {
        let _ = write!(text, "\n{count} times: {detail}");
    }
    text
}

fn row(text: &mut String, name: &str, times: &Times) {
    let [p50, p95, p99, max] = [0.5, 0.95, 0.99, 1.0].map(|quantile| times.at(quantile));
    let _ = writeln!(
        text,
        "| {name} | {p50:.1} | {p95:.1} | {p99:.1} | {max:.1} |"
    );
}

fn asked(count: Option<u64>) -> String {
    count.map_or_else(|| "not asked".to_owned(), |count| count.to_string())
}
