//! Stand-in for another host, and calls that another host makes to the gateway.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http2 as client;
use hyper::server::conn::http2 as server;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};

use hollywheel_wire::serving::{FollowReply, FollowRequest, HostEntry, PieceOrder};

/// Calls a host as another host does; returns the status and the body of the response.
async fn call(address: SocketAddr, path: &str, body: Vec<u8>) -> (u16, Bytes) {
    let stream = TcpStream::connect(address).await.unwrap();
    let handshake = client::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.unwrap();
    tokio::spawn(connection);
    let body = Full::new(Bytes::from(body));
    let request = Request::post(format!("http://{address}{path}")).body(body);
    let response = sender.send_request(request.unwrap()).await.unwrap();
    let status = response.status().as_u16();
    (
        status,
        response.into_body().collect().await.unwrap().to_bytes(),
    )
}

/// Orders one piece from a host; returns the HTTP status of the response.
pub async fn order_pieces(address: SocketAddr) -> u16 {
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
    call(address, "/pieces", order.encode_to_vec()).await.0
}

/// Asks a host for all that it knows, without waiting for changes.
pub async fn follow(address: SocketAddr) -> FollowReply {
    let request = FollowRequest::default();
    let (_, body) = call(address, "/follow", request.encode_to_vec()).await;
    FollowReply::decode(body).unwrap()
}

/// Serves a host that answers every call with the same status and body; returns its address and the
/// number of orders for pieces that it has received.
pub async fn serve_peer(status: u16, body: Vec<u8>) -> (SocketAddr, Arc<AtomicUsize>) {
    let body = Bytes::from(body);
    let order_count = Arc::new(AtomicUsize::new(0));
    let shared_count = Arc::clone(&order_count);
    let address = serve_answers(move |path| {
        if path == "/pieces" {
            shared_count.fetch_add(1, Ordering::SeqCst);
        }
        (status, body.clone())
    })
    .await;
    (address, order_count)
}

/// Serves a host whose answer to a call, a status and a body, depends on the path; returns its
/// address.
pub async fn serve_answers(
    answer: impl Fn(&str) -> (u16, Bytes) + Send + Sync + 'static,
) -> SocketAddr {
    let answer = Arc::new(answer);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let answer = Arc::clone(&answer);
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, body) = answer(request.uri().path());
                let mut response = Response::new(Full::new(body));
                *response.status_mut() = status.try_into().unwrap();
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = server::Builder::new(TokioExecutor::new());
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// Encodes the store entry of a host with the largest weight, so that every duty (a task such as
/// batching the pieces of a pool) is assigned to it.
pub fn encode_heavy_host(name: &str, address: SocketAddr) -> Vec<u8> {
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

/// Returns the reply of a host that has a fresh view of the store and reports no changes.
pub fn reply_without_changes() -> FollowReply {
    FollowReply {
        incarnation: 1,
        age_us: Some(0),
        store_era: Some(0),
        ..FollowReply::default()
    }
}

/// Serves a host that has a fresh view of the store and reports no changes. Once `silent` is set it
/// accepts calls and answers none.
pub async fn serve_source(silent: Arc<AtomicBool>) -> SocketAddr {
    serve_source_with(silent, reply_without_changes).await
}

/// Serves a host that gives replies to its followers. Once `silent` is set it accepts calls and
/// answers none.
pub async fn serve_source_with(
    silent: Arc<AtomicBool>,
    reply: impl Fn() -> FollowReply + Send + Sync + 'static,
) -> SocketAddr {
    /// Time for which a long poll without changes is held.
    const FOLLOW_WAIT: Duration = Duration::from_millis(300);
    let reply = Arc::new(reply);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let silent = Arc::clone(&silent);
            let reply = Arc::clone(&reply);
            let service = service_fn(move |_: Request<Incoming>| {
                let silent = Arc::clone(&silent);
                let reply = Arc::clone(&reply);
                async move {
                    tokio::time::sleep(FOLLOW_WAIT).await;
                    if silent.load(Ordering::SeqCst) {
                        std::future::pending::<()>().await;
                    }
                    let body = Full::new(Bytes::from(reply().encode_to_vec()));
                    Ok::<_, Infallible>(Response::new(body))
                }
            });
            let connection = server::Builder::new(TokioExecutor::new());
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}
