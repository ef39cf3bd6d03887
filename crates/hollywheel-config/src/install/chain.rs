//! The recent changes that a host retains for peers that are behind.

use std::collections::VecDeque;

use hollywheel_types::ConfigVersion;

use crate::change::ConfigChange;

/// The maximum number of retained changes. A peer that is further behind gets a snapshot.
const MAX_CHANGES: usize = 128;

/// The maximum number of objects in the retained changes.
const MAX_OBJECTS: usize = 2048;

/// Retains the latest changes that led to the version in force, without gaps.
#[derive(Debug, Default)]
pub(crate) struct ChangeChain {
    changes: VecDeque<ConfigChange>,
    /// The number of objects in the retained changes.
    object_count: usize,
}

impl ChangeChain {
    /// Appends changes, oldest first. A change that does not follow the last one replaces the
    /// chain.
    pub fn extend(&mut self, changes: Vec<ConfigChange>) {
        for change in changes {
            self.push(change);
        }
    }

    fn push(&mut self, change: ConfigChange) {
        let follows = self
            .changes
            .back()
            .is_none_or(|last| last.version == change.base);
        if !follows {
            self.clear();
        }
        self.object_count += changed_objects(&change);
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.object_count > MAX_OBJECTS {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.object_count -= changed_objects(&oldest);
        }
    }

    /// Removes every change.
    pub fn clear(&mut self) {
        self.changes.clear();
        self.object_count = 0;
    }

    /// Returns the changes that follow a version, if all of them are retained.
    pub fn after(&self, base: ConfigVersion) -> Option<Vec<ConfigChange>> {
        let index = self.changes.iter().position(|change| change.base == base)?;
        Some(self.changes.iter().skip(index).cloned().collect())
    }
}

fn changed_objects(change: &ConfigChange) -> usize {
    change.diff.put.len() + change.diff.removed.len()
}
