//! Notice of callers that leave.

use hollywheel_types::RequestId;

use crate::core::CoreHandle;
use crate::events::{EventContext, LogEvent, log_event};
use crate::traces::TraceId;

/// Tells the machine that the caller is gone if it is dropped before the last part.
#[derive(Debug)]
pub(super) struct CallerGuard {
    core: CoreHandle,
    context: EventContext,
    request: RequestId,
    done: bool,
}

impl CallerGuard {
    pub(super) const fn new(core: CoreHandle, request: RequestId, trace: TraceId) -> Self {
        let context = EventContext {
            request: Some(request),
            trace: Some(trace),
        };
        Self {
            core,
            context,
            request,
            done: false,
        }
    }

    /// Notes that the last part was taken.
    pub(super) const fn finish(&mut self) {
        self.done = true;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        log_event(
            LogEvent::CallerDisconnected,
            &self.context,
            "before the last part",
        );
        self.core.caller_gone(self.request);
    }
}
