//! The callers that wait for replies.

use hollywheel_node::ReplyPart;
use hollywheel_types::{RequestId, SortedMap};

use super::handle::ReplySink;

/// Says what became of a part of a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DeliverOutcome {
    /// It waits for the caller to read it, or the caller was known to be gone.
    Done,
    /// The caller does not read or is gone; it was cut off.
    Cut,
}

/// Maps requests in progress to their callers. The machine bounds the requests.
#[derive(Debug, Default)]
pub(super) struct ReplyTable {
    sinks: SortedMap<RequestId, ReplySink>,
}

impl ReplyTable {
    pub(super) fn add(&mut self, request: RequestId, sink: ReplySink) {
        self.sinks.insert(request, sink);
    }

    pub(super) fn remove(&mut self, request: RequestId) {
        self.sinks.remove(&request);
    }

    pub(super) fn deliver(&mut self, request: RequestId, part: ReplyPart) -> DeliverOutcome {
        let Some(sink) = self.sinks.get(&request) else {
            return DeliverOutcome::Done;
        };
        let last = !matches!(part, ReplyPart::Token { .. });
        let sent = sink.try_send(part).is_ok();
        if last || !sent {
            self.sinks.remove(&request);
        }
        if sent {
            DeliverOutcome::Done
        } else {
            DeliverOutcome::Cut
        }
    }
}
