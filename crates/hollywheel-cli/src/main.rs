//! The operator command-line tool.

fn main() {}
