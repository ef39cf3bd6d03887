//! Settings of the claim table.

use std::time::Duration;

use hollywheel_types::{ByteSize, HostId, Incarnation};

/// Settings of a [`ClaimTable`](crate::ClaimTable).
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Name of the host.
    pub host: HostId,
    /// Incarnation of this process; a restarted process has a new one.
    pub incarnation: Incarnation,
    /// Minimum time between two writes; claims made in between are written in one batch.
    pub linger: Duration,
    /// Maximum time that a result waits to be batched with claims.
    pub settle_linger: Duration,
    /// Maximum number of rows in one write.
    pub batch: usize,
    /// Maximum number of writes in flight.
    pub max_writes: usize,
    /// Time-out of one call to the table service or one question to a host.
    pub store_timeout: Duration,
    /// Maximum time that a claim waits while the table service does not answer.
    pub max_store_wait: Duration,
    /// Maximum time that a claim waits while the table service refuses calls.
    pub max_refused_wait: Duration,
    /// Time between two questions about a request in progress on another host.
    pub ask_interval: Duration,
    /// Maximum size of an answer that is kept for replay.
    pub max_answer_size: ByteSize,
    /// Maximum number of results and releases that wait to be written. Beyond it the oldest one
    /// is dropped and its row, if there is one, stays open.
    pub max_unwritten: usize,
    /// Maximum total size of the answers that wait to be written. Beyond it answers are not kept.
    pub max_unwritten_bytes: ByteSize,
    /// Maximum number of issued keys in memory; beyond it no key is issued.
    pub max_issued_keys: usize,
    /// Maximum total size of the answers under issued keys. Beyond it answers are not kept.
    pub max_issued_answer_bytes: ByteSize,
    /// How long an issued key can be used for a first request.
    pub issued_ttl: Duration,
    /// How long the outcome under an issued key is kept.
    pub issued_retention: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            host: "host".parse().expect("a valid name"),
            incarnation: Incarnation(1),
            linger: Duration::from_millis(20),
            settle_linger: Duration::from_millis(100),
            batch: 64,
            max_writes: 2,
            store_timeout: Duration::from_millis(500),
            max_store_wait: Duration::from_millis(1200),
            max_refused_wait: Duration::from_millis(250),
            ask_interval: Duration::from_millis(50),
            max_answer_size: ByteSize::from_kib(64),
            max_unwritten: 4096,
            max_unwritten_bytes: ByteSize::from_mib(8),
            max_issued_keys: 65_536,
            max_issued_answer_bytes: ByteSize::from_mib(64),
            issued_ttl: Duration::from_secs(600),
            issued_retention: Duration::from_secs(600),
        }
    }
}
