//! Load generator, outcome checker and experiments.

fn main() {}
