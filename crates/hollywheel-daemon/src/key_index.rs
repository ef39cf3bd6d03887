//! Finding of the workspace that a key belongs to.

use hollywheel_config::{ObjectSet, hash_key, key_matches};
use hollywheel_types::{KeyHash, WorkspaceId};

/// Counts the digits of a hash by which entries are found. What the time of the search could
/// tell of them helps nobody to find a key, since they are digits of its SHA-256.
const PREFIX_DIGITS: usize = 8;

#[derive(Debug)]
struct KeyEntry {
    hash: KeyHash,
    workspace: WorkspaceId,
}

/// Lists the key hashes of every workspace, sorted.
#[derive(Debug, Default)]
pub struct KeyIndex {
    entries: Vec<KeyEntry>,
}

fn prefix_of(hash: &KeyHash) -> &str {
    &hash.as_str()[..PREFIX_DIGITS]
}

impl KeyIndex {
    /// Lists the keys of a set.
    pub fn of(set: &ObjectSet) -> Self {
        let mut entries: Vec<KeyEntry> = set
            .workspaces
            .iter()
            .flat_map(|workspace| {
                workspace.key_hashes.iter().map(|hash| KeyEntry {
                    hash: hash.clone(),
                    workspace: workspace.name.clone(),
                })
            })
            .collect();
        entries.sort_by(|a, b| a.hash.cmp(&b.hash));
        Self { entries }
    }

    /// Finds the workspace of a key. Whole hashes are compared in constant time.
    pub fn find(&self, key: &str) -> Option<&WorkspaceId> {
        let given = hash_key(key);
        let prefix = prefix_of(&given);
        let first = self
            .entries
            .partition_point(|entry| prefix_of(&entry.hash) < prefix);
        let mut found = None;
        for entry in &self.entries[first..] {
            if prefix_of(&entry.hash) != prefix {
                break;
            }
            if key_matches(std::slice::from_ref(&entry.hash), &given) {
                found = Some(&entry.workspace);
            }
        }
        found
    }
}
