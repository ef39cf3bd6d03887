//! Places in the history of the platform's store.

use std::fmt;
use std::str::FromStr;

/// Counts how often the store has come back from an older copy of itself.
///
/// A store that never tells its era is in the first one.
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
        read_number("store era", text).map(Self)
    }
}

/// Names a point of the store's history.
///
/// Revisions rise within an era only: a store that comes back older gives them out again, so
/// that a later era goes before any revision.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StorePlace {
    /// The era.
    pub era: StoreEra,
    /// The revision in it, from the counter of the whole store.
    pub revision: u64,
}

impl fmt::Display for StorePlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}

/// Reads a place in the form of its `Display`.
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
            revision: read_number("revision", revision)?,
        })
    }
}

/// Says why a text names no place in the store's history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlaceError {
    /// The text has no era before a slash; write `ERA/REVISION`.
    NoEra {
        /// The whole text.
        given: String,
    },
    /// A part of the text is no decimal number.
    NotNumber {
        /// The part.
        field: &'static str,
        /// Its text.
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

fn read_number(field: &'static str, text: &str) -> Result<u64, PlaceError> {
    text.trim().parse().map_err(|_| PlaceError::NotNumber {
        field,
        given: text.to_owned(),
    })
}
