//! The server for operators.

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

/// Bounds the header lines of a request.
const MAX_HEADERS: usize = 48;
/// Bounds the head of a request, in bytes.
const MAX_HEAD: usize = 64 * 1024;
/// Closes connections without a request.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Closes connections whose head does not arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves operators over HTTP/1.1.
///
/// # Errors
///
/// Returns the error of the system if the server cannot start.
pub fn start_admin(state: Arc<AdminState>, listener: TcpListener) -> io::Result<WebServer> {
    let config = HttpServiceConfig::new()
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
        .worker_threads(1)
        .worker_max_blocking_threads(1)
        .listen("operators", listener, service);
    WebServer::start(server)
}
