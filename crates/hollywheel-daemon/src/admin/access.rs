//! Authorization of operators.

use hollywheel_admin::OperatorRole;
use hollywheel_config::{hash_key, key_matches};

use super::error::AdminError;
use crate::settings::OperatorEntry;

/// Maximum length of a token, in bytes.
const MAX_TOKEN_BYTES: usize = 512;

/// Returns the highest role granted to a token. All entries are compared even after a match, so
/// that the time taken does not depend on which entry matches.
pub fn find_role(operators: &[OperatorEntry], token: &str) -> Option<OperatorRole> {
    let token_hash = hash_key(token);
    let mut role = None;
    for entry in operators {
        if key_matches(std::slice::from_ref(&entry.hash), &token_hash) {
            role = role.max(Some(entry.role));
        }
    }
    role
}

/// Checks that the authorization header of a call holds a token with the required role.
///
/// # Errors
///
/// Returns [`AdminError::NoToken`] without a known token and [`AdminError::RoleTooLow`] if its role
/// is not sufficient.
pub(super) fn check_access(
    operators: &[OperatorEntry],
    header: Option<&str>,
    required: OperatorRole,
) -> Result<(), AdminError> {
    let role = header
        .and_then(|header| header.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim())
        .filter(|token| !token.is_empty() && token.len() <= MAX_TOKEN_BYTES)
        .and_then(|token| find_role(operators, token))
        .ok_or(AdminError::NoToken)?;
    if role >= required {
        return Ok(());
    }
    Err(AdminError::RoleTooLow)
}
