//! Settings of the stand-in for a model engine.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// The address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// The name of the server.
    pub name: String,
    /// The number of streams that are generated at once.
    pub slots: u32,
    /// The number of streams that may be queued; further ones are refused as not run.
    pub queue_limit: u32,
    /// The initially loaded models.
    pub models: Vec<String>,
    /// The time of a step with one stream.
    pub token_time: Duration,
    /// The fraction of that time by which each further stream lengthens a step.
    pub batch_growth: f64,
    /// The processing time per byte of the prompt.
    pub prompt_byte_time: Duration,
    /// The fraction of the prompt's processing time that remains if its prefix is cached.
    pub cached_share: f64,
    /// The capacity of the cache, in prompt prefixes.
    pub cache_size: u32,
    /// The interval of lost cache events: with 10, every tenth is lost; with zero, none.
    pub cache_gap_every: u64,
    /// The age of load reports and cache events when they are returned.
    pub load_lag: Duration,
    /// Whether orders with old fencing numbers are refused.
    pub fencing: bool,
    /// The address of the weight store; none if models are loaded without reading.
    pub weights: Option<SocketAddr>,
    /// The token that the platform requires.
    pub platform_token: Option<String>,
    /// The time to load a model after it was read.
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
