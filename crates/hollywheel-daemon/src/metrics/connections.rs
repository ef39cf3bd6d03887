//! Metrics of the connections of a listener.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

/// Connection metrics of one listener.
#[derive(Clone, Debug, Default)]
pub struct ConnectionMetrics {
    pub(super) open: Gauge,
    pub(super) refused: Counter,
}

impl ConnectionMetrics {
    /// Records that a connection was opened.
    pub fn opened(&self) {
        self.open.inc();
    }

    /// Records that a connection was closed.
    pub fn closed(&self) {
        self.open.dec();
    }

    /// Records that a connection was refused because the connection limit was reached.
    pub fn refused(&self) {
        self.refused.inc();
    }
}
