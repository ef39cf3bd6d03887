//! The configuration in force, for reading from every part of the daemon.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use hollywheel_config::PublishedSet;

/// Shares the version in force.
#[derive(Debug, Default)]
pub struct ConfigView {
    current: ArcSwapOption<PublishedSet>,
}

impl ConfigView {
    /// Returns the version in force; none if the host has none yet.
    pub fn get(&self) -> Option<Arc<PublishedSet>> {
        self.current.load_full()
    }

    /// Puts a version in force unless it is older than the one in force.
    pub fn install(&self, published: &Arc<PublishedSet>) -> bool {
        let newer = self
            .get()
            .is_none_or(|current| published.version > current.version);
        if newer {
            self.current.store(Some(Arc::clone(published)));
        }
        newer
    }
}
