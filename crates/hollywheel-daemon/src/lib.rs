//! The host daemon.
