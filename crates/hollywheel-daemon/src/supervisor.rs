//! The supervisor tree: which part runs under which restart policy.

use std::fmt;
use std::pin::Pin;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::events::{EventContext, LogEvent, log_event};
use crate::host::HostParts;

/// Bounds the restarts of one child within [`RESTART_WINDOW`]; one more ends the process.
const MAX_RESTARTS: usize = 5;
const RESTART_WINDOW: Duration = Duration::from_secs(60);
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Names the child whose loss leaves nothing to drain.
pub const NODE_MACHINE_CHILD: &str = "decision machine";

/// Names the phases that the process passes through, in order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HostPhase {
    /// Requests are taken.
    Serving,
    /// No request is taken; those in progress go on.
    Draining,
    /// Connections are closed.
    Closing,
}

/// Says what happens when a child fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RestartPolicy {
    /// It starts again, a bounded number of times.
    Restart,
    /// What it held in memory cannot be rebuilt, so the process drains and ends.
    EndProcess,
}

/// Holds one run of a child. A run that ends before the process closes is a failure.
pub type ChildRun = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Describes a child.
pub struct ChildEntry {
    /// The name, for the log.
    pub name: &'static str,
    /// What happens when it fails.
    pub restart_policy: RestartPolicy,
    /// Starts a run.
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

/// Lists every child of the process.
///
/// The decision machine holds the claims that this process made, so its loss ends the process.
/// The other machines rebuild their state from the table service and from other hosts. The
/// listeners and the collectors hold nothing that outlives a call.
pub fn list_children(parts: &HostParts) -> Vec<ChildEntry> {
    use RestartPolicy::{EndProcess, Restart};
    vec![
        child(NODE_MACHINE_CHILD, EndProcess, parts.core_run()),
        child("membership", Restart, parts.member_run()),
        child("configuration install", Restart, parts.install_run()),
        child("model placement", Restart, parts.order_run()),
        child("removal of old rows", Restart, parts.retention_run()),
        child("requests of hosts", Restart, parts.request_run()),
        child("host list reader", Restart, parts.host_list_run()),
        child("load collector", Restart, parts.collector_run()),
        child("metrics ticker", Restart, parts.ticker_run()),
        child("listener for callers", Restart, parts.front_run()),
        child("listener for operators", Restart, parts.admin_run()),
    ]
}

/// Runs children under their rules.
#[derive(Debug)]
pub struct SupervisorTree {
    children: Vec<JoinHandle<()>>,
    failed: watch::Receiver<Option<&'static str>>,
}

impl SupervisorTree {
    /// Starts every child. Must be called within a runtime.
    pub fn start(children: Vec<ChildEntry>, phase: &watch::Receiver<HostPhase>) -> Self {
        let (sender, failed) = watch::channel(None);
        let children = children
            .into_iter()
            .map(|child| tokio::spawn(keep_running(child, phase.clone(), sender.clone())))
            .collect();
        Self { children, failed }
    }

    /// Waits until a child has failed for good and returns its name.
    pub async fn failure(&mut self) -> &'static str {
        loop {
            if let Some(name) = *self.failed.borrow_and_update() {
                return name;
            }
            if self.failed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits until the listeners have closed, within a bound.
    pub async fn close(self, bound: Duration) {
        let all = async {
            for child in self.children {
                let _ = child.await;
            }
        };
        let _ = tokio::time::timeout(bound, all).await;
    }
}

async fn keep_running(
    mut child: ChildEntry,
    mut phase: watch::Receiver<HostPhase>,
    failed: watch::Sender<Option<&'static str>>,
) {
    let mut restarts: Vec<Instant> = Vec::new();
    loop {
        let mut run = tokio::spawn((child.start)());
        let is_listener = child.name.starts_with("listener");
        let detail = tokio::select! {
            end = &mut run => match end {
                Ok(()) => "ended".to_owned(),
                Err(error) => error.to_string(),
            },
            () = closing(&mut phase), if !is_listener => {
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
            log_event(LogEvent::ChildGivenUp, &EventContext::default(), &detail);
            failed.send_replace(Some(child.name));
            return;
        }
        log_event(LogEvent::ChildRestarted, &EventContext::default(), &detail);
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}

async fn closing(phase: &mut watch::Receiver<HostPhase>) {
    let reached = phase
        .wait_for(|phase| *phase == HostPhase::Closing)
        .await
        .is_ok();
    if !reached {
        std::future::pending::<()>().await;
    }
}
