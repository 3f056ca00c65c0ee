//! Reuse of idle connections to the target.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use agent::engine::{Call, ClientSettings, Failure, Reply, Retry, TargetClient, TargetKind};
use fake::{Engine, EngineSettings, Fault};
use serde_json::json;
use support::{Fixture, id, wait_until};
use wire::AnswerFailure;
use wire::proto::{End, Start};

const LONG_TIMEOUT: Duration = Duration::from_mins(1);

fn cfg() -> ClientSettings {
    ClientSettings {
        connect_timeout: LONG_TIMEOUT,
        head_timeout: LONG_TIMEOUT,
        progress_timeout: LONG_TIMEOUT,
        request_timeout: LONG_TIMEOUT,
    }
}

fn client(address: SocketAddr) -> TargetClient {
    TargetClient::new(address, TargetKind::Service, cfg()).with_keep_alive(2, LONG_TIMEOUT)
}

fn call(path: &str, retry: Retry) -> Call {
    Call {
        method: "GET".into(),
        path: path.into(),
        retry,
        ..Call::default()
    }
}

/// A target controlled step by step by the test, which waits for it without
/// yielding to the tasks of the agent.
struct Target {
    listener: TcpListener,
}

/// The target's side of a connection.
struct TargetConnection(BufReader<TcpStream>);

impl Target {
    fn start() -> Self {
        Target {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    fn accept(&self) -> TargetConnection {
        TargetConnection(BufReader::new(self.listener.accept().unwrap().0))
    }
}

impl TargetConnection {
    /// Reads a request without a body and returns its path.
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
        self.write(&http_response(&path));
    }

    /// Whether the agent has closed the connection without another request.
    fn is_closed(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0))
    }
}

