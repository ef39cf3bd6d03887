//! Collection of the load of backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_types::{ServerId, SortedMap};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Semaphore;

use super::caller::BackendCaller;
use super::reports::ReportIntake;
use crate::clock::HostClock;
use crate::config_view::ConfigView;
use crate::core::CoreHandle;
use crate::events::{EventContext, LogEvent, log_event};

/// Bounds the reads in progress.
const MAX_READS: usize = 32;
/// Gives the share of the interval by which polls are spread, in percent.
const JITTER_PERCENT: u64 = 20;

/// Holds the settings of the collector.
#[derive(Clone, Debug)]
pub struct CollectorSettings {
    /// The time between polls of one server.
    pub interval: Duration,
    /// The seed of the jitter.
    pub seed: u64,
}

/// Polls the load of the servers that this host uses.
#[derive(Clone, Debug)]
pub struct LoadCollector {
    /// The settings.
    pub settings: CollectorSettings,
    /// The client.
    pub backend: BackendCaller,
    /// Takes the reports.
    pub reports: Arc<ReportIntake>,
    /// The way to the machine.
    pub core: CoreHandle,
    /// The clock.
    pub clock: HostClock,
    /// The configuration in force, for addresses.
    pub config: Arc<ConfigView>,
}

impl LoadCollector {
    /// Runs until the task that owns the machine ends.
    pub async fn run(self) {
        let mut random = StdRng::seed_from_u64(self.settings.seed);
        let reads = Arc::new(Semaphore::new(MAX_READS));
        while let Some(subset) = self.core.subset().await {
            let addresses = self.addresses();
            self.reports.keep(&sorted(&subset));
            for server in &subset {
                if let Some(address) = addresses.get(server)
                    && !self.is_fresh(server)
                {
                    self.start_read(server, *address, &reads);
                }
            }
            tokio::time::sleep(self.pause(&mut random)).await;
        }
    }

    fn pause(&self, random: &mut StdRng) -> Duration {
        let span = u64::try_from(self.settings.interval.as_millis()).unwrap_or(u64::MAX);
        let spread = span.saturating_mul(JITTER_PERCENT) / 100;
        Duration::from_millis(span - spread / 2 + random.random_range(0..=spread))
    }

    /// Says whether an answer carried the load since the last poll.
    fn is_fresh(&self, server: &ServerId) -> bool {
        let now = self.clock.now();
        let last = self.reports.last(server);
        last.is_some_and(|last| now.since(last.at) < self.settings.interval / 2)
    }

    fn start_read(&self, server: &ServerId, address: SocketAddr, reads: &Arc<Semaphore>) {
        let Ok(permit) = Arc::clone(reads).try_acquire_owned() else {
            return;
        };
        let collector = self.clone();
        let server = server.clone();
        tokio::spawn(async move {
            collector.read_one(&server, address).await;
            drop(permit);
        });
    }

    async fn read_one(&self, server: &ServerId, address: SocketAddr) {
        let Some(report) = self.backend.read_report(address).await else {
            log_event(
                LogEvent::LoadUnreachable,
                &EventContext::default(),
                &format!("{server} at {address}"),
            );
            return;
        };
        if report.server == *server {
            self.reports.take(&self.core, report, Duration::ZERO).await;
        }
    }

    fn addresses(&self) -> SortedMap<ServerId, SocketAddr> {
        let published = self.config.get();
        let pools = published.iter().flat_map(|published| &published.set.pools);
        pools
            .flat_map(|pool| &pool.servers)
            .map(|server| (server.name.clone(), server.address))
            .collect()
    }
}

fn sorted(servers: &[ServerId]) -> Vec<ServerId> {
    let mut servers = servers.to_vec();
    servers.sort();
    servers
}
