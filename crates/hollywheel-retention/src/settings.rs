//! The settings of the sweep.

use std::time::Duration;

use hollywheel_types::HostId;

/// Holds the settings of the sweep of one host.
#[derive(Clone, Debug)]
pub struct RetentionSettings {
    /// The host.
    pub host: HostId,
    /// The time for which a decided claim is kept, by the wall clock.
    pub claim_retention: Duration,
    /// The time between becoming the host that sweeps and the first call, since hosts that
    /// have just started know no other.
    pub start_delay: Duration,
    /// The least time between two calls of the table service.
    pub call_interval: Duration,
    /// The time between two passes.
    pub pass_interval: Duration,
    /// The least time before a call that failed is made again.
    pub retry_delay: Duration,
    /// The time after which a call without an answer is given up.
    pub call_timeout: Duration,
    /// The most rows that one call reads.
    pub page_rows: u32,
}

impl Default for RetentionSettings {
    fn default() -> Self {
        Self {
            host: "host".parse().expect("a valid name"),
            claim_retention: Duration::from_secs(168 * 3600),
            start_delay: Duration::from_secs(60),
            call_interval: Duration::from_millis(400),
            pass_interval: Duration::from_secs(600),
            retry_delay: Duration::from_secs(5),
            call_timeout: Duration::from_secs(5),
            page_rows: 1000,
        }
    }
}
