//! Supervisor tree: the tasks of the process and the restart policy of each.

use std::fmt;
use std::pin::Pin;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::events::{EventContext, LogEvent, log_event};
use crate::host::HostComponents;

/// Restarts of one child allowed within [`RESTART_WINDOW`]; one more ends the process.
const MAX_RESTARTS: usize = 5;
const RESTART_WINDOW: Duration = Duration::from_secs(60);
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Name of the child that runs the node state machine. Without it there is nothing to drain.
pub const NODE_MACHINE_CHILD: &str = "node state machine";

/// Phase of the process. The phases follow each other in this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HostPhase {
    /// Requests are accepted.
    Serving,
    /// New requests are rejected; requests in flight continue.
    Draining,
    /// Connections are being closed.
    Closing,
}

/// Policy for a child that fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RestartPolicy {
    /// Restarts the child, up to the restart limit.
    Restart,
    /// Drains and ends the process, because the state of the child cannot be rebuilt.
    EndProcess,
}

/// Future of one run of a child. A run that ends before the process closes counts as a failure.
pub type ChildRun = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Child of the supervisor.
pub struct ChildEntry {
    /// Name for the log. Children whose name starts with `listener` are not aborted on closing.
    pub name: &'static str,
    /// Policy when a run fails.
    pub restart_policy: RestartPolicy,
    /// Factory of runs.
    pub start: Box<dyn FnMut() -> ChildRun + Send>,
}

impl fmt::Debug for ChildEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ChildEntry")
            .field("name", &self.name)
            .field("restart_policy", &self.restart_policy)
            .finish_non_exhaustive()
    }
}

fn child(
    name: &'static str,
    restart_policy: RestartPolicy,
    start: impl FnMut() -> ChildRun + Send + 'static,
) -> ChildEntry {
    ChildEntry {
        name,
        restart_policy,
        start: Box::new(start),
    }
}

/// Returns every child of the process.
///
/// The node state machine holds the claims made by this process, so its failure ends the process.
/// The other state machines rebuild their state from the table service and from other hosts. The
/// listeners and collectors keep no state between calls.
pub fn list_children(parts: &HostComponents) -> Vec<ChildEntry> {
    use RestartPolicy::{EndProcess, Restart};
    vec![
        child(NODE_MACHINE_CHILD, EndProcess, parts.core_run()),
        child("membership", Restart, parts.member_run()),
        child("configuration install", Restart, parts.install_run()),
        child("model placement", Restart, parts.order_run()),
        child("retention", Restart, parts.retention_run()),
        child("peer request dispatcher", Restart, parts.request_run()),
        child("host list reader", Restart, parts.host_list_run()),
        child("load collector", Restart, parts.collector_run()),
        child("metrics ticker", Restart, parts.ticker_run()),
        child("listener for callers", Restart, parts.front_run()),
        child("listener for operators", Restart, parts.admin_run()),
    ]
}

/// Running children, each under its restart policy.
#[derive(Debug)]
pub struct SupervisorTree {
    children: Vec<JoinHandle<()>>,
    failed_child: watch::Receiver<Option<&'static str>>,
}

impl SupervisorTree {
    /// Starts every child. Must be called within a Tokio runtime.
    pub fn start(children: Vec<ChildEntry>, phase: &watch::Receiver<HostPhase>) -> Self {
        let (sender, failed_child) = watch::channel(None);
        let children = children
            .into_iter()
            .map(|child| tokio::spawn(supervise(child, phase.clone(), sender.clone())))
            .collect();
        Self {
            children,
            failed_child,
        }
    }

    /// Waits until a child has failed and is not restarted, and returns its name.
    pub async fn failure(&mut self) -> &'static str {
        loop {
            if let Some(name) = *self.failed_child.borrow_and_update() {
                return name;
            }
            if self.failed_child.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits until every child has ended or the timeout has passed.
    pub async fn close(self, timeout: Duration) {
        let children_ended = async {
            for child in self.children {
                let _ = child.await;
            }
        };
        let _ = tokio::time::timeout(timeout, children_ended).await;
    }
}

async fn supervise(
    mut child: ChildEntry,
    mut phase: watch::Receiver<HostPhase>,
    failed_child: watch::Sender<Option<&'static str>>,
) {
    let mut restarts: Vec<Instant> = Vec::new();
    loop {
        let mut run = tokio::spawn((child.start)());
        let is_listener = child.name.starts_with("listener");
        let detail = tokio::select! {
            end = &mut run => match end {
                Ok(()) => "the task returned".to_owned(),
                Err(error) => error.to_string(),
            },
            () = wait_for_closing(&mut phase), if !is_listener => {
                run.abort();
                return;
            }
        };
        if *phase.borrow() == HostPhase::Closing {
            return;
        }
        let now = Instant::now();
        restarts.retain(|at| now - *at < RESTART_WINDOW);
        restarts.push(now);
        let detail = format!("{}: {detail}", child.name);
        if child.restart_policy == RestartPolicy::EndProcess || restarts.len() > MAX_RESTARTS {
            log_event(LogEvent::ChildFailed, &EventContext::default(), &detail);
            failed_child.send_replace(Some(child.name));
            return;
        }
        log_event(LogEvent::ChildRestarted, &EventContext::default(), &detail);
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}

async fn wait_for_closing(phase: &mut watch::Receiver<HostPhase>) {
    let reached = phase
        .wait_for(|phase| *phase == HostPhase::Closing)
        .await
        .is_ok();
    if !reached {
        std::future::pending::<()>().await;
    }
}
