//! Reading of the caller's key.

/// Bounds the length of a key, in bytes.
const MAX_KEY: usize = 512;

/// Returns the key of an `authorization` header.
pub(super) fn bearer_key(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    let key = key.trim();
    let usable = scheme.eq_ignore_ascii_case("bearer") && !key.is_empty() && key.len() <= MAX_KEY;
    usable.then_some(key)
}
