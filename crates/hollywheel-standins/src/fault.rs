//! Fault injection.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Faults to inject. Each order replaces the previous one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultOrder {
    /// The factor by which service times are multiplied.
    pub slow_factor: f64,
    /// The delay of each answer, in milliseconds.
    pub latency_ms: u64,
    /// The number of next calls whose connection is closed before processing.
    pub cut_before: u32,
    /// The number of next calls whose connection is closed after processing, without an answer.
    pub cut_after: u32,
    /// The number of tokens after which the next streams are cut.
    pub cut_stream_after: Option<u32>,
    /// The number of next streams that are cut.
    pub cut_stream_count: u32,
    /// Whether calls are refused as not run.
    pub refuse: bool,
    /// The retry time in each refusal, in milliseconds.
    pub retry_after_ms: u64,
    /// The HTTP status that replaces the answer to a processed call.
    pub fail_status: Option<u16>,
    /// The number of next answers that are replaced by the answer to another call.
    pub crossed: u32,
    /// Whether each token line is sent twice.
    pub duplicate: bool,
    /// Whether the server is leaving. It accepts new work again only after a restart.
    pub leaving: bool,
    /// Whether calls and answers are suspended until the fault is cleared.
    pub freeze: bool,
    /// Whether the platform refuses calls with status 503.
    pub outage: bool,
    /// The number of next writes of the platform that take effect and are not answered.
    pub lose_answer: u32,
    /// The time after which unanswered writes of the platform take effect, in milliseconds.
    pub late_effect_ms: Option<u64>,
    /// The lag of reports that replaces the configured one, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Whether orders with old fencing numbers are accepted.
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

/// Holds the fault order in force and counts down faults that apply a limited number of times.
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

    /// Decrements a counted fault; returns whether it applies.
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

    /// Decrements the cuts of streams; returns the number of tokens after which a stream is cut, if
    /// any.
    pub(crate) fn take_stream_cut(&self) -> Option<u32> {
        let after = self.order.borrow().cut_stream_after?;
        self.take(|order| &mut order.cut_stream_count)
            .then_some(after)
    }

    pub(crate) async fn wait_unfrozen(&self) {
        let mut order = self.order.subscribe();
        // The sender is a field of `self`, so the wait cannot fail.
        let _ = order.wait_for(|order| !order.freeze).await;
    }

    /// Waits for the delay of answers in the fault order.
    pub(crate) async fn delay_answer(&self) {
        let latency = Duration::from_millis(self.order.borrow().latency_ms);
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
        self.wait_unfrozen().await;
    }
}
