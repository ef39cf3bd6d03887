//! Pool of keep-alive connections to backend servers.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fail::fail_point;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use hollywheel_serving::PieceHandle;
use hollywheel_types::{ServerId, SortedMap};

use crate::connect::{MAX_HEADER_LINES, connect};
use crate::containment::{PanicRecorder, TaskKind};
use crate::metered_stream::{MeteredBody, MeteredStream, ReadMeter};

/// Time-out of connecting. A server on the same network accepts within milliseconds; one that is
/// down or unreachable never does.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an idle connection may be reused, unless the server's answer states its own
/// idle time-out.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Fraction of the server's idle time-out for which a connection is reused, so that a request does
/// not race with the server's close.
const IDLE_FRACTION: f64 = 0.6;

/// Time within which a stale connection fails. The first packet on a connection that the server
/// has dropped is answered by a reset within a few round trips in the region; a connection that
/// fails later was lost with its server.
const STALE_RESET_TIME: Duration = Duration::from_millis(20);

/// Maximum size of an answer's head in bytes; the heads of servers have some hundred bytes.
const MAX_HEAD: usize = 64 * 1024;
/// Number of recent results remembered per connection to detect duplicate answers. It covers at
/// least the last two calls; a server that repeats an answer repeats one of the last.
const REMEMBERED_RESULTS: usize = 512;

/// Body of a request; it is always complete before it is sent.
pub(crate) type CallBody = Full<Bytes>;

/// Reason why a sent request has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendFailure {
    /// Nothing listens at the server's address.
    Refused,
    /// No byte of the request was sent.
    NotSent,
    /// The connection failed after the request was handed to it and before the kernel took a byte.
    Unwritten,
    /// The connection failed, and the request may have reached the server.
    Broken,
}

struct IdleConnection {
    sender: SendRequest<CallBody>,
    meter: Rc<ReadMeter>,
    address: SocketAddr,
    usable_until: Instant,
    seen_results: Vec<PieceHandle>,
}

/// Idle connections by server.
pub(crate) struct ConnectionPool {
    idle: RefCell<SortedMap<ServerId, Vec<IdleConnection>>>,
    panics: PanicRecorder,
}

/// A connection with a request in flight. Dropping it closes the connection.
pub(crate) struct ActiveConnection {
    sender: SendRequest<CallBody>,
    meter: Rc<ReadMeter>,
    server: ServerId,
    address: SocketAddr,
    /// Recent results received on the connection, oldest first.
    seen_results: Vec<PieceHandle>,
}

impl ActiveConnection {
    /// Records the results of an answer; returns whether one of them was received before on this
    /// connection, so that the answer is a duplicate of an earlier one.
    pub(crate) fn record_results(&mut self, results: &[PieceHandle]) -> bool {
        let is_copy = results
            .iter()
            .any(|result| self.seen_results.contains(result));
        self.seen_results.extend_from_slice(results);
        let excess = self.seen_results.len().saturating_sub(REMEMBERED_RESULTS);
        self.seen_results.drain(..excess);
        is_copy
    }

