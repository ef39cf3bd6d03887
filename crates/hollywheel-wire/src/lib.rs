//! Generated messages between hosts and their conversions.
