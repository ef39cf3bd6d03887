//! HTTP server for operators.

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
use super::state::AdminState;
use crate::web::{LimitBuilder, WebServer};

/// Maximum number of header fields of a request.
const MAX_HEADERS: usize = 48;
/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Idle time after which a connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for receiving a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts the HTTP/1.1 server for operators.
///
/// # Errors
///
/// Returns the I/O error if the server cannot start.
pub fn start_admin(state: Arc<AdminState>, listener: TcpListener) -> io::Result<WebServer> {
    let config = HttpServiceConfig::new()
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .request_head_timeout(HEAD_TIMEOUT)
        .max_read_buf_size::<MAX_HEAD_BYTES>()
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
        .worker_threads(1)
        .worker_max_blocking_threads(1)
        .listen("operators", listener, service);
    WebServer::start(server)
}
