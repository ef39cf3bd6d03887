//! Newtypes for sizes, counts, shares and rates.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Says why a text is not a valid size, share or rate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SizeError {
    /// What the text should give.
    pub kind: &'static str,
    /// The text.
    pub given: String,
    /// What was expected.
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

/// Counts bytes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// Returns a size of so many kibibytes.
    pub const fn from_kib(kib: u64) -> Self {
        Self(kib * 1024)
    }

    /// Returns a size of so many mebibytes.
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
        let bad = || SizeError {
            kind: "byte size",
            given: text.to_owned(),
            expected: "a whole number followed by B, KiB or MiB",
        };
        let split = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (digits, unit) = text.split_at(split);
        let number: u64 = digits.parse().map_err(|_| bad())?;
        let factor: u64 = match unit {
            "" | "B" => 1,
            "KiB" => 1024,
            "MiB" => 1024 * 1024,
            _ => return Err(bad()),
        };
        number.checked_mul(factor).map(Self).ok_or_else(bad)
    }
}

/// Counts tokens.
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

/// Gives the position of a token in a generated answer, from zero.
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

/// Gives a share in whole percent, from 0 to 100.
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
    /// Returns the share of so many percent, at most the whole.
    pub const fn new(percent: u8) -> Self {
        if percent > 100 {
            return Self(100);
        }
        Self(percent)
    }

    /// Returns the number of percent.
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
        let bad = || SizeError {
            kind: "share",
            given: text.to_owned(),
            expected: "a whole number of percent from 0 to 100",
        };
        let number: u8 = text
            .strip_suffix('%')
            .unwrap_or(text)
            .parse()
            .map_err(|_| bad())?;
        Self::try_from(number).map_err(|_| bad())
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

/// Gives a rate in events a second.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the rate of so many events a second; a negative rate becomes zero.
    pub fn per_second(rate: f64) -> Self {
        if rate.is_finite() && rate > 0.0 {
            return Self(rate);
        }
        Self(0.0)
    }

    /// Returns the number of events a second.
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Returns the number of events expected within a span.
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
            expected: "a number of events a second, zero or more",
        })
    }
}
