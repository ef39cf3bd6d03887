//! Positions in the change history of the platform's store.

use std::fmt;
use std::str::FromStr;

/// Numbers the era of the store, which rises whenever the store is restored from an older copy.
///
/// A store that reports no era is in the first one.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StoreEra {
    type Err = PlaceError;

    fn from_str(text: &str) -> Result<Self, PlaceError> {
        parse_number("store era", text).map(Self)
    }
}

/// Identifies a position in the store's change history.
///
/// Revisions rise only within an era: a store that is restored from an older copy reuses them.
/// Positions are therefore ordered by era first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StorePlace {
    /// The era of the store.
    pub era: StoreEra,
    /// The revision within the era, from a counter over all rows of the store.
    pub revision: u64,
}

impl fmt::Display for StorePlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}

/// Parses the `Display` form, `ERA/REVISION`.
///
/// # Examples
///
/// ```
/// use hollywheel_serving::StorePlace;
///
/// let before: StorePlace = "1/90".parse().unwrap();
/// let after: StorePlace = "2/17".parse().unwrap();
/// assert!(before < after);
/// ```
impl FromStr for StorePlace {
    type Err = PlaceError;

    fn from_str(text: &str) -> Result<Self, PlaceError> {
        let Some((era, revision)) = text.split_once('/') else {
            return Err(PlaceError::NoEra {
                given: text.to_owned(),
            });
        };
        Ok(Self {
            era: era.parse()?,
            revision: parse_number("revision", revision)?,
        })
    }
}

/// Describes why a text is not a valid store position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlaceError {
    /// The text has no era before a slash; the expected form is `ERA/REVISION`.
    NoEra {
        /// The whole text.
        given: String,
    },
    /// A component of the text is not a decimal number.
    NotNumber {
        /// The name of the component.
        field: &'static str,
        /// The text of the component.
        given: String,
    },
}

impl fmt::Display for PlaceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoEra { given } => {
                write!(f, "store place {given:?} has no era; expected ERA/REVISION")
            }
            Self::NotNumber { field, given } => {
                write!(f, "{field} {given:?} is not a decimal number")
            }
        }
    }
}

impl std::error::Error for PlaceError {}

fn parse_number(field: &'static str, text: &str) -> Result<u64, PlaceError> {
    text.trim().parse().map_err(|_| PlaceError::NotNumber {
        field,
        given: text.to_owned(),
    })
}
