//! Settings of a model engine.

use std::net::SocketAddr;
use std::time::Duration;

/// Sets up one model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// The address; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// The name of the server.
    pub name: String,
    /// Streams that run at once.
    pub slots: u32,
    /// Streams that wait; further ones are refused as not run.
    pub queue_limit: u32,
    /// The models that are loaded at the start.
    pub models: Vec<String>,
    /// The time of one step with one stream.
    pub token_time: Duration,
    /// The share by which each further stream lengthens a step.
    pub batch_growth: f64,
    /// The time of processing one byte of prompt.
    pub prompt_byte_time: Duration,
    /// The share of that time that remains when the prefix is cached.
    pub cached_share: f64,
    /// The prompt prefixes that the cache holds.
    pub cache_size: u32,
    /// Loses each so many-th cache event; zero loses none.
    pub cache_gap_every: u64,
    /// The lag of load reports and cache events.
    pub load_lag: Duration,
    /// Whether orders with old fencing numbers are refused.
    pub fencing: bool,
    /// The weight store that models are read from.
    pub weights: Option<SocketAddr>,
    /// The token that the platform asks for.
    pub platform_token: Option<String>,
    /// The time of loading a model after it has been read.
    pub load_time: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "engine-1".to_owned(),
            slots: 8,
            queue_limit: 256,
            models: Vec::new(),
            token_time: Duration::from_millis(10),
            batch_growth: 0.03,
            prompt_byte_time: Duration::from_micros(20),
            cached_share: 0.2,
            cache_size: 512,
            cache_gap_every: 10,
            load_lag: Duration::from_millis(500),
            fencing: true,
            weights: None,
            platform_token: None,
            load_time: Duration::from_millis(500),
        }
    }
}
