//! State shared by all calls of the listener for callers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use hollywheel_types::RequestId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::config_view::ConfigView;
use crate::core::CoreHandle;
use crate::metrics::DaemonMetrics;
use crate::traces::TraceRing;
use crate::web::ConnectionLimit;
use hollywheel_clock::HostClock;

/// Settings of the listener for callers.
#[derive(Clone, Copy, Debug)]
pub struct FrontSettings {
    /// Maximum size of a request body in bytes.
    pub max_body: u64,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Number of worker threads.
    pub workers: usize,
}

impl Default for FrontSettings {
    fn default() -> Self {
        Self {
            max_body: 1024 * 1024,
            max_connections: 4096,
            workers: 2,
        }
    }
}

/// State shared by all calls of the listener for callers.
#[derive(Debug)]
pub struct FrontState {
    /// Settings of the listener.
    pub settings: FrontSettings,
    /// Handle to the decision machine.
    pub core: CoreHandle,
    /// Configuration in force.
    pub config: Arc<ConfigView>,
    /// Clock of the host.
    pub clock: HostClock,
    /// Metrics of the host.
    pub metrics: Arc<DaemonMetrics>,
    /// Limit on open connections.
    pub connections: Arc<ConnectionLimit>,
    /// Traces of recent requests.
    pub traces: Arc<TraceRing>,
    draining: AtomicBool,
    random: Mutex<StdRng>,
}

impl FrontState {
    /// Creates the state; `seed` initializes the random number generator.
    pub fn new(
        settings: FrontSettings,
        core: CoreHandle,
        config: Arc<ConfigView>,
        clock: HostClock,
        metrics: Arc<DaemonMetrics>,
        traces: Arc<TraceRing>,
        seed: [u8; 32],
    ) -> Self {
        let connections = metrics.connections("callers");
        let connections = ConnectionLimit::new(settings.max_connections, connections);
        Self {
            settings,
            core,
            config,
            clock,
            metrics,
            connections: Arc::new(connections),
            traces,
            draining: AtomicBool::new(false),
            random: Mutex::new(StdRng::from_seed(seed)),
        }
    }

    /// Returns a random request identifier.
    pub fn draw_request(&self) -> RequestId {
        RequestId(self.draw())
    }

    /// Returns 128 random bits.
    pub fn draw(&self) -> u128 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.random()
    }

    /// Returns whether the host accepts requests: it has a configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.config.get().is_some()
    }

    /// Marks the host as draining.
    pub fn begin_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns whether the graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}
