//! Connections to the target.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use super::Failure;

/// Bytes of an answer to an order or a question at most.
const MAX_DOCUMENT: usize = 16 << 20;

/// Times towards the target.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Time to connect at most.
    pub connect: Duration,
    /// Time from a request to the first byte of its answer at most.
    pub head: Duration,
    /// Time between two bytes of an answer at most.
    pub progress: Duration,
    /// Time of a question or an order at most.
    pub question: Duration,
}

/// A connection of its own for each call: one that sat idle may have gone
/// silent, and a call written to it could neither be called run nor not run.
pub(crate) struct Connection {
    tx: SendRequest<Full<Bytes>>,
    /// Ends the connection when dropped, and so tells the target to stop.
    _conn: AbortOnDropHandle<()>,
}

impl Connection {
    /// Connects; nothing is written yet.
    pub async fn open(address: SocketAddr, cfg: &ClientSettings) -> Result<Self, Failure> {
        let opened = timeout(cfg.connect, connect(address, cfg)).await;
        match opened {
            Ok(Ok(conn)) => Ok(conn),
            Ok(Err(e)) => Err(Failure::NotRun(e.to_string())),
            Err(_) => Err(Failure::NotRun("connecting took too long".into())),
        }
    }

    /// Writes a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Incoming>, Failure> {
        match timeout(within, self.tx.send_request(req)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) => Err(Failure::Broken(e.to_string())),
            Err(_) => Err(Failure::Silent("no answer began in time".into())),
        }
    }
}

async fn connect(address: SocketAddr, cfg: &ClientSettings) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    watch_over(&stream, cfg)?;
    let (tx, conn) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let conn = tokio::spawn(async move {
        // The error reaches whoever waits for the answer.
        let _ = conn.await;
    });
    Ok(Connection {
        tx,
        _conn: AbortOnDropHandle::new(conn),
    })
}

/// A connection can go silent for good when something between the two ends
/// loses track of it; the kernel is told to notice on its own.
fn watch_over(stream: &TcpStream, cfg: &ClientSettings) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let interval = (cfg.progress / 4).max(Duration::from_secs(1));
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(cfg.progress))
}

/// Asks a question or gives an order, and reads the whole answer.
pub(crate) async fn ask(
    address: SocketAddr,
    cfg: &ClientSettings,
    req: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), Failure> {
    let mut conn = Connection::open(address, cfg).await?;
    let answer = async {
        let response = conn.send(req, cfg.question).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_DOCUMENT);
        let body = body.collect().await;
        let body = body.map_err(|e| Failure::Broken(e.to_string()))?;
        Ok((status, body.to_bytes()))
    };
    match timeout(cfg.question, answer).await {
        Ok(answer) => answer,
        Err(_) => Err(Failure::Silent("no whole answer in time".into())),
    }
}
