//! Limit on the number of open connections of a listener.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use xitca_web::service::Service;
use xitca_web::service::ready::ReadyService;

use crate::metrics::ConnectionMetrics;

/// Counts the open connections of a listener and limits their number.
#[derive(Debug)]
pub struct ConnectionLimit {
    max: usize,
    open: AtomicUsize,
    metrics: ConnectionMetrics,
}

impl ConnectionLimit {
    /// Creates a limit without open connections.
    pub fn new(max: usize, metrics: ConnectionMetrics) -> Self {
        Self {
            max,
            open: AtomicUsize::new(0),
            metrics,
        }
    }

    /// Counts a connection as open until the returned guard is dropped; returns `None` if the limit
    /// is reached.
    pub fn try_open(self: &Arc<Self>) -> Option<ConnectionGuard> {
        let opened = self
            .open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |open| {
                (open < self.max).then_some(open + 1)
            });
        if opened.is_err() {
            self.metrics.refused();
            return None;
        }
        self.metrics.opened();
        Some(ConnectionGuard {
            limit: Arc::clone(self),
        })
    }
}

/// Counts one connection as open until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    limit: Arc<ConnectionLimit>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.limit.open.fetch_sub(1, Ordering::AcqRel);
        self.limit.metrics.closed();
    }
}

/// Builder of [`LimitService`].
#[derive(Debug)]
pub struct LimitBuilder(pub Arc<ConnectionLimit>);

impl<S, E> Service<Result<S, E>> for LimitBuilder {
    type Response = LimitService<S>;
    type Error = E;

    async fn call(&self, built: Result<S, E>) -> Result<Self::Response, E> {
        built.map(|service| LimitService {
            limit: Arc::clone(&self.0),
            service,
        })
    }
}

/// Service that passes connections on up to the limit and closes further ones at once.
#[derive(Debug)]
pub struct LimitService<S> {
    limit: Arc<ConnectionLimit>,
    service: S,
}

impl<S, C> Service<C> for LimitService<S>
where
    S: Service<C, Response = ()>,
{
    type Response = ();
    type Error = S::Error;

    async fn call(&self, connection: C) -> Result<(), S::Error> {
        // Dropping the connection closes it before anything is read from it.
        let Some(_guard) = self.limit.try_open() else {
            return Ok(());
        };
        self.service.call(connection).await
    }
}

impl<S: ReadyService> ReadyService for LimitService<S> {
    type Ready = S::Ready;

    async fn ready(&self) -> Self::Ready {
        self.service.ready().await
    }
}
