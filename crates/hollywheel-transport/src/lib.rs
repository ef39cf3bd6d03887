//! Authenticated QUIC transport between hosts.
