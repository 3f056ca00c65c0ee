//! Streams of server-sent events.

use std::io;
use std::time::{Duration, Instant};

use admin::Problem;
use bytes::Bytes;
use route::AttemptResult;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use wire::Piece;
use wire::proto::AnswerHead;

use super::answer::{EventBody, StreamAnswer};
use super::attempt::AttemptEvent;
use super::buffered::{finish_buffered, used_tokens};
use super::event_splitter::EventSplitter;
use super::execution::{Execution, RunningAttempt};
use super::failure::Failure;
use crate::placement::StartAt;

/// Events that may wait for a caller who reads slowly.
const EVENT_QUEUE: usize = 64;

/// For an event to be written to the caller's connection.
const ERROR_EVENT_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Runs a streamed request up to the head of its answer; the events follow
/// from a task of their own.
pub(crate) async fn run_stream(mut execution: Execution) -> Result<StreamAnswer, Problem> {
    loop {
        let mut running = execution.start_attempt(StartAt::Beginning).await?;
        let target = running.placed.agent().name.clone();
        match receive_head(&mut running, execution.job.deadline).await {
            Ok(head) if is_event_stream(&head) => {
                return Ok(spawn_forwarder(execution, running, head));
            }
            Ok(head) => {
                if let Some(answer) = finish_buffered(&mut execution, running, Some(head)).await? {
                    return Ok(StreamAnswer::Buffered(answer));
                }
            }
            Err(failure) => {
                running.placed.end(failure.attempt_result());
                drop(running.attempt);
                execution.prepare_retry(&target, failure).await?;
            }
        }
    }
}

async fn receive_head(
    running: &mut RunningAttempt,
    deadline: Instant,
) -> Result<AnswerHead, Failure> {
    let next = running.attempt.next(deadline).await;
    if let Some(failure) = Failure::from_event(&next) {
        return Err(failure);
    }
    match next {
        AttemptEvent::Piece(Piece::Head(head)) => Ok(head),
        // An assembly gives the head first.
        _ => Err(Failure::Lost),
    }
}

fn is_event_stream(head: &AnswerHead) -> bool {
    head.status == 200
        && head.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("content-type")
                && header.value.starts_with(b"text/event-stream")
        })
}

fn spawn_forwarder(
    mut execution: Execution,
    running: RunningAttempt,
    head: AnswerHead,
) -> StreamAnswer {
    execution.mark_as_run();
    let (tx, rx) = mpsc::channel(EVENT_QUEUE);
    let splitter = EventSplitter::new(execution.context.limits.event);
    let forwarder = StreamForwarder {
        execution,
        splitter,
        events_sent: 0,
        tx,
    };
    tokio::spawn(forwarder.run(running));
    StreamAnswer::Events {
        headers: head.headers,
        body: EventBody::new(rx),
    }
}

/// Passes the events of a stream on to its caller.
struct StreamForwarder {
    execution: Execution,
    splitter: EventSplitter,
    /// Events that the caller was given.
    events_sent: u64,
    tx: mpsc::Sender<io::Result<Bytes>>,
}

/// How passing on one attempt ended.
enum ForwardOutcome {
    Complete,
    CallerGone,
    Failed(Failure),
}

impl StreamForwarder {
    async fn run(mut self, running: RunningAttempt) {
        self.execution.context.metrics.open_streams.inc();
        if let Err(problem) = self.forward(running).await {
            self.abort(problem).await;
        }
        self.execution.context.metrics.open_streams.dec();
    }

    /// Passes events on, from one attempt to the next, until the caller has
    /// them all or has gone.
    async fn forward(&mut self, mut running: RunningAttempt) -> Result<(), Problem> {
        loop {
            let target = running.placed.agent().name.clone();
            let failure = match self.forward_attempt(&mut running).await {
                ForwardOutcome::Complete => {
                    running.placed.end(AttemptResult::Completed);
                    return Ok(());
                }
                ForwardOutcome::CallerGone => return Ok(()),
                ForwardOutcome::Failed(failure) => failure,
            };
            running.placed.end(failure.attempt_result());
            drop(running.attempt);
            running = self.resume(&target, failure).await?;
        }
    }

    /// Begins another attempt after the events that the caller has. A caller
    /// is never given an event twice: without any given the answer may begin
    /// anew, else the target must resume.
    async fn resume(&mut self, target: &str, failure: Failure) -> Result<RunningAttempt, Problem> {
        self.execution.prepare_retry(target, failure).await?;
        self.splitter.reset();
        let at = if self.events_sent == 0 {
            StartAt::Beginning
        } else {
            StartAt::Event(self.events_sent)
        };
        self.execution.start_attempt(at).await
    }

    async fn forward_attempt(&mut self, running: &mut RunningAttempt) -> ForwardOutcome {
        let deadline = self.execution.job.deadline;
        let caller = self.tx.clone();
        loop {
            let next = tokio::select! {
                next = running.attempt.next(deadline) => next,
                () = caller.closed() => return ForwardOutcome::CallerGone,
            };
            if let Some(failure) = Failure::from_event(&next) {
                return ForwardOutcome::Failed(failure);
            }
            match next {
                AttemptEvent::Piece(Piece::Data(data)) => {
                    running.placed.record_first_byte();
                    self.splitter.push(&data);
                    if let Some(outcome) = self.send_events().await {
                        return outcome;
                    }
                    running.attempt.acknowledge().await;
                }
                // The target says that it is done; the events must say so too.
                AttemptEvent::Piece(Piece::Whole(end)) if self.splitter.is_complete() => {
                    self.execution.permit.set_used(used_tokens(&end));
                    return ForwardOutcome::Complete;
                }
                // A resumed attempt has a head of its own.
                AttemptEvent::Piece(Piece::Head(head)) if is_event_stream(&head) => {}
                _ => return ForwardOutcome::Failed(Failure::Lost),
            }
        }
    }

    /// Gives the caller all complete events.
    async fn send_events(&mut self) -> Option<ForwardOutcome> {
        loop {
            let event = match self.splitter.next() {
                Ok(Some(event)) => event,
                Ok(None) => return None,
                Err(_) => return Some(ForwardOutcome::Failed(Failure::TooLarge)),
            };
            let stall = self.execution.context.timing.stall;
            // A caller that reads nothing for so long would hold a place at a
            // target which others wait for.
            match timeout(stall, self.tx.send(Ok(event))).await {
                Ok(Ok(())) => self.events_sent += 1,
                Ok(Err(_)) | Err(_) => return Some(ForwardOutcome::CallerGone),
            }
        }
    }

    /// Breaks the stream off so that its caller sees it: an event that names
    /// the problem, no `[DONE]`, and a connection without a proper end.
    async fn abort(&self, mut problem: Problem) {
        problem.request = Some(self.execution.job.id.clone());
        self.execution.context.metrics.broken_streams.inc();
        let event = format!("event: error\ndata: {}\n\n", problem.to_json());
        let stall = self.execution.context.timing.stall;
        let sent = timeout(stall, self.tx.send(Ok(Bytes::from(event)))).await;
        if matches!(sent, Ok(Ok(()))) {
            // An error ends the connection with what is written by then, so
            // the event is given the time to be written first.
            sleep(ERROR_EVENT_FLUSH_TIME).await;
            let broken = io::Error::other("stream broken off");
            // Fails only when the caller has gone.
            let _ = timeout(stall, self.tx.send(Err(broken))).await;
        }
    }
}
