//! The scenarios and what they share.

use std::time::Duration;

pub(crate) const SERVERS: usize = 20;
pub(crate) const SLOTS: usize = 4;
pub(crate) const CAPACITY: f64 = (SERVERS * SLOTS) as f64;
/// Share of arrivals, mean service time and deadline in milliseconds, by class.
pub(crate) const MIX: [(f64, f64, u32); 4] = [
    (0.20, 20.0, 300),
    (0.30, 20.0, 300),
    (0.35, 200.0, 1500),
    (0.15, 600.0, 15_000),
];
pub(crate) const SIGMA: f64 = 0.5;
pub(crate) const NETWORK: Duration = Duration::from_micros(500);
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Holds one scenario; times are seconds.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) load: f64,
    pub(crate) peak: f64,
    pub(crate) from: u64,
    pub(crate) until: u64,
    pub(crate) total: u64,
    pub(crate) slow: f64,
    pub(crate) cut: bool,
    pub(crate) hosts: usize,
    pub(crate) report_ms: u32,
    pub(crate) piggyback: bool,
    pub(crate) hedge: u8,
    pub(crate) client_retries: u32,
    pub(crate) priority: bool,
}

pub(crate) fn scenario(name: &'static str, change: fn(&mut Scenario)) -> Scenario {
    let mut scenario = Scenario {
        name,
        load: 0.8,
        peak: 0.8,
        from: 10,
        until: 30,
        total: 30,
        slow: 1.0,
        cut: false,
        hosts: 9,
        report_ms: 500,
        piggyback: true,
        hedge: 0,
        client_retries: 0,
        priority: true,
    };
    change(&mut scenario);
    scenario
}

pub(crate) fn scenarios() -> [Scenario; 12] {
    [
        scenario("steady-0.8", |_| {}),
        scenario("steady-plain-queue", |s| s.priority = false),
        scenario("slow-3x", |s| s.slow = 3.0),
        scenario("slow-10x", |s| s.slow = 10.0),
        scenario("slow-10x-hedge", |s| (s.slow, s.hedge) = (10.0, 5)),
        scenario("domain-cut", |s| {
            (s.cut, s.load, s.peak) = (true, 0.6, 0.6);
        }),
        scenario("burst-3x-10s", |s| {
            (s.peak, s.until, s.total) = (2.4, 20, 40);
        }),
        scenario("twice-60s", |s| {
            (s.peak, s.until, s.total) = (2.0, 70, 90);
        }),
        scenario("twice-60s-retry", |s| {
            (s.peak, s.until, s.total, s.client_retries) = (2.0, 70, 90, 2);
        }),
        scenario("hosts-40", |s| s.hosts = 40),
        scenario("stale-reports", |s| {
            (s.report_ms, s.piggyback) = (2000, false);
        }),
        scenario("stale-40-hosts", |s| {
            (s.report_ms, s.piggyback, s.hosts) = (2000, false, 40);
        }),
    ]
}
