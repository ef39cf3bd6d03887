//! Recognition of a request that a caller sends again.

use hollywheel_types::WorkspaceId;
use xxhash_rust::xxh3::Xxh3;

/// Holds all that the repetitions of one request have in common. Their attempts have different ids.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The host name that the caller uses.
    pub host: &'a str,
    /// The path with its query.
    pub target: &'a str,
    /// The workspace of the caller; empty if it is anonymous.
    pub workspace: &'a str,
    /// The identifiers of the prompt parts.
    pub parts: &'a [u64],
    /// The body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Returns a digest that is equal for the repetitions of a request.
    pub fn digest(&self) -> u64 {
        let parts = self.parts.iter();
        let parts: Vec<u8> = parts.flat_map(|part| part.to_le_bytes()).collect();
        digest_fields(&[
            self.host.as_bytes(),
            self.target.as_bytes(),
            self.workspace.as_bytes(),
            &parts,
            self.body,
        ])
    }
}

/// Returns a digest of the name of a workspace, for fair shares of pools; 0 for no workspace.
pub fn workspace_digest(name: Option<&WorkspaceId>) -> u64 {
    name.map_or(0, |name| digest_fields(&[name.as_str().as_bytes()]).max(1))
}

/// Returns a digest of fields, each with its length so that no two lists of fields look alike.
pub(crate) fn digest_fields(fields: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.digest()
}
