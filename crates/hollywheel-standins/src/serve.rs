//! HTTP server of a stand-in.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::handle::{HandleControl, StandinHandle};
use crate::reply::ReplyResult;

/// Maximum number of open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 4096;

const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Request handler of a stand-in.
pub(crate) trait Endpoint: HandleControl {
    /// Answers one call.
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = ReplyResult> + Send;
}

/// Binds an address and serves an endpoint until it is stopped.
pub(crate) async fn start<E: Endpoint>(
    listen: SocketAddr,
    stop: CancellationToken,
    endpoint: Arc<E>,
) -> std::io::Result<StandinHandle> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let control: Arc<dyn HandleControl> = endpoint.clone();
    let task = tokio::spawn(accept(listener, stop.clone(), endpoint));
    Ok(StandinHandle::new(address, stop, task, control))
}

async fn accept<E: Endpoint>(listener: TcpListener, stop: CancellationToken, endpoint: Arc<E>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) if connections.len() < MAX_CONNECTIONS => {
                connections.spawn(serve(stream, Arc::clone(&endpoint)));
            }
            Ok(_) => {}
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
    drop(listener);
    connections.shutdown().await;
}

async fn serve<E: Endpoint>(stream: TcpStream, endpoint: Arc<E>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| Arc::clone(&endpoint).call(request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "connection ended");
    }
}