fn http_response(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Runs the actions of the target on a separate thread.
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

/// A client with one idle connection, and the target's side of it.
async fn client_with_idle_connection() -> (Target, TargetClient, TargetConnection) {
    let target = Target::start();
    let client = client(target.address());
    let served = on_thread(move || {
        let mut conn = target.accept();
        conn.answer();
        (target, conn)
    });
    assert_eq!(get(&client, "/first").await, "/first");
    let (target, conn) = served.recv().unwrap();
    assert_eq!(client.counts().kept.get(), 1);
    (target, client, conn)
}

#[tokio::test]
async fn call_reuses_connection() {
    let (_target, client, mut conn) = client_with_idle_connection().await;
    let served = on_thread(move || {
        conn.answer();
        conn.answer();
        conn
    });
    assert_eq!(get(&client, "/second").await, "/second");
    assert_eq!(get(&client, "/third").await, "/third");
    let _peer = served.recv().unwrap();
    assert_eq!(client.counts().opened.get(), 1);
    assert_eq!(client.counts().reused.get(), 2);
}

#[tokio::test]
async fn call_not_repeatable() {
    // If a reservation were written to a connection that has already ended, it
    // would be unknown whether it ran, and its lot would be blocked needlessly.
    // Therefore it must get a new connection.
    let (target, client, mut former) = client_with_idle_connection().await;
    let served = on_thread(move || {
        target.accept().answer();
    });
    let call = call("/reserve", Retry::Never);
    let reply = client.call(&call, || {}).await;
    assert_eq!(read(reply).await, "/reserve");
    served.recv().unwrap();
    assert_eq!(client.counts().reused.get(), 0);
    client.clear_pool();
    let closed = on_thread(move || former.is_closed());
    tokio::task::yield_now().await;
    let closed = tokio::task::spawn_blocking(move || closed.recv().unwrap());
    assert!(closed.await.unwrap());
}

#[tokio::test]
async fn call_after_target_closed() {
    // The target closes an idle connection, and the next call is made before the
    // agent's tasks have noticed. The call must not use the dead connection: the
    // caller would wait for a retry, and a restarted target would be reported as
    // crashed by the call.
    let (target, client, conn) = client_with_idle_connection().await;
    // No task of the agent runs between the close and the next call.
    drop(conn);
    let served = on_thread(move || target.accept().answer());
    assert_eq!(get(&client, "/second").await, "/second");
    served.recv().unwrap();
    assert_eq!(client.counts().opened.get(), 2);
    assert_eq!(client.counts().dropped.get(), 1);
}

#[tokio::test]
async fn call_after_restart() {
    // The target is restarted between two calls. Its old connections end, and the
    // next call succeeds on a new one.
    let (target, client, conn) = client_with_idle_connection().await;
    drop(conn);
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
async fn call_races_with_close() {
    // The target closes an idle connection just as a call is written to it. The call
    // may have run, so it must not be reported as not run, and the agent must not
    // run it a second time by itself.
    let (target, client, mut conn) = client_with_idle_connection().await;
    let served = on_thread(move || {
        let path = conn.read();
        drop(conn);
        path
    });
    let call = call("/second", Retry::Allowed);
    let Err(failure) = client.call(&call, || {}).await else {
        panic!("got a response without a target");
    };
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
    assert_eq!(served.recv().unwrap(), "/second");
    assert_eq!(client.counts().opened.get(), 1);
    assert_eq!(client.counts().kept.get(), 0);
    drop(target);
}

#[tokio::test]
async fn call_swallowed() {
    // A network device has dropped the state of an idle connection, and the call on
    // it gets no response. It must be reported as lost, never as not run, and the
    // connection must not be reused.
    let (target, client, mut conn) = client_with_idle_connection().await;
    let quick = ClientSettings {
        head_timeout: Duration::from_millis(50),
        ..cfg()
    };
    let quick = TargetClient::new(target.address(), TargetKind::Service, quick)
        .with_keep_alive(2, LONG_TIMEOUT);
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
    // The other client's connection is not affected.
    let served = on_thread(move || conn.answer());
    assert_eq!(get(&client, "/second").await, "/second");
    served.recv().unwrap();
    drop((target, first));
}

/// Whether the first call was answered in time. On a slow host the response may
/// take longer than the short head timeout.
async fn quick_first(client: &TargetClient) -> bool {
    let reply = client.call(&call("/first", Retry::Allowed), || {}).await;
    if reply.is_err() {
        return false;
    }
    read(reply).await == "/first"
}

#[tokio::test]
async fn call_after_doubled_answer() {
    // A faulty target sends two responses. The second one must not be taken for the
    // response to the next call.
    let target = Target::start();
    let client = client(target.address());
    let (resume, resumed): (Sender<()>, Receiver<()>) = channel();
    let served = on_thread(move || {
        let mut conn = target.accept();
        let path = conn.read();
        conn.write(&http_response(&path));
        resumed.recv().unwrap();
        conn.write(&http_response("another caller's"));
        (target, conn)
    });
    assert_eq!(get(&client, "/first").await, "/first");
    resume.send(()).unwrap();
    // No task of the agent runs until the second response has arrived.
    let (target, _peer) = served.recv().unwrap();
    let served = on_thread(move || target.accept().answer());
    assert_eq!(get(&client, "/second").await, "/second");
    served.recv().unwrap();
    assert_eq!(client.counts().reused.get(), 0);
}

#[tokio::test]
async fn pool_bounded() {
    // Concurrent calls leave at most the allowed number of idle connections, and a
    // response that isn't read to its end leaves none.
    let target = Target::start();
    let client = client(target.address());
    let served = on_thread(move || {
        let mut conns: Vec<TargetConnection> = Vec::new();
        for _ in 0..4 {
            let mut conn = target.accept();
            conn.answer();
            conns.push(conn);
        }
        conns
    });
    let mut replies = Vec::new();
    for _ in 0..4 {
        let call = call("/stock", Retry::Allowed);
        replies.push(client.call(&call, || {}).await);
    }
    let mut conns = served.recv().unwrap();
    replies.pop();
    for reply in replies {
        read(reply).await;
    }
    assert_eq!(client.counts().kept.get(), 2);
    let mut closed = conns.split_off(2);
    let closed = on_thread(move || closed.iter_mut().all(TargetConnection::is_closed));
    let closed = tokio::task::spawn_blocking(move || closed.recv().unwrap());
    assert!(closed.await.unwrap());
}

#[tokio::test]
async fn pool_idle_timeout() {
    // The agent closes an idle connection before a network device can drop its
    // state.
    let (_target, client, mut conn) = client_with_idle_connection().await;
    let now = Instant::now();
    client.evict_idle(now);
    assert_eq!(client.counts().kept.get(), 1);
    client.evict_idle(now + LONG_TIMEOUT);
    assert_eq!(client.counts().kept.get(), 0);
    let closed = on_thread(move || conn.is_closed());
    let closed = tokio::task::spawn_blocking(move || closed.recv().unwrap());
    assert!(closed.await.unwrap());
}

#[tokio::test]
async fn pool_disabled() {
    let target = Target::start();
    let client = client(target.address()).with_keep_alive(0, LONG_TIMEOUT);
    let served = on_thread(move || {
        target.accept().answer();
        target.accept().answer();
    });
    assert_eq!(get(&client, "/first").await, "/first");
    assert_eq!(get(&client, "/second").await, "/second");
    served.recv().unwrap();
    assert_eq!(client.counts().opened.get(), 2);
}

/// An engine whose agent keeps idle connections for a long time.
async fn engine_with_reuse() -> (Engine, Fixture) {
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    let fixture = Fixture::engine(
        &engine,
        json!({"timing": {"poll_ms": 20, "renew_ms": 50, "kept_ms": 60_000}}),
    )
    .await;
    (engine, fixture)
}

fn ending(end: Result<wire::proto::AnswerEnd, AnswerFailure>) -> End {
    match end {
        Ok(end) | Err(AnswerFailure::Aborted(end) | AnswerFailure::Corrupted(end)) => end.end(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_on_reused_connection() {
    // A request that crashes its engine arrives on a reused connection. Only this
    // request must be reported, because the earlier calls are done.
    let (engine, fixture) = engine_with_reuse().await;
    let entry = fixture.connect_entry().await;
    entry.start_accepted(fixture.chat(1, 4)).await;
    entry.wait_complete(&id(1)).await;
    engine.inject_fault(Fault::CrashOn("poison".into()));
    let body = r#"{"model":"burl-notes","stream":true,"max_tokens":50,"user":"poison"}"#;
    let poison = Start {
        body: body.into(),
        ..fixture.chat(2, 50)
    };
    entry.start_accepted(poison).await;
    let (_, end) = entry.wait_ended(&id(2)).await;
    assert_eq!(ending(end), End::Crashed);
    assert_eq!(fixture.control.crashes().len(), 1);
    assert_eq!(fixture.control.crashes()[0].len(), 1);
    engine.restart().await.unwrap();
    let next = entry
        .start_until_accepted(|attempt| fixture.chat(attempt, 4))
        .await;
    entry.wait_complete(&next).await;
    assert_eq!(fixture.control.crashes().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_on_reused_connection() {
    // A reused connection breaks in mid-stream while its engine keeps running. This
    // is a lost connection and not a crash, and no request becomes suspect.
    let (engine, fixture) = engine_with_reuse().await;
    let entry = fixture.connect_entry().await;
    entry.start_accepted(fixture.chat(1, 4)).await;
    entry.wait_complete(&id(1)).await;
    engine.inject_fault(Fault::CloseAfter(1));
    entry.start_accepted(fixture.chat(2, 100_000)).await;
    let (_, end) = entry.wait_ended(&id(2)).await;
    assert_eq!(ending(end), End::Lost);
    assert!(fixture.control.crashes().is_empty());
    engine.clear_faults();
    wait_until("the next one runs", async || {
        let next = entry
            .start_until_accepted(|attempt| fixture.chat(attempt, 4))
            .await;
        entry.wait_complete(&next).await;
        true
    })
    .await;
    assert!(fixture.control.crashes().is_empty());
}
