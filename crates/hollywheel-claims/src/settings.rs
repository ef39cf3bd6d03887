//! Settings of the claim table.

use std::time::Duration;

use hollywheel_types::{ByteSize, HostId, Incarnation};

/// Holds the settings of one host's claims.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// The host.
    pub host: HostId,
    /// The start of the process.
    pub incarnation: Incarnation,
    /// The shortest time between two writes; claims made meanwhile are written together.
    pub linger: Duration,
    /// The longest time that a result waits for a claim to be written with.
    pub settle_linger: Duration,
    /// The most rows written together.
    pub batch: usize,
    /// The most writes in progress at once.
    pub max_writes: usize,
    /// The time allowed for one call of the table service or one question to a host.
    pub store_timeout: Duration,
    /// The longest time that a claim waits for a table service that does not answer.
    pub patience: Duration,
    /// The longest time that a claim waits for a table service that refuses calls.
    pub refused_patience: Duration,
    /// The time between two questions about a request that runs elsewhere.
    pub ask_interval: Duration,
    /// The largest answer that is kept for callers who ask again.
    pub max_answer: ByteSize,
    /// The largest number of results and releases that wait to be written. Above it the
    /// oldest is forgotten and its row, if there is one, stays open.
    pub max_unwritten: usize,
    /// The largest sum of answers that wait to be written. Above it an answer is not kept.
    pub max_unwritten_bytes: ByteSize,
    /// The most issued keys that are remembered; beyond it no key is issued.
    pub max_issued: usize,
    /// The largest sum of answers to requests with issued keys. Above it an answer is not kept.
    pub max_issued_bytes: ByteSize,
    /// The time in which an issued key must be used.
    pub issued_ttl: Duration,
    /// The time for which the outcome under an issued key is remembered.
    pub issued_retain: Duration,
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
            patience: Duration::from_millis(1200),
            refused_patience: Duration::from_millis(250),
            ask_interval: Duration::from_millis(50),
            max_answer: ByteSize::from_kib(64),
            max_unwritten: 4096,
            max_unwritten_bytes: ByteSize::from_mib(8),
            max_issued: 65_536,
            max_issued_bytes: ByteSize::from_mib(64),
            issued_ttl: Duration::from_secs(600),
            issued_retain: Duration::from_secs(600),
        }
    }
}
