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
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// An idle connection is used again for this time, unless the server says otherwise.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// The part of the server's idle time for which a connection is used, so that a request does
/// not cross the server's close.
const IDLE_PART: f64 = 0.6;

/// A connection that the server dropped is reset by the first packet, within a few round trips
/// of a region; one that breaks later was lost with its server.
const STALE_LIMIT: Duration = Duration::from_millis(20);

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
    brought: Vec<PieceHandle>,
}

/// Keeps idle connections by server.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<SortedMap<ServerId, Vec<IdleConnection>>>,
}

/// Holds a connection while a request is on it. Dropping it closes the connection.
pub(crate) struct HeldConnection {
    sender: SendRequest<CallBody>,
    server: ServerId,
    address: SocketAddr,
    /// Results that came on the connection, oldest first.
    brought: Vec<PieceHandle>,
}

impl HeldConnection {
    /// Notes the results that an answer brings; returns whether the connection has brought one of
    /// them before, so that the answer is the copy of an earlier one.
    pub(crate) fn note_results(&mut self, results: &[PieceHandle]) -> bool {
        let is_copy = results.iter().any(|result| self.brought.contains(result));
        self.brought.extend_from_slice(results);
        let excess = self.brought.len().saturating_sub(REMEMBERED_RESULTS);
        self.brought.drain(..excess);
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
    ) -> Result<(Response<Incoming>, HeldConnection), SendFailure> {
        let held = match self.take_idle(server, address) {
            Some(held) => held,
            None => self.open(server, address).await?,
        };
        held.send(request).await
    }

    /// Sends a request that may run twice. If a kept connection breaks before its answer, as one
    /// that the server dropped silently does, the request goes out again on a new one.
    pub(crate) async fn send_repeatable(
        &self,
        server: &ServerId,
        address: SocketAddr,
        request: Request<CallBody>,
    ) -> Result<(Response<Incoming>, HeldConnection), SendFailure> {
        let Some(held) = self.take_idle(server, address) else {
            return self.open(server, address).await?.send(request).await;
        };
        let sent_at = Instant::now();
        match held.send(request.clone()).await {
            Err(_) if sent_at.elapsed() < STALE_LIMIT => {
                self.open(server, address).await?.send(request).await
            }
            ended => ended,
        }
    }

    async fn open(
        &self,
        server: &ServerId,
        address: SocketAddr,
    ) -> Result<HeldConnection, SendFailure> {
        let stream = connect(address, CONNECT_LIMIT)
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
        Ok(HeldConnection {
            sender,
            server: server.clone(),
            address,
            brought: Vec::new(),
        })
    }

    fn take_idle(&self, server: &ServerId, address: SocketAddr) -> Option<HeldConnection> {
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
            sender, brought, ..
        } = connections.remove(last);
        Some(HeldConnection {
            sender,
            server: server.clone(),
            address,
            brought,
        })
    }

    /// Keeps a connection whose answer was read completely.
    pub(crate) fn keep(&self, held: HeldConnection, idle_time: Option<Duration>) {
        if held.sender.is_closed() {
            return;
        }
        let time = idle_time.map_or(IDLE_TIME, |time| time.mul_f64(IDLE_PART));
        let connection = IdleConnection {
            sender: held.sender,
            address: held.address,
            usable_until: Instant::now() + time,
            brought: held.brought,
        };
        self.idle
            .borrow_mut()
            .get_or_insert_with(held.server, Vec::new)
            .push(connection);
    }

    /// Closes the connections that were idle for too long or belong to servers that left.
    pub(crate) fn sweep(&self, mut is_listed: impl FnMut(&ServerId) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|server, connections| {
            connections.retain(|connection| {
                connection.usable_until > now && !connection.sender.is_closed()
            });
            !connections.is_empty() && is_listed(server)
        });
    }
}
