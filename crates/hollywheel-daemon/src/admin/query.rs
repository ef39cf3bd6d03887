//! Query parameters of operators' calls.

use std::str::FromStr;

use super::error::AdminError;

/// Returns the value of a query parameter, or `None` if it is missing.
pub(super) fn text_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Parses a numeric query parameter; `None` if it is missing or empty.
///
/// # Errors
///
/// Returns [`AdminError::BadQuery`] if the value is not a number.
pub(super) fn number_value<T: FromStr>(
    query: Option<&str>,
    name: &'static str,
) -> Result<Option<T>, AdminError> {
    let Some(text) = text_value(query, name).filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| AdminError::BadQuery {
        name,
        expected: "a whole number",
    })
}
