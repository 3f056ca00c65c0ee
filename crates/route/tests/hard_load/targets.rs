//! Targets in lock-step groups.

use route::ReportedLoad;
use std::ops::Range;
use std::time::{Duration, Instant};

pub const SLOTS: u32 = 10;
/// Requests that wait at a target; it declines more.
const QUEUE: usize = 20;
const BASE_STEP: f64 = 0.005_85;
const STEP_PER_REQUEST: f64 = 0.000_426;
/// Load of the busiest rank, as a factor on the step time.
const BUSIEST_RANK: f64 = 1.3;
const EVENT_TOKENS: f64 = 6.0;
pub const EVENTS: u32 = 23;
const PROMPT: Duration = Duration::from_millis(80);
/// Time for which work stalls that depends on a silent rank.
const STALL: Duration = Duration::from_millis(1_500);
/// Time that a group needs to start once all its ranks are back.
const GROUP_START: Duration = Duration::from_millis(600);

/// A request at a target.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub request: usize,
    pub sent: Instant,
    /// Requests of lower urgency are admitted first.
    pub urgency: usize,
    /// Events that the caller has already.
    pub events: u32,
    /// Those that it had before.
    resumed_after: u32,
    /// When the prompt is computed, once the stream has a slot.
    prompt_end: Option<Instant>,
    /// Step of the group at the latest event.
    event_step: Option<f64>,
}

impl Stream {
    pub fn new(request: usize, urgency: usize, events: u32, now: Instant) -> Stream {
        Stream {
            request,
            sent: now,
            urgency,
            events,
            resumed_after: events,
            prompt_end: None,
            event_step: None,
        }
    }

    /// Whether its latest event came with the head of the answer.
    pub fn is_first_event(&self) -> bool {
        self.events == self.resumed_after + 1
    }
}

/// What a target tells of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    Event,
    /// Last event.
    End,
    /// The stream is aborted.
    Broken,
    /// The request has not begun.
    NotRun,
}

#[derive(Clone, Debug, Default)]
pub struct Target {
    running: Vec<Stream>,
    waiting: Vec<Stream>,
    declines: bool,
}

impl Target {
    pub fn load(&self) -> ReportedLoad {
        let count = |streams: &[Stream]| u32::try_from(streams.len()).unwrap();
        ReportedLoad {
            running: count(&self.running),
            waiting: count(&self.waiting),
        }
    }

    /// Takes a request, or declines it.
    pub fn offer(&mut self, stream: Stream) -> bool {
        let takes = !self.declines && self.waiting.len() < QUEUE;
        if takes {
            let urgency = stream.urgency;
            let position = self.waiting.partition_point(|s| s.urgency <= urgency);
            self.waiting.insert(position, stream);
        }
        takes
    }

    pub fn remove(&mut self, request: usize) {
        self.running.retain(|stream| stream.request != request);
        self.waiting.retain(|stream| stream.request != request);
    }

    fn fill_slots(&mut self, now: Instant) {
        let free = (SLOTS as usize).saturating_sub(self.running.len());
        let started = self.waiting.drain(..free.min(self.waiting.len()));
        self.running.extend(started.map(|stream| Stream {
            prompt_end: Some(now + PROMPT),
            ..stream
        }));
    }
}

/// Ranks that compute each step together.
#[derive(Clone, Debug)]
pub struct Group {
    pub ranks: Range<usize>,
    steps: f64,
    /// When one rank is dark.
    pub dark: Option<Range<Instant>>,
}

impl Group {
    pub fn new(ranks: Range<usize>) -> Group {
        Group {
            ranks,
            steps: 0.0,
            dark: None,
        }
    }

    /// Computes for one tick. Returns what its targets tell.
    pub fn run(
        &mut self,
        targets: &mut [Target],
        tick: Duration,
        now: Instant,
    ) -> Vec<(usize, Stream, News)> {
        let mut news = Vec::new();
        let fullest = self.ranks.clone().map(|rank| targets[rank].running.len());
        let fullest = u32::try_from(fullest.max().unwrap_or(0)).unwrap();
        let step = BUSIEST_RANK * (BASE_STEP + STEP_PER_REQUEST * f64::from(fullest));
        if let Some(dark) = self.dark.clone().filter(|dark| now >= dark.start) {
            if now < dark.start + STALL {
                return news;
            }
            let is_down = now < dark.end + GROUP_START;
            for rank in self.ranks.clone() {
                let target = &mut targets[rank];
                target.declines = is_down;
                if is_down {
                    news.extend(target.running.drain(..).map(|s| (rank, s, News::Broken)));
                    news.extend(target.waiting.drain(..).map(|s| (rank, s, News::NotRun)));
                }
            }
        }
        self.steps += tick.as_secs_f64() / step;
        for rank in self.ranks.clone() {
            let target = &mut targets[rank];
            target.running.retain_mut(|stream| {
                if stream.prompt_end.is_some_and(|end| now < end) {
                    return true;
                }
                let since = *stream.event_step.get_or_insert(self.steps);
                if self.steps < since + EVENT_TOKENS {
                    return true;
                }
                stream.event_step = Some(since + EVENT_TOKENS);
                stream.events += 1;
                let ends = stream.events >= EVENTS;
                news.push((rank, *stream, if ends { News::End } else { News::Event }));
                !ends
            });
            target.fill_slots(now);
        }
        news
    }
}
