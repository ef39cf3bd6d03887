//! Faults that are switched on by order.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Lists the faults that are on. Each order replaces the one before.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultOrder {
    /// Multiplies service times.
    pub slow_factor: f64,
    /// Delays every answer, in milliseconds.
    pub latency_ms: u64,
    /// Cuts the next calls before processing.
    pub cut_before: u32,
    /// Cuts the next calls after processing, without an answer.
    pub cut_after: u32,
    /// Cuts the next stream after so many tokens.
    pub cut_stream_after: Option<u32>,
    /// Counts the streams that are cut.
    pub cut_stream_count: u32,
    /// Refuses calls as not run.
    pub refuse: bool,
    /// Goes with every refusal, in milliseconds.
    pub retry_after_ms: u64,
    /// Replaces the answer to a processed call by this HTTP status.
    pub fail_status: Option<u16>,
    /// Crosses the next answers with that of another call.
    pub crossed: u32,
    /// Sends every token line twice.
    pub duplicate: bool,
    /// Makes the server leave; it stays so until it restarts.
    pub leaving: bool,
    /// Stops calls and answers until cleared.
    pub freeze: bool,
    /// Refuses calls of the platform with 503.
    pub outage: bool,
    /// Cuts the next writes of the platform after they took effect.
    pub lose_answer: u32,
    /// Cuts writes of the platform at once; they take effect so many milliseconds later.
    pub late_effect_ms: Option<u64>,
    /// Replaces the lag of reports, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Accepts orders with old fencing numbers.
    pub ignore_fencing: bool,
}

impl Default for FaultOrder {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            latency_ms: 0,
            cut_before: 0,
            cut_after: 0,
            cut_stream_after: None,
            cut_stream_count: 1,
            refuse: false,
            retry_after_ms: 100,
            fail_status: None,
            crossed: 0,
            duplicate: false,
            leaving: false,
            freeze: false,
            outage: false,
            lose_answer: 0,
            late_effect_ms: None,
            lag_ms: None,
            ignore_fencing: false,
        }
    }
}

/// Holds the order in force and counts down its limited faults.
#[derive(Debug)]
pub(crate) struct FaultSwitch {
    order: watch::Sender<FaultOrder>,
}

impl FaultSwitch {
    pub(crate) fn new() -> Self {
        Self {
            order: watch::Sender::new(FaultOrder::default()),
        }
    }

    pub(crate) fn set(&self, order: FaultOrder) {
        self.order.send_replace(order);
    }

    /// Returns a copy of the order in force.
    pub(crate) fn get(&self) -> FaultOrder {
        self.order.borrow().clone()
    }

    /// Uses up one of a counted fault; says whether there was one left.
    pub(crate) fn take(&self, field: impl Fn(&mut FaultOrder) -> &mut u32) -> bool {
        let mut taken = false;
        self.order.send_if_modified(|order| {
            let left = field(order);
            taken = *left > 0;
            *left = left.saturating_sub(1);
            false
        });
        taken
    }

    /// Uses up one cut of a stream; returns the tokens after which it is cut.
    pub(crate) fn take_stream_cut(&self) -> Option<u32> {
        let after = self.order.borrow().cut_stream_after?;
        self.take(|order| &mut order.cut_stream_count)
            .then_some(after)
    }

    pub(crate) async fn wait_unfrozen(&self) {
        let mut order = self.order.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = order.wait_for(|order| !order.freeze).await;
    }

    /// Delays an answer as the order asks.
    pub(crate) async fn delay_answer(&self) {
        let latency = Duration::from_millis(self.order.borrow().latency_ms);
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
        self.wait_unfrozen().await;
    }
}
