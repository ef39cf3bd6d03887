//! Connections to backend servers, kept for the next request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use hollywheel_serving::PieceHandle;
use hollywheel_types::{ServerId, SortedMap};

use crate::connect::connect;

/// A server on the same network answers an opening packet within milliseconds; one that is dark
/// never does.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// An idle connection is used again for this time, unless the server says otherwise.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// The part of the server's idle time for which a connection is used, so that a request does
/// not cross the server's close.
const IDLE_FRACTION: f64 = 0.6;

/// A connection that the server dropped is reset by the first packet, within a few round trips
/// of a region; one that breaks later was lost with its server.
const STALE_RESET_TIME: Duration = Duration::from_millis(20);

/// The largest head of an answer; heads of servers have some hundred bytes.
const MAX_HEAD: usize = 64 * 1024;
/// Results of earlier calls that a connection remembers, those of the last two or more: a server
/// that sends an answer again does so for one of the last.
const REMEMBERED_RESULTS: usize = 512;

/// Holds the body of a request, which is always complete before it is sent.
pub(crate) type CallBody = Full<Bytes>;

/// Says why there is no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have reached the server.
    Broken,
}

struct IdleConnection {
    sender: SendRequest<CallBody>,
    address: SocketAddr,
    usable_until: Instant,
    seen_results: Vec<PieceHandle>,
}

/// Keeps idle connections by server.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<SortedMap<ServerId, Vec<IdleConnection>>>,
}

/// Holds a connection while a request is on it. Dropping it closes the connection.
pub(crate) struct ActiveConnection {
    sender: SendRequest<CallBody>,
    server: ServerId,
    address: SocketAddr,
    /// Results that came on the connection, oldest first.
    seen_results: Vec<PieceHandle>,
}

impl ActiveConnection {
    /// Notes the results that an answer brings; returns whether the connection has brought one of
    /// them before, so that the answer is the copy of an earlier one.
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
    ) -> Result<(Response<Incoming>, Self), SendFailure> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok((response, self)),
            // The request comes back only if the connection did not take it.
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendFailure::NotSent),
                None => Err(SendFailure::Broken),
            },
        }
    }
}

impl ConnectionPool {
    /// Sends a request on a kept connection or a new one and returns the head of the answer.
    pub(crate) async fn send(
        &self,
        server: &ServerId,
        address: SocketAddr,
        request: Request<CallBody>,
    ) -> Result<(Response<Incoming>, ActiveConnection), SendFailure> {
        let connection = match self.take_idle(server, address) {
            Some(connection) => connection,
            None => self.open(server, address).await?,
        };
        connection.send(request).await
    }

    /// Sends a request that may run twice. If a kept connection breaks before its answer, as one
    /// that the server dropped silently does, the request goes out again on a new one.
    pub(crate) async fn send_idempotent(
        &self,
        server: &ServerId,
        address: SocketAddr,
        request: Request<CallBody>,
    ) -> Result<(Response<Incoming>, ActiveConnection), SendFailure> {
        let Some(connection) = self.take_idle(server, address) else {
            return self.open(server, address).await?.send(request).await;
        };
        let sent_at = Instant::now();
        match connection.send(request.clone()).await {
            Err(_) if sent_at.elapsed() < STALE_RESET_TIME => {
                self.open(server, address).await?.send(request).await
            }
            ended => ended,
        }
    }

    async fn open(
        &self,
        server: &ServerId,
        address: SocketAddr,
    ) -> Result<ActiveConnection, SendFailure> {
        let stream = connect(address, CONNECT_TIMEOUT)
            .await
            .map_err(|_| SendFailure::NotSent)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendFailure::NotSent)?;
        // Every error of the connection reaches the request that is on it.
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(ActiveConnection {
            sender,
            server: server.clone(),
            address,
            seen_results: Vec::new(),
        })
    }

    fn take_idle(&self, server: &ServerId, address: SocketAddr) -> Option<ActiveConnection> {
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
            seen_results,
            ..
        } = connections.remove(last);
        Some(ActiveConnection {
            sender,
            server: server.clone(),
            address,
            seen_results,
        })
    }

    /// Keeps a connection whose answer was read completely.
    pub(crate) fn give_back(&self, connection: ActiveConnection, idle_time: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let time = idle_time.map_or(IDLE_TIME, |time| time.mul_f64(IDLE_FRACTION));
        let idle_connection = IdleConnection {
            sender: connection.sender,
            address: connection.address,
            usable_until: Instant::now() + time,
            seen_results: connection.seen_results,
        };
        self.idle
            .borrow_mut()
            .get_or_insert_with(connection.server, Vec::new)
            .push(idle_connection);
    }

    /// Closes the connections that were idle for too long or belong to servers that left.
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
