//! A test client that acts as an entry: starts attempts and assembles their
//! answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use wire::proto::frame::Body;
use wire::proto::{
    AnswerEnd, Attach, AttemptState, Bar, Cancel, Progress, Refusal, Start, StartReply,
};
use wire::{
    AnswerAssembler, AnswerFailure, AnswerPart, Identity, Incoming, Link, LinkSettings, Role,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// An answer as far as it has been received.
pub struct ReceivedAnswer {
    assembly: AnswerAssembler,
    pub status: u32,
    pub body: Vec<u8>,
    pub end: Option<Result<AnswerEnd, AnswerFailure>>,
    /// Whether received bytes are acknowledged.
    pub acknowledges: bool,
}

#[derive(Clone)]
pub struct TestEntry {
    pub link: Link,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    answers: BTreeMap<Bytes, ReceivedAnswer>,
    other_messages: Vec<Body>,
}

impl TestEntry {
    pub async fn dial(address: SocketAddr) -> Self {
        let me = Identity::new(Role::Entry, "entry-1", 1);
        let cfg = LinkSettings::default();
        let (link, rx) = wire::dial(address, &me, &super::key(), &cfg).await.unwrap();
        let entry = TestEntry {
            link,
            inner: Arc::default(),
        };
        tokio::spawn(entry.clone().receive(rx));
        entry
    }

    /// A new link that takes over the answers of this one.
    pub async fn reconnect(&self, address: SocketAddr) -> Self {
        let fresh = TestEntry::dial(address).await;
        let mut inner = self.inner.lock().unwrap();
        fresh.inner.lock().unwrap().answers = std::mem::take(&mut inner.answers);
        fresh
    }

    pub async fn start(&self, start: Start) -> StartReply {
        self.expect_answer(&start.attempt, true);
        match self
            .link
            .call(Body::Start(start), CALL_TIMEOUT)
            .await
            .unwrap()
        {
            Body::StartReply(reply) => reply,
            other => panic!("unexpected {other:?}"),
        }
    }

    /// Starts an attempt that must be accepted.
    pub async fn start_accepted(&self, start: Start) {
        let reply = self.start(start).await;
        assert!(reply.accepted, "refused: {:?}", reply.refusal());
    }

    /// Starts attempts until one is accepted and returns its id. The agent may not
    /// know yet that a restarted target is up.
    pub async fn start_until_accepted(&self, start: impl Fn(u128) -> Start) -> Bytes {
        let mut attempt = 1_000;
        super::wait_until("an attempt is accepted", async || {
            attempt += 1;
            self.start(start(attempt)).await.accepted
        })
        .await;
        super::id(attempt)
    }

    /// Starts an attempt that must be refused.
    pub async fn start_refused(&self, start: Start) -> Refusal {
        let reply = self.start(start).await;
        assert!(!reply.accepted);
        reply.refusal()
    }

    pub async fn attach(&self, attempt: &Bytes, offset: u64) -> AttemptState {
        let attach = Attach {
            attempt: attempt.clone(),
            offset,
        };
        match self
            .link
            .call(Body::Attach(attach), CALL_TIMEOUT)
            .await
            .unwrap()
        {
            Body::AttachReply(reply) => reply.state(),
            other => panic!("unexpected {other:?}"),
        }
    }

    pub async fn bar(&self, attempt: &Bytes) -> AttemptState {
        let bar = Bar {
            attempt: attempt.clone(),
        };
        match self.link.call(Body::Bar(bar), CALL_TIMEOUT).await.unwrap() {
            Body::BarReply(reply) => reply.state(),
            other => panic!("unexpected {other:?}"),
        }
    }

    pub async fn cancel(&self, attempt: &Bytes) {
        let attempt = attempt.clone();
        let cancel = Body::Cancel(Cancel { attempt });
        self.link.send(cancel).await.unwrap();
    }

    pub async fn release(&self, attempt: &Bytes) {
        let progress = Progress {
            attempt: attempt.clone(),
            offset: self.with_answer(attempt, |answer| answer.assembly.offset()),
            done: true,
        };
        self.link.send(Body::Progress(progress)).await.unwrap();
    }

    /// Prepares for an answer; its bytes are acknowledged only if `acknowledges`.
    pub fn expect_answer(&self, attempt: &Bytes, acknowledges: bool) {
        let mut inner = self.inner.lock().unwrap();
        let answer = || ReceivedAnswer {
            assembly: AnswerAssembler::new(attempt.clone(), 1 << 20),
            status: 0,
            body: Vec::new(),
            end: None,
            acknowledges,
        };
        inner.answers.entry(attempt.clone()).or_insert_with(answer);
    }

    pub fn with_answer<T>(&self, attempt: &Bytes, read: impl FnOnce(&ReceivedAnswer) -> T) -> T {
        let inner = self.inner.lock().unwrap();
        read(inner.answers.get(attempt).unwrap())
    }

    pub fn received_len(&self, attempt: &Bytes) -> usize {
        self.with_answer(attempt, |answer| answer.body.len())
    }

    /// Waits for the end of an answer and returns its bytes and how it ended.
    pub async fn wait_ended(&self, attempt: &Bytes) -> (Vec<u8>, Result<AnswerEnd, AnswerFailure>) {
        super::wait_until("the answer ended", async || {
            self.with_answer(attempt, |answer| answer.end.is_some())
        })
        .await;
        self.with_answer(attempt, |answer| {
            (answer.body.clone(), answer.end.clone().unwrap())
        })
    }

    /// Waits for the end of an answer that must be complete.
    pub async fn wait_complete(&self, attempt: &Bytes) -> Vec<u8> {
        let (body, end) = self.wait_ended(attempt).await;
        assert!(end.is_ok(), "incomplete answer: {end:?}");
        body
    }

    /// Messages that weren't part of an answer.
    pub fn other_messages(&self) -> Vec<Body> {
        self.inner.lock().unwrap().other_messages.clone()
    }

    async fn receive(self, mut rx: mpsc::Receiver<Incoming>) {
        while let Some(incoming) = rx.recv().await {
            if let Some(progress) = self.take(incoming.body) {
                let _ = self.link.send(Body::Progress(progress)).await;
            }
        }
    }

    fn take(&self, body: Body) -> Option<Progress> {
        let mut inner = self.inner.lock().unwrap();
        let attempt = match &body {
            Body::AnswerHead(head) => head.attempt.clone(),
            Body::AnswerChunk(chunk) => chunk.attempt.clone(),
            Body::AnswerEnd(end) => end.attempt.clone(),
            _ => {
                inner.other_messages.push(body);
                return None;
            }
        };
        let answer = inner.answers.get_mut(&attempt)?;
        for piece in answer.assembly.push(body) {
            match piece {
                AnswerPart::Head(head) => answer.status = head.status,
                AnswerPart::Data(data) => answer.body.extend_from_slice(&data),
                AnswerPart::Complete(end) => answer.end = Some(Ok(end)),
                AnswerPart::Failed(broken) => answer.end = Some(Err(broken)),
            }
        }
        answer.acknowledges.then(|| Progress {
            attempt,
            offset: answer.assembly.offset(),
            done: false,
        })
    }
}
