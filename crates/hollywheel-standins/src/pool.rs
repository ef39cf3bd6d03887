//! Stand-ins for encoders, retrievers and rerankers.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use crate::handle::StandinHandle;
use crate::random::ServiceTimes;
use crate::runner::{RunServer, RunnerSettings};
use crate::serve;

/// Kind of work of a pool.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PoolWork {
    /// Encodes inputs as vectors.
    Encoder,
    /// Sorts documents by relevance.
    Reranker,
    /// Searches documents.
    Retriever,
}

impl PoolWork {
    /// All kinds of work.
    pub const ALL: [Self; 3] = [Self::Encoder, Self::Reranker, Self::Retriever];

    /// Returns the name in command-line flags.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Encoder => "encoder",
            Self::Reranker => "reranker",
            Self::Retriever => "retriever",
        }
    }

    /// Returns the value of the `work` field of its calls.
    pub const fn call_name(self) -> &'static str {
        match self {
            Self::Encoder => "encode",
            Self::Reranker => "rerank",
            Self::Retriever => "retrieve",
        }
    }
}

impl fmt::Display for PoolWork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for PoolWork {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Self::ALL
            .into_iter()
            .find(|work| work.name() == text)
            .ok_or_else(|| format!("work {text:?}; expected encoder, retriever or reranker"))
    }
}

/// Settings of one server of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// The address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// The name of the server.
    pub name: String,
    /// The kind of work.
    pub work: PoolWork,
    /// The number of calls that are executed at once.
    pub slots: u32,
    /// The number of calls that may be queued; further ones are refused as not run.
    pub queue_limit: u32,
    /// The median service time.
    pub median: Duration,
    /// The standard deviation of the logarithms of the service times.
    pub sigma: f64,
    /// The autocorrelation of the logarithms of successive service times, from 0 to 1.
    pub correlation: f64,
    /// The age of load reports when they are returned.
    pub load_lag: Duration,
    /// The seed of the random service times.
    pub seed: u64,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "pool-1".to_owned(),
            work: PoolWork::Encoder,
            slots: 4,
            queue_limit: 256,
            median: Duration::from_millis(10),
            sigma: 0.5,
            correlation: 0.0,
            load_lag: Duration::from_millis(500),
            seed: 1,
        }
    }
}

/// Starts one server of a pool.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn start_pool(settings: PoolSettings) -> std::io::Result<StandinHandle> {
    let server = RunServer::new(RunnerSettings {
        name: settings.name,
        work: settings.work.call_name(),
        slots: settings.slots,
        queue_limit: settings.queue_limit,
        load_lag: settings.load_lag,
        times: ServiceTimes::new(
            settings.seed,
            settings.median,
            settings.sigma,
            settings.correlation,
        ),
        stops_running: true,
    });
    serve::start(settings.listen, server.stop_token(), server).await
}
