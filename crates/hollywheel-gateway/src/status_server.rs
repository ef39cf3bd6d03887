//! HTTP endpoints for readiness checks and metrics, each on its own address.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::connect::accept;
use crate::containment::TaskKind;
use crate::host::Host;
use crate::metered_stream::MeteredStream;

/// Time without a request after which a connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// What an address serves, whatever the path.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StatusEndpoint {
    /// Readiness: whether the host accepts callers.
    Ready,
    /// Metrics in the Prometheus text format.
    Metrics,
}

/// Accepts and serves connections to an endpoint until the process ends.
pub(crate) async fn serve_status(host: Host, listener: Rc<TcpListener>, kind: StatusEndpoint) {
    loop {
        let stream = accept(&host, &listener).await;
        let panics = host.panics.clone();
        let host = host.clone();
        panics.spawn(TaskKind::Status, async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let answer = answer(&host, kind);
                async move { Ok::<_, Infallible>(answer) }
            });
            // The client sees the error of the connection too and can retry.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIME)
                .serve_connection(TokioIo::new(MeteredStream::yielding(stream)), service)
                .await;
        });
    }
}

fn answer(host: &Host, kind: StatusEndpoint) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    match kind {
        StatusEndpoint::Ready => {
            if !host.is_ready() {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
        }
        StatusEndpoint::Metrics => {
            host.measure();
            *response.body_mut() = Full::new(Bytes::from(host.metrics.text()));
        }
    }
    response
}
