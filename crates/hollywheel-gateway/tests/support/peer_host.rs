//! A stand-in of another host, and calls as another host makes them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2 as client;
use hyper::server::conn::http2 as server;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};

use hollywheel_wire::serving::{HostEntry, PieceOrder};

/// Orders a piece from a host; returns the status of its answer.
pub async fn order_pieces(peers: SocketAddr) -> u16 {
    let stream = TcpStream::connect(peers).await.unwrap();
    let opened = client::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
    let (mut sender, connection) = opened.unwrap();
    tokio::spawn(connection);
    let order = PieceOrder {
        pool: "stage".to_owned(),
        kind: "draft/0".to_owned(),
        attempt: "other".to_owned(),
        pieces: 1,
        key: "7c1e".to_owned(),
        result_bytes: 10,
        due_us: 1_000_000,
        expires_us: 1_000_000,
        goal_us: 1_000_000,
        ..PieceOrder::default()
    };
    let body = Full::new(Bytes::from(order.encode_to_vec()));
    let request = Request::post(format!("http://{peers}/pieces")).body(body);
    let answer = sender.send_request(request.unwrap()).await.unwrap();
    answer.status().as_u16()
}

/// Serves a host that answers every call with a status and a body; returns its address and counts
/// the orders for pieces.
pub async fn serve_answer(status: u16, body: Vec<u8>) -> (SocketAddr, Arc<AtomicUsize>) {
    let body = Bytes::from(body);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let (calls, body) = (Arc::clone(&counted), body.clone());
            let service = service_fn(move |request: Request<Incoming>| {
                if request.uri().path() == "/pieces" {
                    calls.fetch_add(1, Ordering::SeqCst);
                }
                let mut answer = Response::new(Full::new(body.clone()));
                *answer.status_mut() = status.try_into().unwrap();
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = server::Builder::new(TokioExecutor::new());
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
        }
    });
    (address, calls)
}

/// Returns the row of a host that is so large that every duty is its own.
pub fn large_host(name: &str, address: SocketAddr) -> Vec<u8> {
    let entry = HostEntry {
        host: name.to_owned(),
        address: address.to_string(),
        domain: "a".to_owned(),
        incarnation: 1,
        weight: u32::MAX,
        ..HostEntry::default()
    };
    entry.encode_to_vec()
}
