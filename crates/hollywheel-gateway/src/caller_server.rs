//! HTTP/1.1 server for callers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::connect::{MAX_HEADER_LINES, accept};
use crate::containment::TaskKind;
use crate::host::{Host, StopPhase};
use crate::metered_stream::MeteredStream;
use crate::request::answer_request;

/// Time for which an idle connection is kept beyond the callers' own idle time-out, so that a
/// request does not race with the close.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Accepts and serves connections from callers until the process ends.
pub(crate) async fn serve_callers(host: Host, listener: Rc<TcpListener>) {
    loop {
        let stream = accept(&host, &listener).await;
        if *host.stopping.borrow() >= StopPhase::Closing {
            // The caller sends a request again whose connection was closed before it was read.
            continue;
        }
        let connection = serve_connection(host.clone(), stream);
        host.panics.spawn(TaskKind::Connection, connection);
    }
}

/// Counts a connection from a caller as open until dropped.
struct CallerGuard(Host);

impl CallerGuard {
    fn new(host: &Host) -> Self {
        host.caller_connections
            .set(host.caller_connections.get() + 1);
        Self(host.clone())
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.0
            .caller_connections
            .set(self.0.caller_connections.get() - 1);
    }
}

/// Serves the requests on one connection; closes it when idle once the graceful stop has reached
/// [`StopPhase::Closing`].
async fn serve_connection(host: Host, stream: TcpStream) {
    let guard = CallerGuard::new(&host);
    let limits = host.serving_set().map(|set| set.limits).unwrap_or_default();
    let service = {
        let host = host.clone();
        service_fn(move |request| {
            let host = host.clone();
            Box::pin(async move { Ok::<_, Infallible>(answer_request(host, request).await) })
        })
    };
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time + IDLE_SLACK)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER))
        .max_headers(MAX_HEADER_LINES)
        .serve_connection(TokioIo::new(MeteredStream::yielding(stream)), service);
    // The connection is polled to its shutdown, which writes what is left of an answer first.
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = host.wait_for_stop(StopPhase::Closing) => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    drop(guard);
    let stream = connection.into_parts().io.into_inner().into_inner();
    // Other errors just end the connection; an affected request logs its own end.
    let is_refused = ended.is_err_and(|error| error.is_parse());
    close_connection(stream, is_refused).await;
}

/// Closes a connection. After a malformed request, first reads and discards what the caller still
/// sends: closing with unread bytes resets the connection, and the caller could lose the answer.
async fn close_connection(mut stream: TcpStream, is_refused: bool) {
    // The caller may have closed it already.
    let _ = stream.shutdown().await;
    if !is_refused {
        return;
    }
    let mut rest = stream.take(LINGER_BYTES);
    let mut discarded = tokio::io::sink();
    let _ = timeout(LINGER_TIME, tokio::io::copy(&mut rest, &mut discarded)).await;
}

/// Maximum time to read from a caller whose request was malformed; by then it has received the
/// answer even if a lossy link retransmits packets (some hundred milliseconds).
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Maximum number of bytes to read from such a caller: the size of the largest supported body.
const LINGER_BYTES: u64 = 4 * 1024 * 1024;
/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER: usize = 16 * 1024;
