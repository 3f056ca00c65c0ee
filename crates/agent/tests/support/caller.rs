//! A stand-in for an entry: starts attempts and puts their answers together.

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
use wire::{Assembly, Broken, Identity, Incoming, Link, LinkSettings, Piece, Role};

const CALL: Duration = Duration::from_secs(30);

/// One answer as far as it has come.
pub struct Taken {
    assembly: Assembly,
    pub status: u32,
    pub body: Vec<u8>,
    pub end: Option<Result<AnswerEnd, Broken>>,
    /// Whether progress is reported as bytes arrive.
    pub reads: bool,
}

#[derive(Clone)]
pub struct Caller {
    pub link: Link,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    answers: BTreeMap<Bytes, Taken>,
    others: Vec<Body>,
}

impl Caller {
    pub async fn dial(address: SocketAddr) -> Self {
        let me = Identity::new(Role::Entry, "entry-1", 1);
        let cfg = LinkSettings::default();
        let (link, rx) = wire::dial(address, &me, &super::key(), &cfg).await.unwrap();
        let caller = Caller {
            link,
            inner: Arc::default(),
        };
        tokio::spawn(caller.clone().receive(rx));
        caller
    }

    /// A fresh link that takes over the answers of this one.
    pub async fn redial(&self, address: SocketAddr) -> Self {
        let fresh = Caller::dial(address).await;
        let mut inner = self.inner.lock().unwrap();
        fresh.inner.lock().unwrap().answers = std::mem::take(&mut inner.answers);
        fresh
    }

    pub async fn start(&self, start: Start) -> StartReply {
        self.expect(&start.attempt, true);
        match self.link.call(Body::Start(start), CALL).await.unwrap() {
            Body::StartReply(reply) => reply,
            other => panic!("unexpected {other:?}"),
        }
    }

    /// Starts an attempt that must be taken.
    pub async fn begin(&self, start: Start) {
        let reply = self.start(start).await;
        assert!(reply.accepted, "refused: {:?}", reply.refusal());
    }

    /// Starts one attempt after the other until one is taken, and returns it:
    /// a target that was just started again may not be known to be up yet.
    pub async fn begin_at_last(&self, start: impl Fn(u128) -> Start) -> Bytes {
        let mut attempt = 1_000;
        super::until("an attempt is taken", async || {
            attempt += 1;
            self.start(start(attempt)).await.accepted
        })
        .await;
        super::id(attempt)
    }

    /// Starts an attempt that must be refused.
    pub async fn refused(&self, start: Start) -> Refusal {
        let reply = self.start(start).await;
        assert!(!reply.accepted);
        reply.refusal()
    }

    pub async fn attach(&self, attempt: &Bytes, offset: u64) -> AttemptState {
        let attach = Attach {
            attempt: attempt.clone(),
            offset,
        };
        match self.link.call(Body::Attach(attach), CALL).await.unwrap() {
            Body::AttachReply(reply) => reply.state(),
            other => panic!("unexpected {other:?}"),
        }
    }

    pub async fn bar(&self, attempt: &Bytes) -> AttemptState {
        let bar = Bar {
            attempt: attempt.clone(),
        };
        match self.link.call(Body::Bar(bar), CALL).await.unwrap() {
            Body::BarReply(reply) => reply.state(),
            other => panic!("unexpected {other:?}"),
        }
    }

    pub async fn cancel(&self, attempt: &Bytes) {
        let attempt = attempt.clone();
        let cancel = Body::Cancel(Cancel { attempt });
        self.link.send(cancel).await.unwrap();
    }

    pub async fn done(&self, attempt: &Bytes) {
        let progress = Progress {
            attempt: attempt.clone(),
            offset: self.with(attempt, |taken| taken.assembly.offset()),
            done: true,
        };
        self.link.send(Body::Progress(progress)).await.unwrap();
    }

    /// Prepares for an answer; without `reads`, no progress is reported.
    pub fn expect(&self, attempt: &Bytes, reads: bool) {
        let mut inner = self.inner.lock().unwrap();
        let taken = || Taken {
            assembly: Assembly::new(attempt.clone(), 1 << 20),
            status: 0,
            body: Vec::new(),
            end: None,
            reads,
        };
        inner.answers.entry(attempt.clone()).or_insert_with(taken);
    }

    pub fn with<T>(&self, attempt: &Bytes, look: impl FnOnce(&Taken) -> T) -> T {
        let inner = self.inner.lock().unwrap();
        look(inner.answers.get(attempt).unwrap())
    }

    pub fn length(&self, attempt: &Bytes) -> usize {
        self.with(attempt, |taken| taken.body.len())
    }

    /// Waits for the end of an answer: its bytes, and how it ended.
    pub async fn ended(&self, attempt: &Bytes) -> (Vec<u8>, Result<AnswerEnd, Broken>) {
        super::until("the answer ended", async || {
            self.with(attempt, |taken| taken.end.is_some())
        })
        .await;
        self.with(attempt, |taken| {
            (taken.body.clone(), taken.end.clone().unwrap())
        })
    }

    /// Waits for the end of an answer that must be whole.
    pub async fn whole(&self, attempt: &Bytes) -> Vec<u8> {
        let (body, end) = self.ended(attempt).await;
        assert!(end.is_ok(), "not whole: {end:?}");
        body
    }

    /// Messages that were no part of an answer.
    pub fn others(&self) -> Vec<Body> {
        self.inner.lock().unwrap().others.clone()
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
                inner.others.push(body);
                return None;
            }
        };
        let taken = inner.answers.get_mut(&attempt)?;
        for piece in taken.assembly.take(body) {
            match piece {
                Piece::Head(head) => taken.status = head.status,
                Piece::Data(data) => taken.body.extend_from_slice(&data),
                Piece::Whole(end) => taken.end = Some(Ok(end)),
                Piece::Broken(broken) => taken.end = Some(Err(broken)),
            }
        }
        taken.reads.then(|| Progress {
            attempt,
            offset: taken.assembly.offset(),
            done: false,
        })
    }
}
