//! The server for callers.
//!
//! `hyper` drops a call's future as soon as its caller has left, which frees the backend server.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::activity::ConnectionActivity;
use super::body::FrontBody;
use super::route::handle_call;
use super::state::FrontState;
use crate::events::{EventContext, LogEvent, log_event};
use crate::web::{ConnectionGuard, StopOrder, WebServer};

/// Bounds the header lines of a request.
const MAX_HEADERS: usize = 48;
/// Bounds the head of a request, in bytes.
const MAX_HEAD: usize = 64 * 1024;
/// Closes connections without a request, also those whose head does not arrive.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// The same as [`MAX_HEAD`], in the type of the HTTP/2 settings.
const MAX_HEADER_LIST: u32 = 64 * 1024;
/// Pauses after a failed accept, so that a process without descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers over HTTP/1.1 and HTTP/2 with prior knowledge on one listener.
///
/// # Errors
///
/// Returns the error of the system if the server cannot start.
pub fn start_front(
    state: Arc<FrontState>,
    listener: std::net::TcpListener,
) -> io::Result<WebServer> {
    let workers = state.settings.workers;
    WebServer::start_task(workers, |stop| accept_callers(state, listener, stop))
}

/// Accepts connections until the server is told to finish, and then lets those that are open end.
async fn accept_callers(
    state: Arc<FrontState>,
    listener: std::net::TcpListener,
    mut stop: watch::Receiver<StopOrder>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let mut connections = JoinSet::new();
    let served = stop.clone();
    loop {
        let accepted = tokio::select! {
            _ = stop.wait_for(|order| *order != StopOrder::None) => break,
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            // A connection over the bound is closed before anything is read from it.
            Ok((stream, _)) => {
                if let Some(guard) = state.connections.enter() {
                    let state = Arc::clone(&state);
                    connections.spawn(serve_connection(state, stream, served.clone(), guard));
                }
            }
            Err(error) => {
                let context = EventContext::default();
                log_event(LogEvent::AcceptFailed, &context, &error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    Ok(())
}

fn connection_builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(KEEP_ALIVE)
        .max_buf_size(MAX_HEAD)
        .max_headers(MAX_HEADERS);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_HEADER_LIST)
        .keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE);
    builder
}

async fn serve_connection(
    state: Arc<FrontState>,
    stream: TcpStream,
    mut stop: watch::Receiver<StopOrder>,
    _guard: ConnectionGuard,
) {
    // A connection on which this fails is still served, with delays.
    let _ = stream.set_nodelay(true);
    let activity = ConnectionActivity::new();
    let calls = activity.clone();
    let service = service_fn(move |request| {
        let state = Arc::clone(&state);
        let call = calls.begin_call();
        async move {
            let reply = handle_call(&state, request).await;
            Ok::<_, Infallible>(reply.map(|body: FrontBody| body.counted(call)))
        }
    });
    let builder = connection_builder();
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // An error ends the connection; a call that it breaks off notes its caller as gone.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = wait_idle(&activity) => {}
        _ = stop.wait_for(|order| *order != StopOrder::None) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection.as_mut() => {}
        () = wait_idle(&activity) => {}
    }
}

/// Waits until there was no call for the time for which a connection is kept.
async fn wait_idle(activity: &ConnectionActivity) {
    loop {
        let since = activity.idle_since();
        let due = since.unwrap_or_else(Instant::now) + KEEP_ALIVE;
        if since.is_some() && due <= Instant::now() {
            return;
        }
        tokio::time::sleep_until(due).await;
    }
}
