//! Fault matrix and trace replay over the decision machines.

fn main() {}
