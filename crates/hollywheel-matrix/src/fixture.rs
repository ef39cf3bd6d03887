//! Objects and settings that all cells share.

use std::sync::{Arc, LazyLock};
use std::time::Duration;

use hollywheel_config::{ObjectSet, PublishedSet, read_toml};
use hollywheel_node::{HostInfo, HostView, NodeSettings};
use hollywheel_policy::PolicySettings;
use hollywheel_types::{
    ConfigVersion, DomainId, HostId, Incarnation, PublishId, TokenCount, WorkspaceId,
};

const OBJECTS: &str = include_str!("objects.toml");

/// Deadline of every request of the matrix.
pub const DEADLINE: Duration = Duration::from_millis(3000);

/// Number of tokens of an answer under the second version.
pub const SECOND_TOKENS: TokenCount = TokenCount(3);

static VERSIONS: LazyLock<[Arc<PublishedSet>; 2]> = LazyLock::new(|| {
    let first = read_toml("objects.toml", OBJECTS).expect("the objects are well formed");
    let mut second = first.clone();
    for stage in &mut second.stages {
        if stage.max_tokens.is_some() {
            stage.max_tokens = Some(SECOND_TOKENS);
        }
    }
    [published(1, first), published(2, second)]
});

fn published(version: u64, set: ObjectSet) -> Arc<PublishedSet> {
    Arc::new(PublishedSet {
        version: ConfigVersion(version),
        publish_id: PublishId(u128::from(version)),
        set,
    })
}

/// Returns the first published version.
pub fn first_version() -> Arc<PublishedSet> {
    Arc::clone(&VERSIONS[0])
}

/// Returns the second published version, under which answers have fewer tokens.
pub fn second_version() -> Arc<PublishedSet> {
    Arc::clone(&VERSIONS[1])
}

/// Returns the name of a host.
pub fn host_name(host: usize) -> HostId {
    let names = ["entry-a", "entry-b"];
    names[host].parse().expect("a valid name")
}

/// Returns the workspace of all callers.
pub fn workspace() -> WorkspaceId {
    "clerks".parse().expect("a valid name")
}

/// Returns the settings of a host's process.
pub fn settings(host: usize, incarnation: Incarnation, seed: u64) -> NodeSettings {
    NodeSettings {
        policy: PolicySettings {
            host: host_name(host),
            domain: domain(),
            seed,
            ..PolicySettings::default()
        },
        incarnation,
        ..NodeSettings::default()
    }
}

fn domain() -> DomainId {
    "medeu".parse().expect("a valid name")
}

/// Returns a view of the hosts; none for a host that is considered dead.
pub fn view(incarnations: [Option<Incarnation>; 2]) -> HostView {
    let info = |(host, incarnation): (usize, &Option<Incarnation>)| {
        incarnation.map(|incarnation| HostInfo {
            host: host_name(host),
            incarnation,
            domain: domain(),
        })
    };
    HostView {
        hosts: incarnations.iter().enumerate().filter_map(info).collect(),
    }
}
