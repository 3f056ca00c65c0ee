//! Connections to the target that are kept between two calls.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use agent::engine::{Call, ClientSettings, Failure, Reply, Retry, TargetClient, TargetKind};
use fake::{Engine, EngineSettings, Fault};
use serde_json::json;
use support::{Bench, id, until};
use wire::Broken;
use wire::proto::{End, Start};

const LONG: Duration = Duration::from_mins(1);

fn cfg() -> ClientSettings {
    ClientSettings {
        connect: LONG,
        head: LONG,
        progress: LONG,
        question: LONG,
    }
}

fn client(address: SocketAddr) -> TargetClient {
    TargetClient::new(address, TargetKind::Service, cfg()).with_keep_alive(2, LONG)
}

fn call(path: &str, retry: Retry) -> Call {
    Call {
        method: "GET".into(),
        path: path.into(),
        retry,
        ..Call::default()
    }
}

/// A target that does each thing when the test says so; the test waits for it
/// without giving way to any task of its own.
struct Target {
    listener: TcpListener,
}

/// One connection as the target sees it.
struct Peer(BufReader<TcpStream>);

impl Target {
    fn start() -> Self {
        Target {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    fn accept(&self) -> Peer {
        Peer(BufReader::new(self.listener.accept().unwrap().0))
    }
}

impl Peer {
    /// Reads a request without a body; its path.
    fn read(&mut self) -> String {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert_ne!(self.0.read_line(&mut head).unwrap(), 0, "no request came");
        }
        head.split(' ').nth(1).unwrap().to_owned()
    }

    fn write(&mut self, answer: &str) {
        self.0.get_mut().write_all(answer.as_bytes()).unwrap();
    }

    fn answer(&mut self) {
        let path = self.read();
        self.write(&whole(&path));
    }

    /// Whether the agent has ended the connection without another request.
    fn ends(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0))
    }
}

