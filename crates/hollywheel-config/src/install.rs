//! Installation of published versions on a host.