    async fn send(
        mut self,
        request: Request<CallBody>,
    ) -> Result<(Response<MeteredBody>, Self), SendFailure> {
        let upload = request.body().size_hint().exact().unwrap_or(0);
        self.meter
            .restart(usize::try_from(upload).unwrap_or(usize::MAX));
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                let meter = Rc::clone(&self.meter);
                Ok((response.map(|body| MeteredBody::new(body, meter)), self))
            }
            // The error contains the request only if none of it was sent.
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendFailure::NotSent),
                None if !self.meter.has_written() => Err(SendFailure::Unwritten),
                None => Err(SendFailure::Broken),
            },
        }
    }
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub(crate) fn new(panics: PanicRecorder) -> Self {
        Self {
            idle: RefCell::default(),
            panics,
        }
    }

    /// Sends a request on an idle or a new connection, which is opened within `connect_limit`, and
    /// returns the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure`] if there is no answer.
    pub(crate) async fn send(
        &self,
        server: &ServerId,
        address: SocketAddr,
        request: Request<CallBody>,
        connect_limit: Duration,
    ) -> Result<(Response<MeteredBody>, ActiveConnection), SendFailure> {
        let connection = match self.take_idle(server, address) {
            Some(connection) => connection,
            None => self.open(server, address, connect_limit).await?,
        };
        connection.send(request).await
    }

    /// Closes the idle connections to a server, so that the next request opens one.
    pub(crate) fn close_idle(&self, server: &ServerId) {
        let closed = self.idle.borrow_mut().remove(server);
        drop(closed);
    }

    /// Sends a request that may run twice. If an idle connection turns out to be stale, because
    /// the server dropped it silently, sends the request again on a new one.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure`] if there is no answer.
    pub(crate) async fn send_idempotent(
        &self,
        server: &ServerId,
        address: SocketAddr,
        request: Request<CallBody>,
    ) -> Result<(Response<MeteredBody>, ActiveConnection), SendFailure> {
        let Some(connection) = self.take_idle(server, address) else {
            let opened = self.open(server, address, CONNECT_TIMEOUT).await?;
            return opened.send(request).await;
        };
        let sent_at = Instant::now();
        match connection.send(request.clone()).await {
            Err(_) if sent_at.elapsed() < STALE_RESET_TIME => {
                let opened = self.open(server, address, CONNECT_TIMEOUT).await?;
                opened.send(request).await
            }
            ended => ended,
        }
    }

    /// Opens a connection to a server.
    async fn open(
        &self,
        server: &ServerId,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<ActiveConnection, SendFailure> {
        let stream = connect(address, limit)
            .await
            .map_err(|error| match error.kind() {
                io::ErrorKind::ConnectionRefused => SendFailure::Refused,
                _ => SendFailure::NotSent,
            })?;
        let (stream, meter) = MeteredStream::metered(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD)
            .max_headers(MAX_HEADER_LINES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendFailure::NotSent)?;
        // An error of the connection is also returned by the request in flight on it.
        self.panics.spawn(TaskKind::Connection, connection);
        Ok(ActiveConnection {
            sender,
            meter,
            server: server.clone(),
            address,
            seen_results: Vec::new(),
        })
    }

    /// Takes the most recently used idle connection to a server that can be reused.
    fn take_idle(&self, server: &ServerId, address: SocketAddr) -> Option<ActiveConnection> {
        fail_point!("connection.take");
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(server)?;
        connections.retain(|connection| {
            connection.usable_until > now
                && connection.address == address
                && !connection.sender.is_closed()
        });
        let last = connections
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        let IdleConnection {
            sender,
            meter,
            seen_results,
            ..
        } = connections.remove(last);
        Some(ActiveConnection {
            sender,
            meter,
            server: server.clone(),
            address,
            seen_results,
        })
    }

    /// Returns a connection to the pool after its answer was read completely.
    pub(crate) fn give_back(&self, connection: ActiveConnection, idle_time: Option<Duration>) {
        fail_point!("connection.give_back");
        if connection.sender.is_closed() {
            return;
        }
        let time = idle_time.map_or(IDLE_TIME, |time| time.mul_f64(IDLE_FRACTION));
        let idle_connection = IdleConnection {
            sender: connection.sender,
            meter: connection.meter,
            address: connection.address,
            usable_until: Instant::now() + time,
            seen_results: connection.seen_results,
        };
        self.idle
            .borrow_mut()
            .get_or_insert_with(connection.server, Vec::new)
            .push(idle_connection);
    }

    /// Closes connections that were idle too long or whose server is no longer listed.
    pub(crate) fn evict_idle(&self, mut is_listed: impl FnMut(&ServerId) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|server, connections| {
            connections.retain(|connection| {
                connection.usable_until > now && !connection.sender.is_closed()
            });
            !connections.is_empty() && is_listed(server)
        });
    }
}
