//! Small stand-ins of the systems that are served or used.

fn main() {}
