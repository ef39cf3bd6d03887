//! The host daemon.

fn main() {}
