//! The operator command-line tool.
