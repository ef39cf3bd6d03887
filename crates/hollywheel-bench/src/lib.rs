//! Load generator, outcome checker and experiments.
