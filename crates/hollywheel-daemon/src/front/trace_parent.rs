//! The `traceparent` header of the W3C trace context.

use std::fmt;
use std::str::FromStr;

use crate::traces::TraceId;

/// Holds the fields of the header, version 00.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceParent {
    /// The trace.
    pub trace: TraceId,
    /// The span of the sender.
    pub span: u64,
    /// The flags; bit 0 says that the trace is sampled.
    pub flags: u8,
}

/// Says that a text is not a trace parent; a new trace begins then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceParentError;

impl fmt::Display for TraceParentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the header traceparent is not valid; expected 00-TRACE-SPAN-FLAGS")
    }
}

impl std::error::Error for TraceParentError {}

fn hex_field(text: &str, digits: usize) -> Option<u128> {
    let lower = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if text.len() != digits || !text.bytes().all(lower) {
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
        let read = |text, digits| hex_field(text, digits).ok_or(TraceParentError);
        let known = read(version, 2)? == 0;
        let trace = read(trace, 32)?;
        let span = u64::try_from(read(span, 16)?).map_err(|_| TraceParentError)?;
        let flags = u8::try_from(read(flags, 2)?).map_err(|_| TraceParentError)?;
        if !known || trace == 0 || span == 0 {
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
