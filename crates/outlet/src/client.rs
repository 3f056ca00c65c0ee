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

use crate::Failure;
use crate::socket::{Close, Socket};

/// Bytes of an answer to an order or a question at most.
const MAX_DOCUMENT: usize = 16 << 20;

/// Times towards the target.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Time to connect at most.
    pub connect_timeout: Duration,
    /// Time from a request to the first byte of its answer at most.
    pub head_timeout: Duration,
    /// Time between two bytes of an answer at most.
    pub progress_timeout: Duration,
    /// Time of a question or an order at most.
    pub request_timeout: Duration,
}

/// A connection to the target.
#[derive(Debug)]
pub struct Connection {
    tx: SendRequest<Full<Bytes>>,
    socket: Socket,
    used: Use,
    /// Ends the connection when dropped, and so tells the target to stop.
    _conn: AbortOnDropHandle<()>,
}

/// Whether a connection has had a call before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    First,
    Further,
}

/// How sending a request fails.
#[derive(Debug)]
pub enum SendError {
    /// Nothing of it was written; here it is again.
    Unwritten(Box<Request<Full<Bytes>>>),
    /// It may have been written.
    Failed(Failure),
}

impl Connection {
    /// Connects; nothing is written yet.
    ///
    /// # Errors
    ///
    /// [`Failure::NotRun`], whatever went wrong.
    pub async fn open(address: SocketAddr, cfg: &ClientSettings) -> Result<Self, Failure> {
        let opened = timeout(cfg.connect_timeout, connect(address, cfg)).await;
        match opened {
            Ok(Ok(conn)) => Ok(conn),
            Ok(Err(e)) => Err(Failure::NotRun(e.to_string())),
            Err(_) => Err(Failure::NotRun("connecting took too long".into())),
        }
    }

    /// Writes a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// The request may have run.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Incoming>, Failure> {
        match self.try_send(req, within).await {
            Ok(response) => Ok(response),
            Err(SendError::Failed(failure)) => Err(failure),
            Err(SendError::Unwritten(_)) => {
                Err(Failure::Broken("closed before it was written".into()))
            }
        }
    }

    /// Like `send`, but gives a request back of which nothing was written.
    ///
    /// The request waits in a queue of one until the task of the connection
    /// takes it out to write it, and comes back only from that queue.
    ///
    /// # Errors
    ///
    /// [`SendError::Unwritten`] proves that the request never ran here.
    pub async fn try_send(
        &mut self,
        req: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        // A target that stands still would read the request after its caller
        // has left, if an orderly close delivered it.
        self.set_close(Close::Reset);
        match timeout(within, self.tx.try_send_request(req)).await {
            Ok(Ok(response)) => {
                self.set_close(Close::Deliver);
                Ok(response)
            }
            Ok(Err(mut e)) => Err(match e.take_message() {
                Some(req) => SendError::Unwritten(Box::new(req)),
                None => SendError::Failed(Failure::Broken(e.error().to_string())),
            }),
            Err(_) => {
                let silent = Failure::Silent("no answer began in time".into());
                Err(SendError::Failed(silent))
            }
        }
    }

    fn set_close(&self, close: Close) {
        if let Err(e) = self.socket.set_close(close) {
            log::debug!("a close of the connection stays as it was: {e}");
        }
    }

    /// Waits until the connection has done with the former call; false if it
    /// has ended.
    #[must_use]
    pub async fn is_ready(&mut self, cfg: &ClientSettings) -> bool {
        matches!(
            timeout(cfg.connect_timeout, self.tx.ready()).await,
            Ok(Ok(()))
        )
    }

    /// Whether the target has neither ended the connection nor sent anything
    /// that no call asked for.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.tx.is_closed() && self.socket.is_idle()
    }

    /// Makes the connection fit to be kept. One that goes silent while nobody
    /// uses it fails as soon as its next call isn't acknowledged for as long
    /// as a fresh one may take to be made.
    ///
    /// # Errors
    ///
    /// The kernel refuses to watch the connection; it had better be dropped.
    pub fn prepare_for_reuse(&mut self, cfg: &ClientSettings) -> io::Result<()> {
        if self.used == Use::First {
            self.socket.set_silence(cfg.connect_timeout)?;
            self.used = Use::Further;
        }
        Ok(())
    }
}

async fn connect(address: SocketAddr, cfg: &ClientSettings) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    watch_over(&stream, cfg)?;
    let socket = Socket::of(&stream)?;
    let (tx, conn) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let conn = tokio::spawn(async move {
        // The error reaches whoever waits for the answer.
        let _ = conn.await;
    });
    Ok(Connection {
        tx,
        socket,
        used: Use::First,
        _conn: AbortOnDropHandle::new(conn),
    })
}

/// A connection can go silent for good when something between the two ends
/// loses track of it; the kernel is told to notice on its own.
fn watch_over(stream: &TcpStream, cfg: &ClientSettings) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let interval = (cfg.progress_timeout / 4).max(Duration::from_secs(1));
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(cfg.progress_timeout))
}

/// Asks a question or gives an order, and reads the whole answer.
///
/// # Errors
///
/// [`Failure::NotRun`] only if nothing was written.
pub async fn fetch(
    address: SocketAddr,
    cfg: &ClientSettings,
    req: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), Failure> {
    let mut conn = Connection::open(address, cfg).await?;
    let answer = async {
        let response = conn.send(req, cfg.request_timeout).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_DOCUMENT);
        let body = body.collect().await;
        let body = body.map_err(|e| Failure::Broken(e.to_string()))?;
        Ok((status, body.to_bytes()))
    };
    match timeout(cfg.request_timeout, answer).await {
        Ok(answer) => answer,
        Err(_) => Err(Failure::Silent("no whole answer in time".into())),
    }
}
