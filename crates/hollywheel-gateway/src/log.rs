//! The log: structured lines on standard output, bounded in number, that never wait for their
//! reader.

use std::cell::RefCell;
use std::time::Duration;

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use hollywheel_clock::HostClock;
use hollywheel_types::MonoTime;

use crate::events::GatewayEvent;

/// Lines that wait for the writer; more are dropped. At 300 bytes a line this is 0.6 MB.
const MAX_QUEUED_LINES: usize = 2048;
/// Lines of one event in one second; a host of the largest deployment described ends about 70
/// requests a second.
const MAX_LINES_PER_SECOND: u32 = 100;

/// Writes the log to standard output until the guard is dropped.
pub(crate) fn start_log(level: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    // A log that is set up already, as in tests, stays.
    let _ = tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(format!("off,hollywheel_gateway={level}")))
        .with_writer(writer)
        .with_target(false)
        .json()
        .flatten_event(true)
        .try_init();
    guard
}

#[derive(Clone, Copy)]
struct EventCount {
    event: GatewayEvent,
    second: u64,
    written: u32,
    suppressed: u64,
}

/// Bounds the lines of each event and counts those that it leaves out.
pub(crate) struct LogLimiter {
    clock: HostClock,
    counts: RefCell<Vec<EventCount>>,
}

impl LogLimiter {
    pub(crate) fn new(clock: HostClock) -> Self {
        Self {
            clock,
            counts: RefCell::default(),
        }
    }

    /// Says whether a line of an event may be written now.
    pub(crate) fn allows(&self, event: GatewayEvent) -> bool {
        let second = whole_seconds(self.clock.now());
        let mut counts = self.counts.borrow_mut();
        let position = counts.iter().position(|count| count.event == event);
        let position = position.unwrap_or_else(|| {
            counts.push(EventCount {
                event,
                second,
                written: 0,
                suppressed: 0,
            });
            counts.len() - 1
        });
        let count = &mut counts[position];
        if count.second != second {
            if count.suppressed > 0 {
                tracing::warn!(
                    code = GatewayEvent::LinesSuppressed.code(),
                    count = count.suppressed,
                    event = event.code(),
                    "{}",
                    GatewayEvent::LinesSuppressed.title()
                );
            }
            count.second = second;
            count.written = 0;
            count.suppressed = 0;
        }
        if count.written >= MAX_LINES_PER_SECOND {
            count.suppressed += 1;
            return false;
        }
        count.written += 1;
        true
    }
}

const fn whole_seconds(time: MonoTime) -> u64 {
    time.0 / 1_000_000
}

/// Returns the milliseconds of a span, as a number that log lines hold.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Writes a line of the catalogue if the bound allows it.
macro_rules! log_line {
    ($host:expr, $level:ident, $event:ident, $($fields:tt)*) => {
        if $host.log.allows($crate::events::GatewayEvent::$event) {
            tracing::$level!(
                code = $crate::events::GatewayEvent::$event.code(),
                $($fields)*,
                "{}",
                $crate::events::GatewayEvent::$event.title()
            );
        }
    };
}

pub(crate) use log_line;
