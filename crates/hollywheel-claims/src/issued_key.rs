//! Keys that name the process that issued them.

use std::fmt;

use hollywheel_types::{HostId, IdempotencyKey, Incarnation};

/// Marks keys that a host issued.
const PREFIX: &str = "issue:";

/// The hexadecimal digits of the time of issue and of the random number.
const SECOND_DIGITS: usize = 8;
const RANDOM_DIGITS: usize = 32;

/// Describes a key that a process issued, written `issue:HOST:INCARNATION:SECOND RANDOM` with
/// hexadecimal numbers, the last two without a space between them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IssuedKey {
    /// The host.
    pub host: HostId,
    /// The start of the process.
    pub incarnation: Incarnation,
    /// The second of the process in which it was issued, from its monotonic clock.
    pub second: u32,
    /// The number that nobody else has.
    pub random: u128,
}

impl IssuedKey {
    /// Reads a key; none if it is a caller's own.
    pub fn read(key: &IdempotencyKey) -> Option<Self> {
        let rest = key.as_str().strip_prefix(PREFIX)?;
        let (rest, digits) = rest.rsplit_once(':')?;
        let (host, incarnation) = rest.rsplit_once(':')?;
        let whole = digits.len() == SECOND_DIGITS + RANDOM_DIGITS;
        if !whole || !is_hex(digits) || !is_hex(incarnation) {
            return None;
        }
        let read = Self {
            host: host.parse().ok()?,
            incarnation: Incarnation(u64::from_str_radix(incarnation, 16).ok()?),
            second: u32::from_str_radix(&digits[..SECOND_DIGITS], 16).ok()?,
            random: u128::from_str_radix(&digits[SECOND_DIGITS..], 16).ok()?,
        };
        // Another writing of the same numbers is another key.
        (read.to_string() == key.as_str()).then_some(read)
    }

    /// Returns the key as callers send it.
    ///
    /// # Panics
    ///
    /// Never: the longest name of a host leaves room for the numbers.
    pub fn key(&self) -> IdempotencyKey {
        let text = self.to_string();
        text.parse().expect("the text is within the limit of a key")
    }
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            host,
            incarnation,
            second,
            random,
        } = self;
        write!(
            f,
            "{PREFIX}{host}:{:x}:{second:08x}{random:032x}",
            incarnation.0
        )
    }
}

fn is_hex(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
