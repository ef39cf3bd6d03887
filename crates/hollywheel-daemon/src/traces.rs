//! In-memory event history of recent requests.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Mutex, PoisonError};

use hollywheel_admin::{TraceDocument, TraceEvent};
use hollywheel_node::NodeEvent;
use hollywheel_types::{MonoTime, RequestId, ServerId, SortedMap, StageId};

/// Maximum number of requests kept; the oldest is evicted for a new one.
const MAX_REQUESTS: usize = 2048;
/// Maximum number of events kept for one request; later ones are dropped.
const MAX_EVENTS: usize = 64;

/// Trace identifier of the W3C trace context.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TraceId(pub u128);

impl fmt::Display for TraceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

#[derive(Debug, Default)]
struct RequestTrace {
    trace: TraceId,
    started_at: MonoTime,
    events: Vec<TraceEvent>,
}

#[derive(Debug, Default)]
struct TraceTable {
    requests: SortedMap<RequestId, RequestTrace>,
    insertion_order: VecDeque<RequestId>,
}

impl TraceTable {
    fn open(&mut self, request: RequestId, trace: RequestTrace) {
        if self.requests.contains_key(&request) {
            return;
        }
        if self.insertion_order.len() >= MAX_REQUESTS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.requests.remove(&oldest);
        }
        self.requests.insert(request, trace);
        self.insertion_order.push_back(request);
    }
}

/// Bounded buffer with the events of recent requests.
#[derive(Debug, Default)]
pub struct TraceRing {
    table: Mutex<TraceTable>,
}

impl TraceRing {
    /// Starts recording a request.
    pub fn open(&self, now: MonoTime, request: RequestId, trace: TraceId) {
        let record = RequestTrace {
            trace,
            started_at: now,
            events: Vec::new(),
        };
        self.lock().open(request, record);
    }

    /// Records an event of the node state machine for the request it belongs to. Events of unknown
    /// requests are dropped.
    pub fn record(&self, now: MonoTime, event: &NodeEvent) {
        let Some(entry) = trace_entry(event) else {
            return;
        };
        let mut table = self.lock();
        let Some(record) = table.requests.get_mut(&entry.request) else {
            return;
        };
        if record.events.len() >= MAX_EVENTS {
            return;
        }
        let at = now.since(record.started_at);
        record.events.push(TraceEvent {
            at_us: u64::try_from(at.as_micros()).unwrap_or(u64::MAX),
            event: entry.text,
            stage: entry.stage,
            server: entry.server,
        });
    }

    /// Returns the trace identifier of a request, or `None` if the request is not kept.
    pub fn trace_of(&self, request: RequestId) -> Option<TraceId> {
        let table = self.lock();
        table.requests.get(&request).map(|record| record.trace)
    }

    /// Returns the recorded events of a request, or `None` if the request is not kept.
    pub fn document(&self, request: RequestId) -> Option<TraceDocument> {
        let table = self.lock();
        table.requests.get(&request).map(|record| TraceDocument {
            request,
            events: record.events.clone(),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, TraceTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct TraceEntry {
    request: RequestId,
    text: String,
    stage: Option<StageId>,
    server: Option<ServerId>,
}

fn trace_entry(event: &NodeEvent) -> Option<TraceEntry> {
    let request_entry = |request: RequestId, text: &str| TraceEntry {
        request,
        text: text.to_owned(),
        stage: None,
        server: None,
    };
    match event {
        NodeEvent::Received { request } => Some(request_entry(*request, "received")),
        NodeEvent::Admitted { request } => Some(request_entry(*request, "admitted")),
        NodeEvent::Claimed { request } => Some(request_entry(*request, "claimed")),
        NodeEvent::Sent {
            request,
            stage,
            server,
            kind,
            ..
        } => Some(TraceEntry {
            request: *request,
            text: format!("sent as {kind:?}").to_lowercase(),
            stage: Some(stage.clone()),
            server: Some(server.clone()),
        }),
        NodeEvent::AttemptEnded {
            request,
            stage,
            server,
            outcome,
            ..
        } => Some(TraceEntry {
            request: *request,
            text: format!("{outcome:?}").to_lowercase(),
            stage: Some(stage.clone()),
            server: Some(server.clone()),
        }),
        NodeEvent::Ended(summary) => Some(request_entry(
            summary.request,
            &format!("ended as {:?}, verdict {}", summary.end, summary.verdict).to_lowercase(),
        )),
        _ => None,
    }
}
