//! The configuration in force, for reading from every part of the daemon.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use hollywheel_config::PublishedSet;

use crate::key_index::KeyIndex;

/// Holds a version and what is derived from it.
#[derive(Debug)]
pub struct ConfigInForce {
    /// The version.
    pub published: Arc<PublishedSet>,
    /// The keys of its workspaces.
    pub keys: KeyIndex,
}

/// Shares the version in force.
#[derive(Debug, Default)]
pub struct ConfigView {
    current: ArcSwapOption<ConfigInForce>,
}

impl ConfigView {
    /// Returns the version in force; none if the host has none yet.
    pub fn get(&self) -> Option<Arc<PublishedSet>> {
        let current = self.current.load();
        current
            .as_ref()
            .map(|current| Arc::clone(&current.published))
    }

    /// Returns the version in force with what is derived from it.
    pub fn in_force(&self) -> Option<Arc<ConfigInForce>> {
        self.current.load_full()
    }

    /// Puts a version in force unless it is older than the one in force; says whether it did.
    pub fn install(&self, published: &Arc<PublishedSet>) -> bool {
        let newer = self
            .get()
            .is_none_or(|current| published.version > current.version);
        if newer {
            self.current.store(Some(Arc::new(ConfigInForce {
                published: Arc::clone(published),
                keys: KeyIndex::of(&published.set),
            })));
        }
        newer
    }
}
