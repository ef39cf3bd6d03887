//! Reply channels of the requests in progress.

use hollywheel_node::ReplyPart;
use hollywheel_types::{RequestId, SortedMap};

use super::handle::ReplySink;

/// Outcome of delivering a part of a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DeliveryOutcome {
    /// The part was queued for the caller, or the caller had already disconnected.
    Done,
    /// The channel was full or closed, so the caller was disconnected.
    Disconnected,
}

/// Maps requests in progress to their reply channels. Its size is bounded by the request limit of
/// the decision machine.
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

    pub(super) fn deliver(&mut self, request: RequestId, part: ReplyPart) -> DeliveryOutcome {
        let Some(sink) = self.sinks.get(&request) else {
            return DeliveryOutcome::Done;
        };
        let last = !matches!(part, ReplyPart::Token { .. });
        let sent = sink.try_send(part).is_ok();
        if last || !sent {
            self.sinks.remove(&request);
        }
        if sent {
            DeliveryOutcome::Done
        } else {
            DeliveryOutcome::Disconnected
        }
    }
}
