//! Stand-in for plain services, some of whose calls must not be repeated.

use std::net::SocketAddr;
use std::time::Duration;

use crate::handle::StandinHandle;
use crate::random::ServiceTimes;
use crate::runner::{RunServer, RunnerSettings};
use crate::serve;

/// Settings of one server of a plain service. The server does not deduplicate calls by their
/// idempotency key, and it completes running calls even if they are cancelled.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// The address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// The name of the server.
    pub name: String,
    /// The number of calls that are executed at once.
    pub slots: u32,
    /// The number of calls that may be queued; further ones are refused as not run.
    pub queue_limit: u32,
    /// The median service time.
    pub median: Duration,
    /// The standard deviation of the logarithms of the service times.
    pub sigma: f64,
    /// The age of load reports when they are returned.
    pub load_lag: Duration,
    /// The seed of the random service times.
    pub seed: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "service-1".to_owned(),
            slots: 16,
            queue_limit: 256,
            median: Duration::from_millis(10),
            sigma: 0.3,
            load_lag: Duration::from_millis(500),
            seed: 1,
        }
    }
}

/// Starts one server of a plain service.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn start_service(settings: ServiceSettings) -> std::io::Result<StandinHandle> {
    let server = RunServer::new(RunnerSettings {
        name: settings.name,
        work: "call",
        slots: settings.slots,
        queue_limit: settings.queue_limit,
        load_lag: settings.load_lag,
        times: ServiceTimes::new(settings.seed, settings.median, settings.sigma, 0.0),
        stops_running: false,
    });
    serve::start(settings.listen, server.stop_token(), server).await
}
