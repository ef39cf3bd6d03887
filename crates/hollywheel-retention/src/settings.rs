//! Settings of the sweep.

use std::time::Duration;

use hollywheel_types::HostId;

/// Settings of the sweep on one host.
#[derive(Clone, Debug)]
pub struct RetentionSettings {
    /// The local host.
    pub host: HostId,
    /// How long a decided claim is kept, by the wall clock.
    pub claim_retention: Duration,
    /// The delay between becoming the host that sweeps and the first call. A host that has just
    /// started knows no other hosts yet and would otherwise always start to sweep.
    pub start_delay: Duration,
    /// The minimum time between two calls of the table service.
    pub call_interval: Duration,
    /// The pause between two passes over the claims.
    pub pass_interval: Duration,
    /// The minimum delay before a failed call is retried.
    pub retry_delay: Duration,
    /// How long to wait for the answer to a call.
    pub call_timeout: Duration,
    /// The maximum number of rows that one call reads.
    pub page_rows: u32,
}

impl Default for RetentionSettings {
    fn default() -> Self {
        Self {
            host: "host".parse().expect("the default host name is valid"),
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
