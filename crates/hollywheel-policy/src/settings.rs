//! Settings of the policy engine.

use std::fmt;
use std::str::FromStr;

use hollywheel_types::{DomainId, HostId, IdError};

/// Strategy for choosing a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RoutingPolicy {
    /// A server chosen uniformly at random.
    Random,
    /// The server with the lowest load in the latest reports.
    LeastReported,
    /// The less loaded of two random servers, including this host's requests in flight.
    #[default]
    TwoChoices,
    /// The server that has the prompt prefix cached, unless its load exceeds a bound.
    PrefixAffinity,
}

impl RoutingPolicy {
    /// Lists all strategies.
    pub const ALL: [Self; 4] = [
        Self::Random,
        Self::LeastReported,
        Self::TwoChoices,
        Self::PrefixAffinity,
    ];

    /// Returns the name used in settings and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastReported => "least-reported",
            Self::TwoChoices => "two-choices",
            Self::PrefixAffinity => "prefix-affinity",
        }
    }
}

impl fmt::Display for RoutingPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for RoutingPolicy {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        Self::ALL
            .into_iter()
            .find(|policy| policy.name() == text)
            .ok_or_else(|| IdError::UnknownName {
                kind: "routing policy",
                given: text.to_owned(),
                expected: "random, least-reported, two-choices or prefix-affinity",
            })
    }
}

/// Settings of the policy engine of one host.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// The host itself, whose name determines its subset of backend servers.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: DomainId,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The strategy for choosing a backend server.
    pub routing: RoutingPolicy,
    /// The largest number of backend servers of one pool that the host uses.
    pub subset_size: usize,
    /// The largest number of requests queued for admission.
    pub max_queued: usize,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            host: "host".parse().expect("a valid name"),
            domain: "domain".parse().expect("a valid name"),
            seed: 1,
            routing: RoutingPolicy::default(),
            subset_size: 20,
            max_queued: 1024,
        }
    }
}
