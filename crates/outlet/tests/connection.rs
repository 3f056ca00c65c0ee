//! Closing of connections to a target.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use outlet::{ClientSettings, Connection};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const LONG_TIMEOUT: Duration = Duration::from_mins(1);

fn cfg() -> ClientSettings {
    ClientSettings {
        connect_timeout: LONG_TIMEOUT,
        head_timeout: LONG_TIMEOUT,
        progress_timeout: LONG_TIMEOUT,
        request_timeout: LONG_TIMEOUT,
    }
}

fn request() -> Request<Full<Bytes>> {
    Request::builder()
        .uri("/")
        .header("host", "target")
        .body(Full::default())
        .unwrap()
}

/// Reads the head of a request.
fn read_head(peer: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        peer.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
}

/// Reads to the end of the connection and returns how it ended.
fn read_to_close(peer: &mut TcpStream) -> Result<(), ErrorKind> {
    peer.read_to_end(&mut Vec::new())
        .map(drop)
        .map_err(|e| e.kind())
}

/// Guards against a target that hung running a request whose caller has left.
#[tokio::test]
async fn drop_without_response() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut conn = Connection::open(address, &cfg()).await.unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    let timeout = Duration::from_millis(50);
    assert!(conn.try_send(request(), timeout).await.is_err());
    drop(conn);
    let ended = tokio::task::spawn_blocking(move || read_to_close(&mut peer));
    assert_eq!(ended.await.unwrap(), Err(ErrorKind::ConnectionReset));
}

/// Guards against resetting a connection whose response was read completely.
#[tokio::test]
async fn drop_after_response() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let target = tokio::task::spawn_blocking(move || {
        let (mut peer, _) = listener.accept().unwrap();
        read_head(&mut peer);
        peer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            .unwrap();
        read_to_close(&mut peer)
    });
    let mut conn = Connection::open(address, &cfg()).await.unwrap();
    let response = conn.try_send(request(), LONG_TIMEOUT).await.unwrap();
    response.into_body().collect().await.unwrap();
    assert!(conn.is_ready(&cfg()).await);
    conn.prepare_for_reuse(&cfg()).unwrap();
    drop(conn);
    assert_eq!(target.await.unwrap(), Ok(()));
}
