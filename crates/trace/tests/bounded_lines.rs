//! Log lines under a storm of events, and while nobody reads them.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use std::io::{PipeReader, PipeWriter, Read, pipe};
use std::time::{Duration, Instant};
use trace::{LogRateLimiter, NonBlockingLogWriter};

fn lines() -> (NonBlockingLogWriter<PipeWriter>, PipeReader) {
    let (reader, writer) = pipe().unwrap();
    (NonBlockingLogWriter::new(writer), reader)
}

fn log(lines: &NonBlockingLogWriter<PipeWriter>, event: u32, text: &str) {
    let mut record = log::Record::builder();
    record.level(log::Level::Info);
    record.module_path_static(Some("direct")).line(Some(event));
    let mut now = DeferredNow::new();
    let written = lines.write(&mut now, &record.args(format_args!("{text}")).build());
    written.unwrap();
}

fn read(lines: NonBlockingLogWriter<PipeWriter>, mut reader: PipeReader) -> Vec<serde_json::Value> {
    drop(lines);
    let mut text = String::new();
    reader.read_to_string(&mut text).unwrap();
    let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
    lines.collect()
}

/// A thousand callers are refused within a moment. Their lines must not fill the
/// disk, and what is rare must not be lost among them.
#[test]
fn admit_storm_of_one_kind() {
    let mut budget = LogRateLimiter::default();
    let began = Instant::now();
    let mut written = 0;
    let mut left_out = 0;
    for event in 0..100_000_u32 {
        let now = began + Duration::from_micros(100) * event;
        if let Some(before) = budget.admit(("direct", 1), now) {
            written += 1;
            left_out += before;
        }
    }
    // A burst of a hundred, and forty a second for ten seconds.
    assert!((100..=501).contains(&written), "{written}");
    let last = budget.admit(("direct", 1), began + Duration::from_secs(20));
    assert_eq!(left_out + last.unwrap() + written, 100_000);
    assert_eq!(budget.admit(("direct", 2), began), Some(0));
}

/// Whoever collects the lines has stopped reading. Each write returns at once; once
/// somebody reads again, the next line says how many are missing.
#[test]
fn write_while_nobody_reads() {
    let (lines, mut reader) = lines();
    let long = "x".repeat(3_000);
    for event in 0..200 {
        log(&lines, event, &long);
    }
    let missing = trace::lines_left_out();
    assert!(missing > 0);
    let mut read_so_far: Vec<u8> = Vec::new();
    let mut buf = vec![0; 1 << 16];
    while read_so_far.split(|byte| *byte == b'\n').count() as u64 - 1 + missing < 200 {
        let n = reader.read(&mut buf).unwrap();
        read_so_far.extend_from_slice(&buf[..n]);
    }
    log(&lines, 199, "read again");
    let after = read(lines, reader);
    assert_eq!(after.last().unwrap()["text"], "read again");
    assert_eq!(after.last().unwrap()["left_out"], 1);
    let whole = String::from_utf8(read_so_far).unwrap();
    assert!(
        whole
            .lines()
            .all(|line| serde_json::from_str::<serde_json::Value>(line).is_ok())
    );
}

/// A line is longer than a pipe takes at once. It is cut and says so; the next one is
/// whole.
#[test]
fn write_too_long() {
    let (lines, reader) = lines();
    log(&lines, 1, &"y".repeat(100_000));
    log(&lines, 2, "short");
    let read = read(lines, reader);
    assert_eq!(read[0]["cut"], true);
    assert_eq!(read[0]["text"].as_str().unwrap().len(), 1_000);
    assert_eq!(read[1]["text"], "short");
}
