//! The recent changes that a host keeps for its peers.

use std::collections::VecDeque;

use hollywheel_types::ConfigVersion;

use crate::change::ConfigChange;

/// The most changes that are kept; a peer that is further behind gets a whole set.
const MAX_CHANGES: usize = 128;

/// The most objects in the changes that are kept.
const MAX_OBJECTS: usize = 2048;

/// Keeps the changes that led to the version in force, without gaps.
#[derive(Debug, Default)]
pub(crate) struct ChangeChain {
    changes: VecDeque<ConfigChange>,
    objects: usize,
}

impl ChangeChain {
    /// Adds the changes that led from the version in force to the next one.
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
        self.objects += objects_of(&change);
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.objects > MAX_OBJECTS {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.objects -= objects_of(&oldest);
        }
    }

    /// Drops every change.
    pub fn clear(&mut self) {
        self.changes.clear();
        self.objects = 0;
    }

    /// Returns the changes that follow a version, if they are kept.
    pub fn after(&self, have: ConfigVersion) -> Option<Vec<ConfigChange>> {
        let at = self.changes.iter().position(|c| c.base == have)?;
        Some(self.changes.iter().skip(at).cloned().collect())
    }
}

fn objects_of(change: &ConfigChange) -> usize {
    change.diff.put.len() + change.diff.removed.len()
}
