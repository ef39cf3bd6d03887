//! `traceparent` header of the W3C Trace Context specification.

use std::fmt;
use std::str::FromStr;

use crate::traces::TraceId;

/// Fields of a `traceparent` header of version 00.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceParent {
    /// Identifier of the trace.
    pub trace: TraceId,
    /// Identifier of the parent span, that of the sender.
    pub span: u64,
    /// Trace flags; bit 0 is set if the trace is sampled.
    pub flags: u8,
}

/// Error of a header that is not a valid trace parent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceParentError;

impl fmt::Display for TraceParentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("header traceparent: expected 00-TRACE-SPAN-FLAGS")
    }
}

impl std::error::Error for TraceParentError {}

fn parse_hex(text: &str, digits: usize) -> Option<u128> {
    let is_lower_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if text.len() != digits || !text.bytes().all(is_lower_hex) {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}

impl FromStr for TraceParent {
    type Err = TraceParentError;

    fn from_str(text: &str) -> Result<Self, TraceParentError> {
        let fields: Vec<&str> = text.split('-').collect();
        let [version, trace, span, flags] = fields[..] else {
            return Err(TraceParentError);
        };
        let parse_field = |text, digits| parse_hex(text, digits).ok_or(TraceParentError);
        let supported = parse_field(version, 2)? == 0;
        let trace = parse_field(trace, 32)?;
        let span = u64::try_from(parse_field(span, 16)?).map_err(|_| TraceParentError)?;
        let flags = u8::try_from(parse_field(flags, 2)?).map_err(|_| TraceParentError)?;
        if !supported || trace == 0 || span == 0 {
            return Err(TraceParentError);
        }
        Ok(Self {
            trace: TraceId(trace),
            span,
            flags,
        })
    }
}

impl fmt::Display for TraceParent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{}-{:016x}-{:02x}", self.trace, self.span, self.flags)
    }
}
