//! What the simulation of engines plays and measures.

/// Tokens that an engine prefills per millisecond.
pub const RATE: f64 = 112.0;
/// Tokens in the memory of an engine.
pub const MEMORY: u64 = 721_027;
/// Requests that an engine runs at once.
pub const SLOTS: u32 = 128;
/// Time from one generated token to the next, in milliseconds.
pub const TOKEN_MS: u64 = 15;
/// Time from a request to its first event beside the prefill, in milliseconds.
pub const FIXED_MS: f64 = 20.0;

/// Describes a kind of request.
#[derive(Clone, Copy)]
pub struct Kind {
    pub per_second: f64,
    /// Tokens of the part that all requests of the kind share, and of the one that some share.
    pub shared: (u32, u32),
    pub own: u32,
    pub objective_ms: u64,
}

/// The kinds of the uneven deployment.
pub const KINDS: [Kind; 3] = [
    Kind {
        per_second: 73.0,
        shared: (1300, 12_000),
        own: 3720,
        objective_ms: 1000,
    },
    Kind {
        per_second: 98.0,
        shared: (800, 5500),
        own: 2890,
        objective_ms: 3000,
    },
    Kind {
        per_second: 79.0,
        shared: (50, 300),
        own: 1110,
        objective_ms: 1500,
    },
];
pub const PARTS_PER_KIND: usize = 1100;
/// Output tokens of each request.
pub const OUTPUT: u32 = 150;

/// Describes a burst in which a share of the requests of the first kind has one part.
#[derive(Clone, Copy)]
pub struct Burst {
    pub begin_ms: u64,
    pub end_ms: u64,
    pub per_second: f64,
}

/// Describes what is simulated.
#[derive(Clone)]
pub struct Plan {
    pub hosts: usize,
    pub engines: usize,
    pub end_ms: u64,
    pub burst: Option<Burst>,
    pub scale: f64,
    pub memory: u64,
    /// Whether engines are chosen by the estimate.
    pub by_estimate: bool,
    /// Slowdown of the first holder of the popular part.
    pub slow_holder: f64,
    /// When the first holder of the popular part restarts.
    pub restart_ms: Option<u64>,
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            hosts: 66,
            engines: 90,
            end_ms: 60_000,
            burst: None,
            scale: 1.0,
            memory: MEMORY,
            by_estimate: true,
            slow_holder: 1.0,
            restart_ms: None,
            seed: 1,
        }
    }
}

/// What a simulation measured.
#[derive(Default)]
pub struct Report {
    pub placed: usize,
    pub refused: usize,
    /// Requests by engine, and those within the burst.
    pub by_engine: Vec<f64>,
    pub burst_by_engine: Vec<f64>,
    /// Requests with the popular part by engine.
    pub popular_by_engine: Vec<usize>,
    /// The most requests with the popular part that one engine got in a second; the same after the
    /// first two seconds of the burst.
    pub most_popular_in_a_second: usize,
    pub most_popular_later: usize,
    /// Shared tokens in requests, and those prefilled again after the first time.
    pub shared_tokens: u64,
    pub repeated_tokens: u64,
    /// Times to the first event by kind, in milliseconds; of the requests of the burst.
    pub first_ms: [Vec<f64>; 3],
    pub burst_first_ms: Vec<f64>,
    pub late: usize,
    /// The highest share of an engine's memory that requests in execution held.
    pub memory_share: f64,
    /// Requests of the popular part in the last two seconds, by engine.
    pub holders_at_end: usize,
}

impl Report {
    pub fn imbalance(counts: &[f64]) -> f64 {
        let mean = counts.iter().sum::<f64>() / counts.len() as f64;
        counts.iter().copied().fold(0.0, f64::max) / mean
    }

    pub fn quantile(times: &[f64], part: f64) -> f64 {
        let mut sorted = times.to_vec();
        sorted.sort_by(f64::total_cmp);
        sorted
            .get(((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0.0)
    }
}
