//! The query of a path.

use std::str::FromStr;

use super::fault::AdminFault;

/// Returns one value of a query.
pub(super) fn text_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Reads one value of a query; none if it is missing.
pub(super) fn number_value<T: FromStr>(
    query: Option<&str>,
    name: &'static str,
) -> Result<Option<T>, AdminFault> {
    let Some(text) = text_value(query, name).filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| AdminFault::BadQuery {
        name,
        expected: "a whole number",
    })
}
