//! Streams of server-sent events.

use std::io;
use std::time::{Duration, Instant};

use admin::Problem;
use bytes::Bytes;
use route::AttemptResult;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use wire::AnswerPart;
use wire::proto::AnswerHead;

use super::answer::{EventBody, Streamed};
use super::attempt::Next;
use super::course::{Course, Live};
use super::events::Events;
use super::failure::Failure;
use super::whole::{finish_whole, tokens_of};
use crate::placement::StartAt;

/// Events that may wait for a caller who reads slowly.
const QUEUE: usize = 64;

/// For an event to be written to the caller's connection.
const WRITE: Duration = Duration::from_millis(100);

/// Runs a streamed request up to the head of its answer; the events follow
/// from a task of their own.
pub(crate) async fn run_stream(mut course: Course) -> Result<Streamed, Problem> {
    loop {
        let mut live = course.begin(StartAt::Beginning).await?;
        let target = live.placed.agent().name.clone();
        match head(&mut live, course.job.deadline).await {
            Ok(head) if is_event_stream(&head) => return Ok(pump(course, live, head)),
            Ok(head) => {
                if let Some(answer) = finish_whole(&mut course, live, Some(head)).await? {
                    return Ok(Streamed::Whole(answer));
                }
            }
            Err(failure) => {
                live.placed.end(failure.ending());
                drop(live.attempt);
                course.retry(&target, failure).await?;
            }
        }
    }
}

async fn head(live: &mut Live, deadline: Instant) -> Result<AnswerHead, Failure> {
    let next = live.attempt.next(deadline).await;
    if let Some(failure) = Failure::of(&next) {
        return Err(failure);
    }
    match next {
        Next::Piece(AnswerPart::Head(head)) => Ok(head),
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

fn pump(mut course: Course, live: Live, head: AnswerHead) -> Streamed {
    course.has_run();
    let (tx, rx) = mpsc::channel(QUEUE);
    let events = Events::new(course.cx.limits.event);
    let pump = Pump {
        course,
        events,
        given: 0,
        tx,
    };
    tokio::spawn(pump.run(live));
    Streamed::Events {
        headers: head.headers,
        body: EventBody::new(rx),
    }
}

/// Passes the events of a stream on to its caller.
struct Pump {
    course: Course,
    events: Events,
    /// Events that the caller was given.
    given: u64,
    tx: mpsc::Sender<io::Result<Bytes>>,
}

/// How passing on one attempt ended.
enum Passed {
    Whole,
    CallerGone,
    Failed(Failure),
}

impl Pump {
    async fn run(mut self, live: Live) {
        self.course.cx.metrics.open_streams.inc();
        if let Err(problem) = self.pass_on(live).await {
            self.break_off(problem).await;
        }
        self.course.cx.metrics.open_streams.dec();
    }

    /// Passes events on, from one attempt to the next, until the caller has
    /// them all or has gone.
    async fn pass_on(&mut self, mut live: Live) -> Result<(), Problem> {
        loop {
            let target = live.placed.agent().name.clone();
            let failure = match self.pass_on_attempt(&mut live).await {
                Passed::Whole => {
                    live.placed.end(AttemptResult::Completed);
                    return Ok(());
                }
                Passed::CallerGone => return Ok(()),
                Passed::Failed(failure) => failure,
            };
            live.placed.end(failure.ending());
            drop(live.attempt);
            live = self.go_on(&target, failure).await?;
        }
    }

    /// Begins another attempt after the events that the caller has. A caller
    /// is never given an event twice: without any given the answer may begin
    /// anew, else the target must resume.
    async fn go_on(&mut self, target: &str, failure: Failure) -> Result<Live, Problem> {
        self.course.retry(target, failure).await?;
        self.events.restart();
        let at = if self.given == 0 {
            StartAt::Beginning
        } else {
            StartAt::Event(self.given)
        };
        self.course.begin(at).await
    }

    async fn pass_on_attempt(&mut self, live: &mut Live) -> Passed {
        let deadline = self.course.job.deadline;
        let caller = self.tx.clone();
        loop {
            let next = tokio::select! {
                next = live.attempt.next(deadline) => next,
                () = caller.closed() => return Passed::CallerGone,
            };
            if let Some(failure) = Failure::of(&next) {
                return Passed::Failed(failure);
            }
            match next {
                Next::Piece(AnswerPart::Data(data)) => {
                    live.placed.answered();
                    self.events.push(&data);
                    if let Some(passed) = self.give().await {
                        return passed;
                    }
                    live.attempt.acknowledge().await;
                }
                // The target says that it is done; the events must say so too.
                Next::Piece(AnswerPart::Complete(end)) if self.events.is_whole() => {
                    self.course.permit.set_used(tokens_of(&end));
                    return Passed::Whole;
                }
                // A resumed attempt has a head of its own.
                Next::Piece(AnswerPart::Head(head)) if is_event_stream(&head) => {}
                _ => return Passed::Failed(Failure::Lost),
            }
        }
    }

    /// Gives the caller all complete events.
    async fn give(&mut self) -> Option<Passed> {
        loop {
            let event = match self.events.next() {
                Ok(Some(event)) => event,
                Ok(None) => return None,
                Err(_) => return Some(Passed::Failed(Failure::TooLarge)),
            };
            let stall = self.course.cx.timing.stall;
            // A caller that reads nothing for so long would hold a place at a
            // target which others wait for.
            match timeout(stall, self.tx.send(Ok(event))).await {
                Ok(Ok(())) => self.given += 1,
                Ok(Err(_)) | Err(_) => return Some(Passed::CallerGone),
            }
        }
    }

    /// Breaks the stream off so that its caller sees it: an event that names
    /// the problem, no `[DONE]`, and a connection without a proper end.
    async fn break_off(&self, mut problem: Problem) {
        problem.request = Some(self.course.job.id.clone());
        self.course.cx.metrics.broken_streams.inc();
        let event = format!("event: error\ndata: {}\n\n", problem.to_json());
        let stall = self.course.cx.timing.stall;
        let told = timeout(stall, self.tx.send(Ok(Bytes::from(event)))).await;
        if matches!(told, Ok(Ok(()))) {
            // An error ends the connection with what is written by then, so
            // the event is given the time to be written first.
            sleep(WRITE).await;
            let broken = io::Error::other("stream broken off");
            // Fails only when the caller has gone.
            let _ = timeout(stall, self.tx.send(Err(broken))).await;
        }
    }
}
