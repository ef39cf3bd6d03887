//! Polling of the load of backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_types::{MonoTime, ServerId, SortedMap};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Semaphore;

use super::caller::BackendCaller;
use super::reports::LoadReportTracker;
use crate::config_view::ConfigView;
use crate::core::CoreHandle;
use crate::events::{EventContext, LogEvent, log_event};
use hollywheel_clock::HostClock;

/// Maximum number of polls in flight.
const MAX_POLLS_IN_FLIGHT: usize = 32;
/// Maximum length of a polling round. Each round determines the subset and the due servers anew.
const MAX_ROUND: Duration = Duration::from_secs(1);
/// Width of the jitter as a percentage of the pause between two polls.
const JITTER_PERCENT: u64 = 20;

/// Settings of the load collector.
#[derive(Clone, Debug)]
pub struct CollectorSettings {
    /// Polling interval. A server is due once half of it has passed since its last poll or report.
    pub interval: Duration,
    /// Maximum number of polls per second over all servers.
    pub polls_per_second: usize,
    /// Seed of the random jitter.
    pub seed: u64,
}

/// Polls the load of the subset of backend servers that this host uses.
#[derive(Clone, Debug)]
pub struct LoadCollector {
    /// Settings of the collector.
    pub settings: CollectorSettings,
    /// Client for backend servers.
    pub backend: BackendCaller,
    /// Receives the load reports.
    pub reports: Arc<LoadReportTracker>,
    /// Handle to the decision machine.
    pub core: CoreHandle,
    /// Clock of the host.
    pub clock: HostClock,
    /// Configuration in force, which holds the addresses of the servers.
    pub config: Arc<ConfigView>,
}

impl LoadCollector {
    /// Runs until the task that owns the decision machine ends.
    pub async fn run(self) {
        let mut random = StdRng::seed_from_u64(self.settings.seed);
        let poll_permits = Arc::new(Semaphore::new(MAX_POLLS_IN_FLIGHT));
        let mut last_polls: SortedMap<ServerId, MonoTime> = SortedMap::new();
        while let Some(mut subset) = self.core.subset().await {
            subset.sort();
            let server_addresses = self.server_addresses();
            self.reports.retain_servers(&subset);
            last_polls.retain(|server, _| subset.binary_search(server).is_ok());
            let due = self.due_servers(subset, &last_polls);
            if due.is_empty() {
                tokio::time::sleep(self.round_length().min(self.settings.interval)).await;
            }
            let pause = self.round_length() / u32::try_from(due.len().max(1)).unwrap_or(u32::MAX);
            for server in due {
                last_polls.insert(server.clone(), self.clock.now());
                if let Some(address) = server_addresses.get(&server) {
                    self.start_poll(&server, *address, &poll_permits);
                }
                tokio::time::sleep(add_jitter(pause, &mut random)).await;
            }
        }
    }

    /// Returns the length of a round; each server is polled at most once per round.
    fn round_length(&self) -> Duration {
        MAX_ROUND.min(self.settings.interval)
    }

    /// Returns the servers to poll in this round, starting with those whose last poll or report
    /// is the oldest.
    fn due_servers(
        &self,
        subset: Vec<ServerId>,
        last_polls: &SortedMap<ServerId, MonoTime>,
    ) -> Vec<ServerId> {
        let now = self.clock.now();
        let seen = |server: &ServerId| {
            let reported = self.reports.last(server).map(|last| last.at);
            reported.max(last_polls.get(server).copied())
        };
        let mut due: Vec<(Option<MonoTime>, ServerId)> = subset
            .into_iter()
            .map(|server| (seen(&server), server))
            .filter(|(seen, _)| seen.is_none_or(|at| now.since(at) >= self.settings.interval / 2))
            .collect();
        due.sort();
        due.truncate(self.polls_per_round());
        due.into_iter().map(|(_, server)| server).collect()
    }

    fn polls_per_round(&self) -> usize {
        let share = self.round_length().as_secs_f64() / MAX_ROUND.as_secs_f64();
        let polls = self.settings.polls_per_second as f64 * share;
        (polls as usize).max(1)
    }

    fn start_poll(&self, server: &ServerId, address: SocketAddr, poll_permits: &Arc<Semaphore>) {
        let Ok(permit) = Arc::clone(poll_permits).try_acquire_owned() else {
            return;
        };
        let collector = self.clone();
        let server = server.clone();
        tokio::spawn(async move {
            collector.poll_server(&server, address).await;
            drop(permit);
        });
    }

    async fn poll_server(&self, server: &ServerId, address: SocketAddr) {
        let Some(report) = self.backend.read_report(address).await else {
            log_event(
                LogEvent::LoadUnreachable,
                &EventContext::default(),
                &format!("{server} at {address}"),
            );
            return;
        };
        if report.server == *server {
            self.reports
                .record(&self.core, report, Duration::ZERO)
                .await;
        }
    }

    fn server_addresses(&self) -> SortedMap<ServerId, SocketAddr> {
        let published = self.config.get();
        let pools = published.iter().flat_map(|published| &published.set.pools);
        pools
            .flat_map(|pool| &pool.servers)
            .map(|server| (server.name.clone(), server.address))
            .collect()
    }
}

fn add_jitter(span: Duration, random: &mut StdRng) -> Duration {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    let spread = micros.saturating_mul(JITTER_PERCENT) / 100;
    Duration::from_micros(micros - spread / 2 + random.random_range(0..=spread))
}
