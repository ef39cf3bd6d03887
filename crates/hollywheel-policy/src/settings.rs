//! Settings of the policy.

use std::fmt;
use std::str::FromStr;

use hollywheel_types::{DomainId, HostId, IdError};

/// Names the ways to choose a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RoutingPolicy {
    /// Any server, with equal chance.
    Random,
    /// The server with the least load in the last reports.
    LeastReported,
    /// The less loaded of two random servers, counting this host's own requests.
    #[default]
    TwoChoices,
    /// The server that holds the prompt prefix, unless it is loaded above a bound.
    PrefixAffinity,
}

impl RoutingPolicy {
    /// Lists every policy.
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

/// Holds the settings of the policy of one host.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// The host, which decides its subset of backend servers.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: DomainId,
    /// The seed of random choices.
    pub seed: u64,
    /// The way to choose a backend server.
    pub routing: RoutingPolicy,
    /// The largest number of backend servers of one pool that the host uses.
    pub subset_size: usize,
    /// The largest number of requests waiting for admission.
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
