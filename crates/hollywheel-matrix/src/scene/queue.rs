//! Queue of events in virtual time.

use hollywheel_node::{AttemptCall, CallTicket, NodeInput};
use hollywheel_store::StoreRequest;
use hollywheel_types::{Incarnation, MonoTime, SortedMap};

/// Identifies a process by its host and incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessRef {
    /// The index of the host.
    pub host: usize,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}

/// An event of the simulation.
#[derive(Clone, Debug)]
pub enum SceneEvent {
    /// An input reaches a process.
    Input {
        /// The process.
        to: ProcessRef,
        /// The input.
        input: NodeInput,
        /// Whether the input is delivered even if its attempt was cancelled.
        stray: bool,
        /// Whether faults were already applied to the input.
        seen: bool,
    },
    /// A call reaches a backend server.
    Call {
        /// The caller.
        from: ProcessRef,
        /// The call.
        call: Box<AttemptCall>,
    },
    /// A call reaches the table service.
    Store {
        /// The caller.
        from: ProcessRef,
        /// The call.
        ticket: CallTicket,
        /// The request.
        request: StoreRequest,
        /// Whether the answer is lost.
        lost: bool,
    },
    /// A write takes effect after its call has timed out.
    LateWrite(StoreRequest),
    /// A paused process resumes.
    Resume(ProcessRef),
    /// Another process starts on a host.
    Restart(usize),
    /// A timer of a process expires.
    Wake(ProcessRef),
    /// The caller sends a request to a host.
    Submit {
        /// The host.
        host: usize,
        /// The index of the submission.
        number: u128,
    },
    /// The caller fetches a key from a host.
    FetchKey {
        /// The host.
        host: usize,
    },
    /// The host is notified of the process of the other host.
    View {
        /// The host.
        host: usize,
    },
}

/// Queue of future events, sorted by time.
#[derive(Debug, Default)]
pub struct EventQueue {
    events: SortedMap<(MonoTime, u64), SceneEvent>,
    next: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn push(&mut self, at: MonoTime, event: SceneEvent) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    /// Removes and returns the first event.
    pub fn pop(&mut self) -> Option<(MonoTime, SceneEvent)> {
        let key = *self.events.keys().next()?;
        let event = self.events.remove(&key)?;
        Some((key.0, event))
    }
}
