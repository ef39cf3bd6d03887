//! Format of the idempotency keys that hosts issue.

use std::fmt;

use hollywheel_types::{HostId, IdempotencyKey, Incarnation};

/// Prefix of keys that a host issued.
const PREFIX: &str = "issue:";

/// Number of hexadecimal digits of the second of issue.
const SECOND_DIGITS: usize = 8;
/// Number of hexadecimal digits of the random number.
const RANDOM_DIGITS: usize = 32;

/// Idempotency key issued by a process, which it names.
///
/// The text form is `issue:HOST:INCARNATION:DIGITS` with hexadecimal numbers, where `DIGITS` is
/// the second of issue directly followed by the random number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IssuedKey {
    /// Host that issued the key.
    pub host: HostId,
    /// Incarnation of the process that issued the key.
    pub incarnation: Incarnation,
    /// Second of issue, counted from the start of the process on its monotonic clock.
    pub issue_second: u32,
    /// Random number that makes the key unique.
    pub random: u128,
}

impl IssuedKey {
    /// Parses a key. Returns `None` if it was chosen by the caller.
    pub fn read(key: &IdempotencyKey) -> Option<Self> {
        let rest = key.as_str().strip_prefix(PREFIX)?;
        let (rest, digits) = rest.rsplit_once(':')?;
        let (host, incarnation) = rest.rsplit_once(':')?;
        let has_full_length = digits.len() == SECOND_DIGITS + RANDOM_DIGITS;
        if !has_full_length || !is_hex(digits) || !is_hex(incarnation) {
            return None;
        }
        let read = Self {
            host: host.parse().ok()?,
            incarnation: Incarnation(u64::from_str_radix(incarnation, 16).ok()?),
            issue_second: u32::from_str_radix(&digits[..SECOND_DIGITS], 16).ok()?,
            random: u128::from_str_radix(&digits[SECOND_DIGITS..], 16).ok()?,
        };
        // A different spelling of the same numbers, such as leading zeros, is a different key.
        (read.to_string() == key.as_str()).then_some(read)
    }

    /// Returns the key in its text form.
    ///
    /// # Panics
    ///
    /// Never panics: even the longest host name leaves room for the numbers within the length limit
    /// of keys.
    pub fn key(&self) -> IdempotencyKey {
        let text = self.to_string();
        text.parse()
            .expect("issued keys are within the length limit of keys")
    }
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            host,
            incarnation,
            issue_second,
            random,
        } = self;
        write!(
            f,
            "{PREFIX}{host}:{:x}:{issue_second:08x}{random:032x}",
            incarnation.0
        )
    }
}

fn is_hex(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
