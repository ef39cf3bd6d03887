//! Scenarios of the simulation and the constants they share.

use std::time::Duration;

/// Number of backend servers.
pub(crate) const SERVERS: usize = 20;
/// Slots of each server.
pub(crate) const SLOTS: usize = 4;
/// Slots of all servers.
pub(crate) const CAPACITY: f64 = (SERVERS * SLOTS) as f64;
/// Share of arrivals, mean service time and deadline, both in milliseconds, by class.
pub(crate) const CLASS_MIX: [(f64, f64, u32); 4] = [
    (0.20, 20.0, 300),
    (0.30, 20.0, 300),
    (0.35, 200.0, 1500),
    (0.15, 600.0, 15_000),
];
/// Standard deviation of the logarithm of the service time.
pub(crate) const LATENCY_SIGMA: f64 = 0.5;
/// One-way network delay.
pub(crate) const NETWORK_DELAY: Duration = Duration::from_micros(500);
/// Time until an attempt at a partitioned server fails.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Parameters of one scenario. Loads are multiples of the capacity; the window is the time of the
/// peak load and of the fault, in seconds.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) base_load: f64,
    pub(crate) window_load: f64,
    pub(crate) window_start: u64,
    pub(crate) window_end: u64,
    pub(crate) total_seconds: u64,
    /// The factor on the service time of the first server during the window.
    pub(crate) slowdown: f64,
    /// Whether the first failure domain is unreachable during the window.
    pub(crate) is_partitioned: bool,
    pub(crate) hosts: usize,
    pub(crate) report_interval_ms: u32,
    /// Whether answers carry a load report.
    pub(crate) piggyback_reports: bool,
    /// The hedge budget, in percent of the first attempts.
    pub(crate) hedge: u8,
    /// The number of retries of a caller after a rejection.
    pub(crate) client_retries: u32,
    /// Whether servers queue by class rather than first come, first served.
    pub(crate) priority_queue: bool,
}

/// Builds a scenario from the defaults and a change to them.
pub(crate) fn scenario(name: &'static str, change: fn(&mut Scenario)) -> Scenario {
    let mut scenario = Scenario {
        name,
        base_load: 0.8,
        window_load: 0.8,
        window_start: 10,
        window_end: 30,
        total_seconds: 30,
        slowdown: 1.0,
        is_partitioned: false,
        hosts: 9,
        report_interval_ms: 500,
        piggyback_reports: true,
        hedge: 0,
        client_retries: 0,
        priority_queue: true,
    };
    change(&mut scenario);
    scenario
}

/// Lists all scenarios.
pub(crate) fn scenarios() -> [Scenario; 12] {
    [
        scenario("steady-0.8", |_| {}),
        scenario("steady-plain-queue", |s| s.priority_queue = false),
        scenario("slow-3x", |s| s.slowdown = 3.0),
        scenario("slow-10x", |s| s.slowdown = 10.0),
        scenario("slow-10x-hedge", |s| (s.slowdown, s.hedge) = (10.0, 5)),
        scenario("domain-cut", |s| {
            (s.is_partitioned, s.base_load, s.window_load) = (true, 0.6, 0.6);
        }),
        scenario("burst-3x-10s", |s| {
            (s.window_load, s.window_end, s.total_seconds) = (2.4, 20, 40);
        }),
        scenario("twice-60s", |s| {
            (s.window_load, s.window_end, s.total_seconds) = (2.0, 70, 90);
        }),
        scenario("twice-60s-retry", |s| {
            (
                s.window_load,
                s.window_end,
                s.total_seconds,
                s.client_retries,
            ) = (2.0, 70, 90, 2);
        }),
        scenario("hosts-40", |s| s.hosts = 40),
        scenario("stale-reports", |s| {
            (s.report_interval_ms, s.piggyback_reports) = (2000, false);
        }),
        scenario("stale-40-hosts", |s| {
            (s.report_interval_ms, s.piggyback_reports, s.hosts) = (2000, false, 40);
        }),
    ]
}
