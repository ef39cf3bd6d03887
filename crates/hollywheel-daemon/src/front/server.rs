//! HTTP server for callers.
//!
//! `hyper` drops the future of a call as soon as its caller disconnects, which cancels the attempts
//! on backend servers.

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
use crate::web::{ConnectionGuard, ShutdownMode, WebServer};

/// Maximum number of headers of a request.
const MAX_HEADER_COUNT: usize = 48;
/// Maximum size of the head of a request in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Time after which an idle connection is closed, also if the head of a request is incomplete.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Same limit as [`MAX_HEAD_BYTES`], in the type of the HTTP/2 settings.
const MAX_HEADER_LIST_BYTES: u32 = 64 * 1024;
/// Pause after a failed accept, so that a process without free file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Starts the server, which accepts HTTP/1.1 and HTTP/2 with prior knowledge on one listener.
///
/// # Errors
///
/// Returns the operating system's error if the server cannot start.
pub fn start_front(
    state: Arc<FrontState>,
    listener: std::net::TcpListener,
) -> io::Result<WebServer> {
    let workers = state.settings.workers;
    WebServer::start_task(workers, |stop| accept_callers(state, listener, stop))
}

/// Accepts connections until the server is told to stop, and then waits for the open ones to end.
async fn accept_callers(
    state: Arc<FrontState>,
    listener: std::net::TcpListener,
    mut stop: watch::Receiver<ShutdownMode>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let mut connections = JoinSet::new();
    let connection_stop = stop.clone();
    loop {
        let accepted = tokio::select! {
            _ = stop.wait_for(|mode| *mode != ShutdownMode::None) => break,
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            // A connection over the limit is closed before anything is read from it.
            Ok((stream, _)) => {
                if let Some(guard) = state.connections.try_open() {
                    let state = Arc::clone(&state);
                    connections.spawn(serve_connection(
                        state,
                        stream,
                        connection_stop.clone(),
                        guard,
                    ));
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
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADER_COUNT);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .keep_alive_interval(IDLE_TIMEOUT)
        .keep_alive_timeout(IDLE_TIMEOUT);
    builder
}

async fn serve_connection(
    state: Arc<FrontState>,
    stream: TcpStream,
    mut stop: watch::Receiver<ShutdownMode>,
    _guard: ConnectionGuard,
) {
    // A failure only adds latency, so it is ignored.
    let _ = stream.set_nodelay(true);
    let activity = ConnectionActivity::new();
    let calls = activity.clone();
    let service = service_fn(move |request| {
        let state = Arc::clone(&state);
        let call = calls.begin_call();
        async move {
            let reply = handle_call(&state, request).await;
            Ok::<_, Infallible>(reply.map(|body: FrontBody| body.with_call(call)))
        }
    });
    let builder = connection_builder();
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // An error ends the connection; the guards of its calls report their callers as disconnected.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = wait_idle(&activity) => {}
        _ = stop.wait_for(|mode| *mode != ShutdownMode::None) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection.as_mut() => {}
        () = wait_idle(&activity) => {}
    }
}

/// Waits until the connection has been idle for [`IDLE_TIMEOUT`].
async fn wait_idle(activity: &ConnectionActivity) {
    loop {
        let idle_since = activity.idle_since();
        let due = idle_since.unwrap_or_else(Instant::now) + IDLE_TIMEOUT;
        if idle_since.is_some() && due <= Instant::now() {
            return;
        }
        tokio::time::sleep_until(due).await;
    }
}
