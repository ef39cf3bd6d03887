//! Structured logging to standard output. Lines are rate-limited per event, and a slow reader
//! never blocks the process.

use std::cell::RefCell;
use std::time::Duration;

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use hollywheel_clock::HostClock;
use hollywheel_types::MonoTime;

use crate::events::GatewayEvent;

/// Maximum number of lines queued for the writer; further lines are dropped. At 300 bytes a line
/// the queue takes 0.6 MB.
const MAX_QUEUED_LINES: usize = 2048;
/// Maximum number of lines per event and second. A host of the largest supported deployment ends
/// about 70 requests a second, each with one line.
const MAX_LINES_PER_SECOND: u32 = 100;

/// Starts writing the log to standard output; dropping the guard flushes and ends it.
pub(crate) fn start_log(level: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    // Fails if the process already has a subscriber, as in tests; that one is kept.
    let _ = tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(format!("off,hollywheel_gateway={level}")))
        .with_writer(writer)
        .with_target(false)
        .json()
        .flatten_event(true)
        .try_init();
    guard
}

/// Lines of one event in the current second.
#[derive(Clone, Copy)]
struct EventCount {
    event: GatewayEvent,
    second: u64,
    written: u32,
    suppressed: u64,
}

/// Rate limiter of log lines per event, which also counts the suppressed lines.
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

    /// Returns whether a line of an event may be written now. Logs the number of lines suppressed
    /// in an earlier second.
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

/// Returns a duration in whole milliseconds, the unit of durations in log lines.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Logs an event of the catalogue with its fields, unless it is rate-limited.
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
