//! Collection of the load of backend servers.

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

/// Bounds the reads in progress.
const MAX_READS: usize = 32;
/// Gives the time after which the subset and the due servers are looked at again.
const ROUND: Duration = Duration::from_secs(1);
/// Gives the share of a pause by which polls are spread, in percent.
const JITTER_PERCENT: u64 = 20;

/// Holds the settings of the collector.
#[derive(Clone, Debug)]
pub struct CollectorSettings {
    /// The least time between polls of one server.
    pub interval: Duration,
    /// The most polls a second, over all servers.
    pub polls_per_second: usize,
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
    pub reports: Arc<LoadReportTracker>,
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
        let mut polled: SortedMap<ServerId, MonoTime> = SortedMap::new();
        while let Some(mut subset) = self.core.subset().await {
            subset.sort();
            let addresses = self.addresses();
            self.reports.keep(&subset);
            polled.retain(|server, _| subset.binary_search(server).is_ok());
            let due = self.due_servers(subset, &polled);
            if due.is_empty() {
                tokio::time::sleep(self.round().min(self.settings.interval)).await;
            }
            let pause = self.round() / u32::try_from(due.len().max(1)).unwrap_or(u32::MAX);
            for server in due {
                polled.insert(server.clone(), self.clock.now());
                if let Some(address) = addresses.get(&server) {
                    self.start_read(&server, *address, &reads);
                }
                tokio::time::sleep(jittered(pause, &mut random)).await;
            }
        }
    }

    /// Returns the length of a round, in which each server is polled at most once.
    fn round(&self) -> Duration {
        ROUND.min(self.settings.interval)
    }

    /// Returns the servers to poll in this round: those unheard of for longest.
    fn due_servers(
        &self,
        subset: Vec<ServerId>,
        polled: &SortedMap<ServerId, MonoTime>,
    ) -> Vec<ServerId> {
        let now = self.clock.now();
        let heard = |server: &ServerId| {
            let reported = self.reports.last(server).map(|last| last.at);
            reported.max(polled.get(server).copied())
        };
        let mut due: Vec<(Option<MonoTime>, ServerId)> = subset
            .into_iter()
            .map(|server| (heard(&server), server))
            .filter(|(heard, _)| heard.is_none_or(|at| now.since(at) >= self.settings.interval / 2))
            .collect();
        due.sort();
        due.truncate(self.polls_per_round());
        due.into_iter().map(|(_, server)| server).collect()
    }

    fn polls_per_round(&self) -> usize {
        let share = self.round().as_secs_f64() / ROUND.as_secs_f64();
        let polls = self.settings.polls_per_second as f64 * share;
        (polls as usize).max(1)
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

fn jittered(span: Duration, random: &mut StdRng) -> Duration {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    let spread = micros.saturating_mul(JITTER_PERCENT) / 100;
    Duration::from_micros(micros - spread / 2 + random.random_range(0..=spread))
}
