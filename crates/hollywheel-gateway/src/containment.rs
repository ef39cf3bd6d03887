//! Containment of panics: one ends the work that met it, is logged and counted, and leaves the task
//! around that work running, so that its owner can answer and give back what the work held.

use std::any::Any;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::panic::{AssertUnwindSafe, PanicHookInfo, catch_unwind};
use std::rc::Rc;
use std::sync::Once;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::log::{LogLimiter, log_line};
use crate::metrics::TaskLabel;

/// Number of panics per second that are also written to standard error, which nothing else bounds.
const MAX_PRINTED: u32 = 10;
/// Maximum length of a panic's message in the log, in characters.
const MAX_DETAIL: usize = 300;

/// Work in which panics are contained.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TaskKind {
    /// A caller's request until its answer begins, or its whole answer.
    Request,
    /// The stream of an answer that has begun.
    Stream,
    /// The record of a request's end.
    RequestEnd,
    /// A batched call to a stage server.
    StageCall,
    /// A change of the queue of a pool's shard.
    BatchQueue,
    /// A call that frees results at a stage server.
    ResultRelease,
    /// A message of another host.
    PeerMessage,
    /// A message to another host that nothing waits for.
    PeerNews,
    /// A connection of a caller, a server, the store or another host.
    Connection,
    /// A request for the readiness or the metrics.
    Status,
    /// A task of the process that is restarted.
    Supervised,
}

impl TaskKind {
    const fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Stream => "stream",
            Self::RequestEnd => "request-end",
            Self::StageCall => "stage-call",
            Self::BatchQueue => "batch-queue",
            Self::ResultRelease => "result-release",
            Self::PeerMessage => "peer-message",
            Self::PeerNews => "peer-news",
            Self::Connection => "connection",
            Self::Status => "status",
            Self::Supervised => "supervised",
        }
    }
}

/// The work has panicked; the panic is logged and counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct WorkPanicked;

impl WorkPanicked {
    /// Reason of requests that end for this.
    pub(crate) const REASON: &'static str = "an internal fault ended the work on the request";
}

impl fmt::Display for WorkPanicked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(Self::REASON)
    }
}

impl std::error::Error for WorkPanicked {}

thread_local! {
    /// Place in the code of the last panic on this thread, which its payload does not contain.
    static LAST_PLACE: RefCell<String> = const { RefCell::new(String::new()) };
    /// Start of the current second and the number of panics printed in it.
    static PRINTED: RefCell<Option<(Instant, u32)>> = const { RefCell::new(None) };
}

/// Records the place of each panic of the process, and bounds how many are printed.
pub(crate) fn install_panic_hook() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        let print = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            record_place(info);
            if may_print() {
                print(info);
            }
        }));
    });
}

fn record_place(info: &PanicHookInfo<'_>) {
    let place = info.location().map(ToString::to_string);
    // Fails only while the thread ends.
    let _ = LAST_PLACE.try_with(|last| last.replace(place.unwrap_or_default()));
}

fn may_print() -> bool {
    let printed = PRINTED.try_with(|printed| {
        let now = Instant::now();
        let mut printed = printed.borrow_mut();
        let (start, count) = match *printed {
            Some((start, count)) if now.duration_since(start) < Duration::from_secs(1) => {
                (start, count)
            }
            _ => (now, 0),
        };
        *printed = Some((start, count.saturating_add(1)));
        count < MAX_PRINTED
    });
    printed.unwrap_or(true)
}

/// Logs and counts panics.
#[derive(Clone)]
pub(crate) struct PanicRecorder {
    pub(crate) log: Rc<LogLimiter>,
    panics: Family<TaskLabel, Counter>,
    count: Rc<Cell<u64>>,
}

impl PanicRecorder {
    pub(crate) fn new(log: Rc<LogLimiter>, panics: Family<TaskLabel, Counter>) -> Self {
        Self {
            log,
            panics,
            count: Rc::default(),
        }
    }

    /// Returns the number of panics so far.
    pub(crate) fn count(&self) -> u64 {
        self.count.get()
    }

    /// Runs work to its end. `request` is the id of the request that the work serves, if it serves
    /// one.
    ///
    /// # Errors
    ///
    /// Returns [`WorkPanicked`] if the work has panicked. What it had borrowed is given back, and
    /// what it owned is dropped.
    pub(crate) async fn contain<T>(
        &self,
        task: TaskKind,
        request: &str,
        work: impl Future<Output = T>,
    ) -> Result<T, WorkPanicked> {
        let ended = AssertUnwindSafe(work).catch_unwind().await;
        ended.map_err(|payload| self.record(task, request, payload.as_ref()))
    }

    /// Calls a function as [`Self::contain`] runs a future.
    ///
    /// # Errors
    ///
    /// Returns [`WorkPanicked`] if the function has panicked.
    pub(crate) fn contain_call<T>(
        &self,
        task: TaskKind,
        request: &str,
        call: impl FnOnce() -> T,
    ) -> Result<T, WorkPanicked> {
        let ended = catch_unwind(AssertUnwindSafe(call));
        ended.map_err(|payload| self.record(task, request, payload.as_ref()))
    }

    /// Spawns work whose outcome nothing waits for.
    pub(crate) fn spawn<T>(&self, task: TaskKind, work: impl Future<Output = T> + 'static) {
        let recorder = self.clone();
        tokio::task::spawn_local(async move {
            let _ = recorder.contain(task, "", work).await;
        });
    }

    fn record(&self, task: TaskKind, request: &str, payload: &(dyn Any + Send)) -> WorkPanicked {
        let label = TaskLabel { task: task.name() };
        self.panics.get_or_create(&label).inc();
        self.count.set(self.count.get().wrapping_add(1));
        let place = LAST_PLACE.with(|last| last.take());
        let detail = describe(payload);
        log_line!(
            self,
            error,
            WorkPanicked,
            task = task.name(),
            request,
            place,
            detail
        );
        WorkPanicked
    }
}

/// Returns the message of a panic, shortened.
fn describe(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    let text = text.unwrap_or("a panic without a message");
    text.chars().take(MAX_DETAIL).collect()
}
