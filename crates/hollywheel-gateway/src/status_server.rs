//! The addresses beside the callers': readiness and metrics.

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
use crate::host::Host;

/// A connection on which no request begins for this time is closed.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Says what a side address answers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StatusEndpoint {
    /// Whether the host takes callers.
    Ready,
    /// The metrics.
    Metrics,
}

/// Answers on a side address until the process ends.
pub(crate) async fn serve_status(host: Host, listener: Rc<TcpListener>, kind: StatusEndpoint) {
    loop {
        let stream = accept(&host, &listener).await;
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let answer = answer(&host, kind);
                async move { Ok::<_, Infallible>(answer) }
            });
            // Whoever asks sees the error of its connection and asks again.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIME)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn answer(host: &Host, kind: StatusEndpoint) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    match kind {
        StatusEndpoint::Ready => {
            if host.serving_set().is_none() || host.is_stopping() {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
        }
        StatusEndpoint::Metrics => {
            *response.body_mut() = Full::new(Bytes::from(host.metrics.text()));
        }
    }
    response
}
