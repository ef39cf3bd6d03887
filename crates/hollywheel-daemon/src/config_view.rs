//! Shared, lock-free view of the configuration in force.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use hollywheel_config::PublishedSet;

use crate::key_index::KeyIndex;

/// Configuration version in force and the indexes derived from it.
#[derive(Debug)]
pub struct ConfigInForce {
    /// Published version with its objects.
    pub published: Arc<PublishedSet>,
    /// Index of the API keys of its workspaces.
    pub keys: KeyIndex,
}

/// Holder of the version in force, readable from every task without a lock.
#[derive(Debug, Default)]
pub struct ConfigView {
    current: ArcSwapOption<ConfigInForce>,
}

impl ConfigView {
    /// Returns the version in force, or `None` before the first one is installed.
    pub fn get(&self) -> Option<Arc<PublishedSet>> {
        let current = self.current.load();
        current
            .as_ref()
            .map(|current| Arc::clone(&current.published))
    }

    /// Returns the version in force with its indexes, or `None` before the first one is installed.
    pub fn in_force(&self) -> Option<Arc<ConfigInForce>> {
        self.current.load_full()
    }

    /// Installs a version if it is newer than the one in force. Returns whether it was installed.
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
