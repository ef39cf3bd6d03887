//! Detection of replies that end early, usually because the caller disconnected.

use hollywheel_types::RequestId;

use crate::core::CoreHandle;
use crate::events::{EventContext, LogEvent, log_event};
use crate::traces::TraceId;

/// Reports the caller as disconnected if it is dropped before the reply is complete.
#[derive(Debug)]
pub(super) struct DisconnectGuard {
    core: CoreHandle,
    context: EventContext,
    request: RequestId,
    finished: bool,
}

impl DisconnectGuard {
    pub(super) const fn new(core: CoreHandle, request: RequestId, trace: TraceId) -> Self {
        let context = EventContext {
            request: Some(request),
            trace: Some(trace),
        };
        Self {
            core,
            context,
            request,
            finished: false,
        }
    }

    /// Marks the reply as complete, so that dropping the guard reports nothing.
    pub(super) const fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        log_event(
            LogEvent::CallerDisconnected,
            &self.context,
            "dropped before the last part of the reply",
        );
        self.core.caller_gone(self.request);
    }
}
