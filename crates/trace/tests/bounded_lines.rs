//! Log writing under a high event rate and while the output is not being read.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use std::io::{PipeReader, PipeWriter, Read, pipe};
use std::time::{Duration, Instant};
use trace::{LogRateLimiter, NonBlockingLogWriter};

fn piped_writer() -> (NonBlockingLogWriter<PipeWriter>, PipeReader) {
    let (reader, writer) = pipe().unwrap();
    (NonBlockingLogWriter::new(writer), reader)
}

fn log(writer: &NonBlockingLogWriter<PipeWriter>, line: u32, text: &str) {
    let mut record = log::Record::builder();
    record.level(log::Level::Info);
    record.module_path_static(Some("direct")).line(Some(line));
    let mut now = DeferredNow::new();
    let written = writer.write(&mut now, &record.args(format_args!("{text}")).build());
    written.unwrap();
}

fn read_all(
    writer: NonBlockingLogWriter<PipeWriter>,
    mut reader: PipeReader,
) -> Vec<serde_json::Value> {
    drop(writer);
    let mut text = String::new();
    reader.read_to_string(&mut text).unwrap();
    let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
    lines.collect()
}

/// One call site logs 10,000 lines per second, such as rejected requests under overload.
/// Its lines must be limited and counted, and other call sites must not be affected.
#[test]
fn admit_limits_one_callsite() {
    let mut limiter = LogRateLimiter::default();
    let start = Instant::now();
    let mut written = 0;
    let mut left_out = 0;
    for event in 0..100_000_u32 {
        let now = start + Duration::from_micros(100) * event;
        if let Some(missed) = limiter.admit(("direct", 1), now) {
            written += 1;
            left_out += missed;
        }
    }
    // A burst of 100 lines, then 40 lines per second for ten seconds.
    assert!((100..=501).contains(&written), "{written}");
    let last = limiter.admit(("direct", 1), start + Duration::from_secs(20));
    assert_eq!(left_out + last.unwrap() + written, 100_000);
    assert_eq!(limiter.admit(("direct", 2), start), Some(0));
}

/// The log collector stops reading. Writes must not block, and once the collector reads
/// again, the next line of a call site must report how many lines are missing.
#[test]
fn write_does_not_block_on_full_pipe() {
    let (writer, mut reader) = piped_writer();
    let long = "x".repeat(3_000);
    for line in 0..200 {
        log(&writer, line, &long);
    }
    let missing = trace::lines_left_out();
    assert!(missing > 0);
    let mut read_so_far: Vec<u8> = Vec::new();
    let mut buf = vec![0; 1 << 16];
    while read_so_far.split(|byte| *byte == b'\n').count() as u64 - 1 + missing < 200 {
        let n = reader.read(&mut buf).unwrap();
        read_so_far.extend_from_slice(&buf[..n]);
    }
    log(&writer, 199, "read again");
    let rest = read_all(writer, reader);
    assert_eq!(rest.last().unwrap()["text"], "read again");
    assert_eq!(rest.last().unwrap()["left_out"], 1);
    let text = String::from_utf8(read_so_far).unwrap();
    assert!(
        text.lines()
            .all(|line| serde_json::from_str::<serde_json::Value>(line).is_ok())
    );
}

/// A line exceeds what a pipe accepts without blocking. It must be truncated and marked, and
/// the next line must be intact.
#[test]
fn write_truncates_long_line() {
    let (writer, reader) = piped_writer();
    log(&writer, 1, &"y".repeat(100_000));
    log(&writer, 2, "short");
    let read = read_all(writer, reader);
    assert_eq!(read[0]["cut"], true);
    assert_eq!(read[0]["text"].as_str().unwrap().len(), 1_000);
    assert_eq!(read[1]["text"], "short");
}

/// Guards against errors for lines that nobody reads: the logger would report each on
/// standard error, which may be closed or full.
#[test]
fn write_reader_gone() {
    let (writer, reader) = piped_writer();
    drop(reader);
    log(&writer, 1, "line");
    assert!(trace::lines_left_out() > 0);
}
