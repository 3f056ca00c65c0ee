//! Connections to a target.

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
use crate::interim::InterimResponses;
use crate::socket::{CloseMode, Socket};

/// Maximum size of a response body that [`fetch`] reads.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Maximum number of bytes of a body that is passed on as it arrives. A faulty target may send
/// bytes without end.
pub const MAX_STREAM_BYTES: usize = 64 << 20;

/// Time-outs of connections to a target.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Time to establish a connection.
    pub connect_timeout: Duration,
    /// Time from a request to the head of its response.
    pub head_timeout: Duration,
    /// Time between two bytes of a response.
    pub progress_timeout: Duration,
    /// Time of a request from its start to the end of the response body.
    pub request_timeout: Duration,
}

/// A connection to a target.
#[derive(Debug)]
pub struct Connection {
    tx: SendRequest<Full<Bytes>>,
    socket: Socket,
    use_state: UseState,
    /// Closes the connection when dropped, which makes the target stop its work.
    _conn: AbortOnDropHandle<()>,
}

/// Whether a connection has been used for a request before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UseState {
    New,
    Reused,
}

/// Error of sending a request.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it was written; holds the request.
    Unwritten(Box<Request<Full<Bytes>>>),
    /// It may have been written.
    Failed(Failure),
}

impl Connection {
    /// Connects without writing anything.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::NotRun`] for every error.
    pub async fn open(address: SocketAddr, cfg: &ClientSettings) -> Result<Self, Failure> {
        let opened = timeout(cfg.connect_timeout, connect(address, cfg)).await;
        match opened {
            Ok(Ok(conn)) => Ok(conn),
            Ok(Err(e)) => Err(Failure::NotRun(e.to_string())),
            Err(_) => Err(Failure::NotRun("connecting took too long".into())),
        }
    }

    /// Writes a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if no response begins within `within`, or one with a status that no final
    /// response has. The request may have run.
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

    /// Like [`Connection::send`], but returns a request of which no byte was written.
    ///
    /// The request waits in a queue of length one until the connection's task
    /// removes it for writing, and is returned only from that queue.
    ///
    /// # Errors
    ///
    /// [`SendError::Unwritten`] guarantees that the target did not run the request.
    pub async fn try_send(
        &mut self,
        mut req: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        let interim = InterimResponses::watch(&mut req);
        // After an orderly close, a target that hangs would still receive the request,
        // and run it after its caller has left.
        self.set_close_mode(CloseMode::Reset);
        let sent = tokio::select! {
            sent = timeout(within, self.tx.try_send_request(req)) => sent,
            () = interim.exceeded() => {
                let failure = Failure::Broken("too many interim responses".into());
                return Err(SendError::Failed(failure));
            }
        };
        match sent {
            Ok(Ok(response)) if is_final(response.status()) => {
                self.set_close_mode(CloseMode::Graceful);
                Ok(response)
            }
            Ok(Ok(response)) => {
                let status = response.status().as_u16();
                let failure = Failure::Broken(format!("status {status} of no final response"));
                Err(SendError::Failed(failure))
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

    fn set_close_mode(&self, mode: CloseMode) {
        if let Err(e) = self.socket.set_close_mode(mode) {
            log::debug!("cannot set the close mode of the connection: {e}");
        }
    }

    /// Waits until the connection has finished its previous request. Returns false if
    /// the connection has ended.
    #[must_use]
    pub async fn is_ready(&mut self, cfg: &ClientSettings) -> bool {
        matches!(
            timeout(cfg.connect_timeout, self.tx.ready()).await,
            Ok(Ok(()))
        )
    }

    /// Whether the target has neither closed the connection nor sent unsolicited bytes.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.tx.is_closed() && self.socket.is_idle()
    }

    /// Prepares the connection for reuse. If the peer became unreachable while the
    /// connection was idle, the next request fails once it has not been acknowledged
    /// for the connect time-out.
    ///
    /// # Errors
    ///
    /// Fails if the socket option cannot be set; the connection should then be dropped.
    pub fn prepare_for_reuse(&mut self, cfg: &ClientSettings) -> io::Result<()> {
        if self.use_state == UseState::New {
            self.socket.set_ack_timeout(cfg.connect_timeout)?;
            self.use_state = UseState::Reused;
        }
        Ok(())
    }
}

/// Whether a final response to these requests may have this status: the others are undefined
/// (RFC 9110, section 15), or switch to a protocol that no request offers (section 15.2.2).
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

async fn connect(address: SocketAddr, cfg: &ClientSettings) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream, cfg)?;
    let socket = Socket::try_clone_from(&stream)?;
    let (tx, conn) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let conn = tokio::spawn(async move {
        // The sender of the pending request receives the error.
        let _ = conn.await;
    });
    Ok(Connection {
        tx,
        socket,
        use_state: UseState::New,
        _conn: AbortOnDropHandle::new(conn),
    })
}

/// Lets the kernel detect dead connections: a device on the path may lose the
/// connection's state without either end being notified.
fn set_socket_options(stream: &TcpStream, cfg: &ClientSettings) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let interval = (cfg.progress_timeout / 4).max(Duration::from_secs(1));
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(cfg.progress_timeout))
}

/// Sends a request on a new connection and reads the whole response.
///
/// # Errors
///
/// Returns [`Failure::NotRun`] only if nothing was written.
pub async fn fetch(
    address: SocketAddr,
    cfg: &ClientSettings,
    req: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), Failure> {
    let mut conn = Connection::open(address, cfg).await?;
    let exchange = async {
        let response = conn.send(req, cfg.request_timeout).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|e| Failure::Broken(e.to_string()))?;
        Ok((status, body.to_bytes()))
    };
    match timeout(cfg.request_timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(Failure::Silent("no whole answer in time".into())),
    }
}
