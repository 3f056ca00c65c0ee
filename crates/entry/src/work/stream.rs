//! Forwarding of server-sent event streams.

use std::io;
use std::time::{Duration, Instant};

use admin::Problem;
use bytes::Bytes;
use route::AttemptResult;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use wire::AnswerPart;
use wire::proto::AnswerHead;

use super::answer::{EventBody, StreamAnswer};
use super::attempt::AttemptEvent;
use super::buffered::{BufferedOutcome, finish_buffered, used_tokens};
use super::event_splitter::EventSplitter;
use super::execution::{Execution, RunningAttempt};
use super::failure::Failure;
use crate::placement::StartAt;

/// Maximum number of events queued for a caller that reads slowly.
const EVENT_QUEUE: usize = 64;

/// Time for writing the final error event before the connection is closed.
const ERROR_EVENT_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Runs a streamed request until the head of its answer has arrived. A separate task
/// forwards the events.
pub(crate) async fn run_stream(mut execution: Execution) -> Result<StreamAnswer, Problem> {
    let mut turned_away = None;
    loop {
        let mut running = match execution.start_attempt(StartAt::Beginning).await {
            Ok(running) => running,
            Err(problem) => return turned_away.map(StreamAnswer::Buffered).ok_or(problem),
        };
        let target = running.placed.agent().name.clone();
        match receive_head(&mut running, execution.job.deadline).await {
            Ok(head) if is_event_stream(&head) => {
                return Ok(spawn_forwarder(execution, running, head));
            }
            Ok(head) => match finish_buffered(&mut execution, running, Some(head)).await? {
                BufferedOutcome::Answered(answer) => {
                    return Ok(StreamAnswer::Buffered(answer));
                }
                BufferedOutcome::Retry(answer) => turned_away = answer.or(turned_away),
            },
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
    let event = running.attempt.next(deadline).await;
    if let Some(failure) = Failure::from_event(&event) {
        return Err(failure);
    }
    match event {
        AttemptEvent::Piece(AnswerPart::Head(head)) => Ok(head),
        // The assembly always yields the head first.
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

/// Forwards the events of a stream to its caller.
struct StreamForwarder {
    execution: Execution,
    splitter: EventSplitter,
    /// Number of events sent to the caller.
    events_sent: u64,
    tx: mpsc::Sender<io::Result<Bytes>>,
}

/// Outcome of forwarding the events of one attempt.
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

    /// Forwards events, over one or more attempts, until the stream is complete or the
    /// caller has disconnected.
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

    /// Starts another attempt after the events that the caller has received. No event
    /// is sent twice: the answer restarts only if none has been sent, otherwise the
    /// target must resume.
    async fn resume(&mut self, target: &str, failure: Failure) -> Result<RunningAttempt, Problem> {
        self.execution.prepare_retry(target, failure).await?;
        self.splitter.reset();
        let start_at = if self.events_sent == 0 {
            StartAt::Beginning
        } else {
            StartAt::Event(self.events_sent)
        };
        self.execution.start_attempt(start_at).await
    }

    async fn forward_attempt(&mut self, running: &mut RunningAttempt) -> ForwardOutcome {
        let deadline = self.execution.job.deadline;
        let caller = self.tx.clone();
        loop {
            let event = tokio::select! {
                event = running.attempt.next(deadline) => event,
                () = caller.closed() => return ForwardOutcome::CallerGone,
            };
            if let Some(failure) = Failure::from_event(&event) {
                return ForwardOutcome::Failed(failure);
            }
            match event {
                AttemptEvent::Piece(AnswerPart::Data(data)) => {
                    running.placed.record_first_byte();
                    self.splitter.push(&data);
                    if let Some(outcome) = self.send_events().await {
                        return outcome;
                    }
                    running.attempt.acknowledge().await;
                }
                // The target reports completion; the events must be complete as well.
                AttemptEvent::Piece(AnswerPart::Complete(end)) if self.splitter.is_complete() => {
                    self.execution.permit.set_used(used_tokens(&end));
                    return ForwardOutcome::Complete;
                }
                // A resumed attempt sends its own head.
                AttemptEvent::Piece(AnswerPart::Head(head)) if is_event_stream(&head) => {}
                _ => return ForwardOutcome::Failed(Failure::Lost),
            }
        }
    }

    /// Sends all complete events to the caller.
    async fn send_events(&mut self) -> Option<ForwardOutcome> {
        loop {
            let event = match self.splitter.next() {
                Ok(Some(event)) => event,
                Ok(None) => return None,
                Err(_) => return Some(ForwardOutcome::Failed(Failure::TooLarge)),
            };
            let stall = self.execution.context.timing.stall;
            // A caller that stops reading would occupy capacity that other requests
            // wait for.
            match timeout(stall, self.tx.send(Ok(event))).await {
                Ok(Ok(())) => self.events_sent += 1,
                Ok(Err(_)) | Err(_) => return Some(ForwardOutcome::CallerGone),
            }
        }
    }

    /// Aborts the stream so that the caller notices: sends an event with the problem,
    /// no `[DONE]`, and closes the connection without a proper end.
    async fn abort(&self, mut problem: Problem) {
        problem.request = Some(self.execution.job.id.clone());
        self.execution.context.metrics.broken_streams.inc();
        let event = format!("event: error\ndata: {}\n\n", problem.to_json());
        let stall = self.execution.context.timing.stall;
        let sent = timeout(stall, self.tx.send(Ok(Bytes::from(event)))).await;
        if matches!(sent, Ok(Ok(()))) {
            // An error closes the connection after what has been written by then, so
            // the event needs time to be written first.
            sleep(ERROR_EVENT_FLUSH_TIME).await;
            let broken = io::Error::other("stream broken off");
            // Fails only if the caller has disconnected.
            let _ = timeout(stall, self.tx.send(Err(broken))).await;
        }
    }
}
