//! Lookup of the workspace that an API key belongs to.

use hollywheel_config::{ObjectSet, hash_key, key_matches};
use hollywheel_types::{KeyHash, WorkspaceId};

/// Hexadecimal digits of the hash used for the binary search. Its timing can leak these digits,
/// but they are digits of a SHA-256 hash and do not help to find a key.
const PREFIX_DIGITS: usize = 8;

#[derive(Debug)]
struct KeyEntry {
    hash: KeyHash,
    workspace: WorkspaceId,
}

/// Key hashes of all workspaces, sorted by hash.
#[derive(Debug, Default)]
pub struct KeyIndex {
    entries: Vec<KeyEntry>,
}

fn hash_prefix(hash: &KeyHash) -> &str {
    &hash.as_str()[..PREFIX_DIGITS]
}

impl KeyIndex {
    /// Builds the index of the keys in a set.
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

    /// Returns the workspace of a key. Full hashes are compared in constant time.
    pub fn find(&self, key: &str) -> Option<&WorkspaceId> {
        let key_hash = hash_key(key);
        let prefix = hash_prefix(&key_hash);
        let first = self
            .entries
            .partition_point(|entry| hash_prefix(&entry.hash) < prefix);
        let mut found = None;
        for entry in &self.entries[first..] {
            if hash_prefix(&entry.hash) != prefix {
                break;
            }
            if key_matches(std::slice::from_ref(&entry.hash), &key_hash) {
                found = Some(&entry.workspace);
            }
        }
        found
    }
}
