//! Parsing of the API key of a caller.

/// Maximum length of an API key in bytes.
const MAX_KEY_LENGTH: usize = 512;

/// Returns the API key of an `authorization` header with the `Bearer` scheme.
pub(super) fn bearer_key(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    let key = key.trim();
    let usable =
        scheme.eq_ignore_ascii_case("bearer") && !key.is_empty() && key.len() <= MAX_KEY_LENGTH;
    usable.then_some(key)
}
