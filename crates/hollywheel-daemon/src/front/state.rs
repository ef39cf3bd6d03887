//! What every call needs.

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

/// Holds the settings of the listener for callers.
#[derive(Clone, Copy, Debug)]
pub struct FrontSettings {
    /// The largest request body in bytes.
    pub max_body: u64,
    /// The largest number of open connections.
    pub max_connections: usize,
    /// The threads that serve callers.
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

/// Holds what every call needs.
#[derive(Debug)]
pub struct FrontState {
    /// The settings.
    pub settings: FrontSettings,
    /// The way to the machine.
    pub core: CoreHandle,
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The clock.
    pub clock: HostClock,
    /// The metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// The bound on open connections.
    pub connections: Arc<ConnectionLimit>,
    /// The recent requests.
    pub traces: Arc<TraceRing>,
    draining: AtomicBool,
    random: Mutex<StdRng>,
}

impl FrontState {
    /// Creates the state.
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

    /// Draws the id of a request.
    pub fn draw_request(&self) -> RequestId {
        RequestId(self.draw())
    }

    /// Draws 128 random bits.
    pub fn draw(&self) -> u128 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.random()
    }

    /// Says whether the host takes requests.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.config.get().is_some()
    }

    /// Notes that the graceful shutdown has begun.
    pub fn begin_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Says whether the graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}
