//! Who may do what.

use hollywheel_admin::OperatorRole;
use hollywheel_config::{hash_key, key_matches};

use super::fault::AdminFault;
use crate::settings::OperatorEntry;

/// Bounds the length of a token, in bytes.
const MAX_TOKEN: usize = 512;

/// Returns the highest role that a token has. Every entry is compared, whichever one matches.
pub fn find_role(operators: &[OperatorEntry], token: &str) -> Option<OperatorRole> {
    let given = hash_key(token);
    let mut role = None;
    for entry in operators {
        if key_matches(std::slice::from_ref(&entry.hash), &given) {
            role = role.max(Some(entry.role));
        }
    }
    role
}

/// Checks the header of a call against the role that the call needs.
pub(super) fn check_access(
    operators: &[OperatorEntry],
    header: Option<&str>,
    needed: OperatorRole,
) -> Result<(), AdminFault> {
    let role = header
        .and_then(|header| header.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim())
        .filter(|token| !token.is_empty() && token.len() <= MAX_TOKEN)
        .and_then(|token| find_role(operators, token))
        .ok_or(AdminFault::NoToken)?;
    if role >= needed {
        return Ok(());
    }
    Err(AdminFault::RoleTooLow)
}
