//! Newtypes for sizes, counts, shares and rates.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Error parsing a size, count, share or rate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SizeError {
    /// The kind of value that was expected.
    pub kind: &'static str,
    /// The text that was given.
    pub given: String,
    /// The format or range that was expected.
    pub expected: &'static str,
}

impl fmt::Display for SizeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {:?} is not valid; expected {}",
            self.kind, self.given, self.expected
        )
    }
}

impl std::error::Error for SizeError {}

/// Size in bytes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// Creates a size from a number of kibibytes.
    pub const fn from_kib(kib: u64) -> Self {
        Self(kib * 1024)
    }

    /// Creates a size from a number of mebibytes.
    pub const fn from_mib(mib: u64) -> Self {
        Self(mib * 1024 * 1024)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const KIB: u64 = 1024;
        const MIB: u64 = 1024 * 1024;
        match self.0 {
            size if size >= MIB && size.is_multiple_of(MIB) => write!(f, "{}MiB", size / MIB),
            size if size >= KIB && size.is_multiple_of(KIB) => write!(f, "{}KiB", size / KIB),
            size => write!(f, "{size}B"),
        }
    }
}

impl FromStr for ByteSize {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        let invalid = || SizeError {
            kind: "byte size",
            given: text.to_owned(),
            expected: "a whole number followed by B, KiB or MiB",
        };
        let unit_start = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (digits, unit) = text.split_at(unit_start);
        let number: u64 = digits.parse().map_err(|_| invalid())?;
        let factor: u64 = match unit {
            "" | "B" => 1,
            "KiB" => 1024,
            "MiB" => 1024 * 1024,
            _ => return Err(invalid()),
        };
        number.checked_mul(factor).map(Self).ok_or_else(invalid)
    }
}

/// Number of tokens.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct TokenCount(pub u32);

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for TokenCount {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        text.parse().map(Self).map_err(|_| SizeError {
            kind: "token count",
            given: text.to_owned(),
            expected: "a whole number",
        })
    }
}

/// Position of a token in a generated answer, counted from zero.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct TokenIndex(pub u32);

impl TokenIndex {
    /// Returns the position after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for TokenIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for TokenIndex {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        text.parse().map(Self).map_err(|_| SizeError {
            kind: "token index",
            given: text.to_owned(),
            expected: "a whole number",
        })
    }
}

/// Share in whole percent, from 0 to 100.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(try_from = "u8")]
pub struct Percent(u8);

impl Percent {
    /// Creates a share; values above 100 become 100.
    pub const fn new(percent: u8) -> Self {
        if percent > 100 {
            return Self(100);
        }
        Self(percent)
    }

    /// Returns the share in percent.
    pub const fn get(self) -> u8 {
        self.0
    }

    /// Returns the share as a factor from 0 to 1.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        let invalid = || SizeError {
            kind: "share",
            given: text.to_owned(),
            expected: "a whole number of percent from 0 to 100",
        };
        let number: u8 = text
            .strip_suffix('%')
            .unwrap_or(text)
            .parse()
            .map_err(|_| invalid())?;
        Self::try_from(number).map_err(|_| invalid())
    }
}

impl TryFrom<u8> for Percent {
    type Error = SizeError;

    fn try_from(percent: u8) -> Result<Self, SizeError> {
        if percent <= 100 {
            return Ok(Self(percent));
        }
        Err(SizeError {
            kind: "share",
            given: percent.to_string(),
            expected: "a whole number of percent from 0 to 100",
        })
    }
}

/// Rate in events per second.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate from a number of events per second; a negative or non-finite number becomes
    /// zero.
    pub fn per_second(rate: f64) -> Self {
        if rate.is_finite() && rate > 0.0 {
            return Self(rate);
        }
        Self(0.0)
    }

    /// Returns the number of events per second.
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Returns the expected number of events within a time span.
    pub fn over(self, span: Duration) -> f64 {
        self.0 * span.as_secs_f64()
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        let number: f64 = text
            .strip_suffix("/s")
            .unwrap_or(text)
            .parse()
            .unwrap_or(f64::NAN);
        Self::try_from(number)
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = SizeError;

    fn try_from(rate: f64) -> Result<Self, SizeError> {
        if rate.is_finite() && rate >= 0.0 {
            return Ok(Self(rate));
        }
        Err(SizeError {
            kind: "rate",
            given: rate.to_string(),
            expected: "a number of events per second, zero or more",
        })
    }
}
