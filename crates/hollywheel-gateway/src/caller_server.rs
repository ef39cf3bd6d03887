//! Connections of callers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

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
        host.callers.set(host.callers.get() + 1);
        Self(host.clone())
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.0.callers.set(self.0.callers.get() - 1);
    }
}

async fn serve_connection(host: Host, stream: TcpStream) {
    let _guard = CallerGuard::new(&host);
    let limits = host.set().map(|set| set.limits).unwrap_or_default();
    let service = {
        let host = host.clone();
        service_fn(move |request| {
            let host = host.clone();
            async move { Ok::<_, Infallible>(answer_request(host, request).await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time + IDLE_SLACK)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // An error ends the connection; what it means for a request is logged with the request.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = host.wait_for_stop(StopPhase::Closing) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// The smallest buffer that the HTTP library takes.
const MIN_BUFFER: usize = 16 * 1024;
