//! The server for callers.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_server::Builder;
use xitca_web::App;
use xitca_web::service::{ServiceExt, fn_service};

use super::route::handle_call;
use super::state::FrontState;
use crate::web::{LimitBuilder, WebServer};

/// Bounds the header lines of a request.
const MAX_HEADERS: usize = 48;
/// Bounds the head of a request, in bytes.
const MAX_HEAD: usize = 64 * 1024;
/// Closes connections without a request.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Closes connections whose head does not arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves callers over HTTP/1.1 and HTTP/2 with prior knowledge on one listener.
///
/// # Errors
///
/// Returns the error of the system if the server cannot start.
pub fn start_front(state: Arc<FrontState>, listener: TcpListener) -> io::Result<WebServer> {
    let workers = state.settings.workers;
    let config = HttpServiceConfig::new()
        .peek_protocol()
        .keep_alive_timeout(KEEP_ALIVE)
        .request_head_timeout(HEAD_TIMEOUT)
        .max_read_buf_size::<MAX_HEAD>()
        .max_request_headers::<MAX_HEADERS>();
    let limit = LimitBuilder(Arc::clone(&state.connections));
    let service = App::new()
        .with_state(state)
        .at("/{*}", fn_service(handle_call))
        .finish()
        .enclosed(HttpServiceBuilder::with_config(config))
        .enclosed(limit);
    let server = Builder::new()
        .disable_signal()
        .worker_threads(workers)
        .worker_max_blocking_threads(1)
        .listen("callers", listener, service);
    WebServer::start(server)
}
