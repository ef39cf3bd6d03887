//! Connections of callers.

use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::connect::accept;
use crate::host::{Host, StopPhase};
use crate::request::answer_request;

/// A connection is kept for this time beyond the time for which callers use an idle one.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Accepts connections of callers until the process ends.
pub(crate) async fn serve_callers(host: Host, listener: Rc<TcpListener>) {
    loop {
        let stream = accept(&host, &listener).await;
        if *host.stopping.borrow() >= StopPhase::Closing {
            // A request that is not read here is sent again by its caller.
            continue;
        }
        tokio::task::spawn_local(serve_connection(host.clone(), stream));
    }
}

/// Counts a connection of a caller until it is dropped.
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
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => ended,
        () = host.wait_for_stop(StopPhase::Closing) => {
            std::pin::Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|cx| connection.poll_without_shutdown(cx)).await
        }
    };
    drop(guard);
    let stream = connection.into_parts().io.into_inner();
    // Other errors end the connection; what they mean for a request is logged with the request.
    let is_refused = ended.is_err_and(|error| error.is_parse());
    close_connection(stream, is_refused).await;
}

/// Closes a connection. Behind a request that could not be read there may be more bytes; closed
/// before they are read it would be reset, and its caller would lose the answer.
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

/// A caller whose request was refused has read the answer by then, also where a lossy link repeats
/// packets (some hundred milliseconds).
const LINGER_TIME: Duration = Duration::from_secs(1);
/// The most that is read of such a caller: as much as the largest body described.
const LINGER_BYTES: u64 = 4 * 1024 * 1024;
/// The smallest buffer that the HTTP library takes.
const MIN_BUFFER: usize = 16 * 1024;