fn whole(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Runs what the target does on a thread of its own.
fn on_thread<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> Receiver<T> {
    let (tx, rx) = channel();
    std::thread::spawn(move || {
        let _ = tx.send(work());
    });
    rx
}

async fn read(reply: Result<Reply, Failure>) -> String {
    let mut reply = reply.unwrap();
    let mut body = Vec::new();
    while let Some(data) = reply.next().await.unwrap() {
        body.extend_from_slice(&data);
    }
    String::from_utf8(body).unwrap()
}

async fn get(client: &TargetClient, path: &str) -> String {
    read(client.call(&call(path, Retry::Allowed), || {}).await).await
}

/// An outlet that has one connection kept, and the target's end of it.
async fn after_first_call() -> (Target, TargetClient, Peer) {
    let target = Target::start();
    let client = client(target.address());
    let served = on_thread(move || {
        let mut peer = target.accept();
        peer.answer();
        (target, peer)
    });
    assert_eq!(get(&client, "/first").await, "/first");
    let (target, peer) = served.recv().unwrap();
    assert_eq!(client.counts().kept.get(), 1);
    (target, client, peer)
}

#[tokio::test]
async fn call_over_kept() {
    let (_target, client, mut peer) = after_first_call().await;
    let served = on_thread(move || {
        peer.answer();
        peer.answer();
        peer
    });
    assert_eq!(get(&client, "/second").await, "/second");
    assert_eq!(get(&client, "/third").await, "/third");
    let _peer = served.recv().unwrap();
    assert_eq!(client.counts().opened.get(), 1);
    assert_eq!(client.counts().reused.get(), 2);
}

#[tokio::test]
async fn call_not_repeatable() {
    // A reservation that is written to a connection which had already ended
    // can neither be called run nor not run, and its lot is blocked for
    // nothing. It has a connection that nobody used before.
    let (target, client, mut former) = after_first_call().await;
    let served = on_thread(move || {
        target.accept().answer();
    });
    let call = call("/reserve", Retry::Never);
    let reply = client.call(&call, || {}).await;
    assert_eq!(read(reply).await, "/reserve");
    served.recv().unwrap();
    assert_eq!(client.counts().reused.get(), 0);
    client.clear_pool();
    let ends = on_thread(move || former.ends());
    tokio::task::yield_now().await;
    let ended = tokio::task::spawn_blocking(move || ends.recv().unwrap());
    assert!(ended.await.unwrap());
}

#[tokio::test]
async fn call_after_target_closed() {
    // A target closes connections that it thinks idle, and the agent's next
    // call comes before its tasks have heard of that. The call must not be
    // spent on the dead connection: its caller would wait for a retry, and a
    // target that was restarted would be reported as crashed by it.
    let (target, client, peer) = after_first_call().await;
    // Nothing of the agent runs between the end and the next call.
    drop(peer);
    let served = on_thread(move || target.accept().answer());
    assert_eq!(get(&client, "/second").await, "/second");
    served.recv().unwrap();
    assert_eq!(client.counts().opened.get(), 2);
    assert_eq!(client.counts().dropped.get(), 1);
}

#[tokio::test]
async fn call_after_restart() {
    // The target is started again between two calls. Its former connections
    // end, and the next call runs on the new one as if nothing had been.
    let (target, client, peer) = after_first_call().await;
    drop(peer);
    let address = target.address();
    drop(target);
    let again = std::iter::repeat_with(|| TcpListener::bind(address)).find_map(Result::ok);
    let target = Target {
        listener: again.unwrap(),
    };
    let served = on_thread(move || target.accept().answer());
    assert_eq!(get(&client, "/second").await, "/second");
    served.recv().unwrap();
}

#[tokio::test]
async fn call_meets_close() {
    // The target closes an idle connection at the moment at which a call is
    // written to it. The call may have run for all that can be seen, so it is
    // never said not to have, and the agent doesn't run it a second time by
    // itself.
    let (target, client, mut peer) = after_first_call().await;
    let served = on_thread(move || {
        let path = peer.read();
        drop(peer);
        path
    });
    let call = call("/second", Retry::Allowed);
    let Err(failure) = client.call(&call, || {}).await else {
        panic!("answered by nobody");
    };
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
    assert_eq!(served.recv().unwrap(), "/second");
    assert_eq!(client.counts().opened.get(), 1);
    assert_eq!(client.counts().kept.get(), 0);
    drop(target);
}

#[tokio::test]
async fn call_into_silence() {
    // Something in between has lost track of a kept connection: the call is
    // swallowed. It is given up as lost, never as not run, and the next one
    // doesn't meet that connection again.
    let (target, client, mut peer) = after_first_call().await;
    let quick = ClientSettings {
        head: Duration::from_millis(50),
        ..cfg()
    };
    let quick =
        TargetClient::new(target.address(), TargetKind::Service, quick).with_keep_alive(2, LONG);
    let served = on_thread(move || {
        let mut first = target.accept();
        first.answer();
        (target, first)
    });
    while !quick_first(&quick).await {}
    let (target, first) = served.recv().unwrap();
    let lost = quick.call(&call("/lost", Retry::Allowed), || {}).await;
    assert!(matches!(lost, Err(Failure::Silent(_))));
    assert_eq!(quick.counts().kept.get(), 0);
    // The other outlet's connection is none of its business.
    let served = on_thread(move || peer.answer());
    assert_eq!(get(&client, "/second").await, "/second");
    served.recv().unwrap();
    drop((target, first));
}

/// Whether the first call was answered in time; a slow machine may take
/// longer than the little time for the head.
async fn quick_first(client: &TargetClient) -> bool {
    let reply = client.call(&call("/first", Retry::Allowed), || {}).await;
    if reply.is_err() {
        return false;
    }
    read(reply).await == "/first"
}

#[tokio::test]
async fn call_after_doubled_answer() {
    // A faulty target answers twice. The second answer must not reach the next
    // caller, who asked something else.
    let target = Target::start();
    let client = client(target.address());
    let (go_on, gone_on): (Sender<()>, Receiver<()>) = channel();
    let served = on_thread(move || {
        let mut peer = target.accept();
        let path = peer.read();
        peer.write(&whole(&path));
        gone_on.recv().unwrap();
        peer.write(&whole("another caller's"));
        (target, peer)
    });
    assert_eq!(get(&client, "/first").await, "/first");
    go_on.send(()).unwrap();
    // Nothing of the agent runs until the second answer is there.
    let (target, _peer) = served.recv().unwrap();
    let served = on_thread(move || target.accept().answer());
    assert_eq!(get(&client, "/second").await, "/second");
    served.recv().unwrap();
    assert_eq!(client.counts().reused.get(), 0);
}

#[tokio::test]
async fn keep_bounded() {
    // Many calls at once leave no more connections behind than are allowed,
    // and an answer that nobody reads to its end leaves none.
    let target = Target::start();
    let client = client(target.address());
    let served = on_thread(move || {
        let mut peers: Vec<Peer> = Vec::new();
        for _ in 0..4 {
            let mut peer = target.accept();
            peer.answer();
            peers.push(peer);
        }
        peers
    });
    let mut replies = Vec::new();
    for _ in 0..4 {
        let call = call("/stock", Retry::Allowed);
        replies.push(client.call(&call, || {}).await);
    }
    let mut peers = served.recv().unwrap();
    replies.pop();
    for reply in replies {
        read(reply).await;
    }
    assert_eq!(client.counts().kept.get(), 2);
    let mut closed = peers.split_off(2);
    let ends = on_thread(move || closed.iter_mut().all(Peer::ends));
    let ended = tokio::task::spawn_blocking(move || ends.recv().unwrap());
    assert!(ended.await.unwrap());
}

#[tokio::test]
async fn keep_until_idle() {
    // A connection that lies unused is closed by the agent before anything in
    // between can lose track of it.
    let (_target, client, mut peer) = after_first_call().await;
    let now = Instant::now();
    client.evict_idle(now);
    assert_eq!(client.counts().kept.get(), 1);
    client.evict_idle(now + LONG);
    assert_eq!(client.counts().kept.get(), 0);
    let ends = on_thread(move || peer.ends());
    let ended = tokio::task::spawn_blocking(move || ends.recv().unwrap());
    assert!(ended.await.unwrap());
}

#[tokio::test]
async fn keep_none() {
    let target = Target::start();
    let client = client(target.address()).with_keep_alive(0, LONG);
    let served = on_thread(move || {
        target.accept().answer();
        target.accept().answer();
    });
    assert_eq!(get(&client, "/first").await, "/first");
    assert_eq!(get(&client, "/second").await, "/second");
    served.recv().unwrap();
    assert_eq!(client.counts().opened.get(), 2);
}

/// An engine whose agent has kept a connection for a long time.
async fn kept_engine() -> (Engine, Bench) {
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    let bench = Bench::engine(
        &engine,
        json!({"timing": {"poll_ms": 20, "renew_ms": 50, "kept_ms": 60_000}}),
    )
    .await;
    (engine, bench)
}

fn ending(end: Result<wire::proto::AnswerEnd, Broken>) -> End {
    match end {
        Ok(end) | Err(Broken::Ended(end) | Broken::Damaged(end)) => end.end(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_over_kept() {
    // A request that crashes its engine came over a kept connection. It is
    // reported like any other, and only it: the calls before it are done.
    let (engine, bench) = kept_engine().await;
    let caller = bench.caller().await;
    caller.begin(bench.chat(1, 4)).await;
    caller.whole(&id(1)).await;
    engine.fault(Fault::CrashOn("poison".into()));
    let body = r#"{"model":"burl-notes","stream":true,"max_tokens":50,"user":"poison"}"#;
    let poison = Start {
        body: body.into(),
        ..bench.chat(2, 50)
    };
    caller.begin(poison).await;
    let (_, end) = caller.ended(&id(2)).await;
    assert_eq!(ending(end), End::Crashed);
    assert_eq!(bench.control.crashes().len(), 1);
    assert_eq!(bench.control.crashes()[0].len(), 1);
    engine.restart().await.unwrap();
    let next = caller.begin_at_last(|attempt| bench.chat(attempt, 4)).await;
    caller.whole(&next).await;
    assert_eq!(bench.control.crashes().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_over_kept() {
    // A kept connection breaks in mid-stream while its engine lives on: that
    // is a lost connection and no crash, and nobody becomes suspect.
    let (engine, bench) = kept_engine().await;
    let caller = bench.caller().await;
    caller.begin(bench.chat(1, 4)).await;
    caller.whole(&id(1)).await;
    engine.fault(Fault::Cut(1));
    caller.begin(bench.chat(2, 100_000)).await;
    let (_, end) = caller.ended(&id(2)).await;
    assert_eq!(ending(end), End::Lost);
    assert!(bench.control.crashes().is_empty());
    engine.clear();
    until("the next one runs", async || {
        let next = caller.begin_at_last(|attempt| bench.chat(attempt, 4)).await;
        caller.whole(&next).await;
        true
    })
    .await;
    assert!(bench.control.crashes().is_empty());
}
