//! Finding of the workspace that a key belongs to.

use hollywheel_config::{ObjectSet, hash_key, key_matches};
use hollywheel_types::WorkspaceId;

/// Bounds the length of a key, in bytes.
const MAX_KEY: usize = 512;

/// Returns the key of an `authorization` header.
pub(super) fn bearer_key(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    let key = key.trim();
    let usable = scheme.eq_ignore_ascii_case("bearer") && !key.is_empty() && key.len() <= MAX_KEY;
    usable.then_some(key)
}

/// Finds the workspace of a key. Every hash of the set is compared, whichever one matches, so
/// that the time tells nothing of the key.
pub fn find_workspace(set: &ObjectSet, key: &str) -> Option<WorkspaceId> {
    let given = hash_key(key);
    let mut found = None;
    for workspace in &set.workspaces {
        if key_matches(&workspace.key_hashes, &given) {
            found = Some(&workspace.name);
        }
    }
    found.cloned()
}
