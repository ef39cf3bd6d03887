//! Recording of the events of the decision machine in metrics, traces and logs.

use std::sync::Arc;

use hollywheel_node::{NodeEvent, RequestSummary};
use hollywheel_policy::RequestEnd;
use hollywheel_types::{MonoTime, RequestId};

use crate::events::{EventContext, LogEvent, log_event};
use crate::metrics::DaemonMetrics;
use crate::traces::TraceRing;

/// Records events of the decision machine in metrics, traces and logs.
#[derive(Clone, Debug)]
pub struct CoreObserver {
    /// Metrics of the host.
    pub metrics: Arc<DaemonMetrics>,
    /// Traces of recent requests.
    pub traces: Arc<TraceRing>,
}

impl CoreObserver {
    /// Records one event.
    pub fn observe(&self, now: MonoTime, event: &NodeEvent) {
        self.metrics.observe(event);
        self.traces.record(now, event);
        match event {
            NodeEvent::Mismatched { nonce } => log_event(
                LogEvent::AnswerMismatched,
                &EventContext::default(),
                &format!("attempt {nonce}"),
            ),
            NodeEvent::Ended(summary) => self.log_end(summary),
            NodeEvent::AttemptEnded {
                request,
                nonce,
                server,
                outcome,
                ..
            } => log_event(
                LogEvent::AttemptEnded,
                &self.context(*request),
                &format!("attempt {nonce} at {server} ended as {outcome:?}"),
            ),
            _ => {}
        }
    }

    fn log_end(&self, summary: &RequestSummary) {
        let event = match summary.end {
            RequestEnd::Attained => LogEvent::RequestAttained,
            RequestEnd::Late => LogEvent::RequestLate,
            RequestEnd::Refused => LogEvent::RequestRefused,
            RequestEnd::Failed => LogEvent::RequestFailed,
        };
        let reason = summary.reason.map_or("none", |reason| reason.name());
        log_event(
            event,
            &self.context(summary.request),
            &format!(
                "{}/{} {} verdict {} reason {reason} after {} ms and {} attempts",
                summary.workspace,
                summary.pipeline,
                summary.class,
                summary.verdict,
                summary.total.as_millis(),
                summary.attempts
            ),
        );
    }

    fn context(&self, request: RequestId) -> EventContext {
        EventContext {
            request: Some(request),
            trace: self.traces.trace_of(request),
        }
    }
}
