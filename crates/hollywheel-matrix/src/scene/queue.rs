//! Events in virtual time.

use hollywheel_node::{AttemptCall, CallTicket, NodeInput};
use hollywheel_store::StoreRequest;
use hollywheel_types::{Incarnation, MonoTime, SortedMap};

/// Names a process: a host and the start of its process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessRef {
    /// The host, by its position.
    pub host: usize,
    /// The start of the process.
    pub incarnation: Incarnation,
}

/// Names what happens at a point.
#[derive(Clone, Debug)]
pub enum SceneEvent {
    /// An input reaches a process.
    Input {
        /// The process.
        to: ProcessRef,
        /// The input.
        input: NodeInput,
        /// Whether it is delivered even if its attempt was cancelled.
        stray: bool,
        /// Whether faults have been considered for it.
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
    /// A write takes effect after its call was given up.
    LateWrite(StoreRequest),
    /// A paused process goes on.
    Resume(ProcessRef),
    /// Another process starts on a host.
    Restart(usize),
    /// A process asked to be woken.
    Wake(ProcessRef),
    /// The caller sends a request to a host.
    Submit {
        /// The host.
        host: usize,
        /// The number of the submission.
        number: u128,
    },
    /// The caller fetches a key from a host.
    FetchKey {
        /// The host.
        host: usize,
    },
    /// The host hears of the other's process.
    View {
        /// The host.
        host: usize,
    },
}

/// Holds the events to come, in order.
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

    /// Takes the first event.
    pub fn pop(&mut self) -> Option<(MonoTime, SceneEvent)> {
        let key = *self.events.keys().next()?;
        let event = self.events.remove(&key)?;
        Some((key.0, event))
    }
}
