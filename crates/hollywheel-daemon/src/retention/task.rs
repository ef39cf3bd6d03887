//! The loop around the sweep.

use std::sync::Arc;
use std::time::Duration;

use hollywheel_membership::MemberState;
use hollywheel_platform::PlatformService;
use hollywheel_retention::{
    RetentionInput, RetentionMachine, RetentionOutput, RetentionSettings, RetentionTicket,
};
use hollywheel_store::StoreRequest;
use hollywheel_types::HostId;
use tokio::sync::{mpsc, watch};

use crate::events::{EventContext, LogEvent, log_event};
use crate::metrics::DaemonMetrics;
use crate::peers::HostDirectory;
use crate::supervisor::HostPhase;
use hollywheel_clock::{HostClock, sleep_until};

/// Gives the time between two looks at the hosts taken for alive.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds the answers that wait; the machine makes one call at a time.
const QUEUE: usize = 4;

/// Removes old rows while this host is the one that sweeps.
#[derive(Clone)]
pub struct RetentionTask {
    /// The settings of the sweep.
    pub settings: RetentionSettings,
    /// The clock.
    pub clock: HostClock,
    /// The hosts that this host knows.
    pub directory: Arc<HostDirectory>,
    /// The platform.
    pub platform: Arc<dyn PlatformService>,
    /// The metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// The phase of the process; a host that shuts down does not sweep.
    pub phase: watch::Receiver<HostPhase>,
}

impl std::fmt::Debug for RetentionTask {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RetentionTask").finish_non_exhaustive()
    }
}

impl RetentionTask {
    /// Runs for as long as the process.
    pub async fn run(self) {
        let mut machine = RetentionMachine::new(self.settings.clone());
        let (sender, mut answers) = mpsc::channel(QUEUE);
        loop {
            let look = self.clock.now() + LOOK_INTERVAL;
            let wake = machine.next_wake().map_or(look, |wake| wake.min(look));
            let input = tokio::select! {
                Some(input) = answers.recv() => input,
                () = sleep_until(&self.clock, Some(wake)) => {
                    RetentionInput::Tick(self.clock.wall())
                }
            };
            for input in [RetentionInput::Hosts(self.alive()), input] {
                for output in machine.handle(self.clock.now(), input) {
                    self.carry_out(output, &sender);
                }
            }
        }
    }

    fn alive(&self) -> Vec<HostId> {
        if *self.phase.borrow() != HostPhase::Serving {
            return Vec::new();
        }
        let records = self.directory.records();
        let alive = records
            .iter()
            .filter(|record| matches!(record.state, MemberState::Alive | MemberState::Suspect));
        alive.map(|record| record.host.clone()).collect()
    }

    fn carry_out(&self, output: RetentionOutput, sender: &mpsc::Sender<RetentionInput>) {
        match output {
            RetentionOutput::Store { ticket, request } => self.call(ticket, request, sender),
            RetentionOutput::Removed {
                claims,
                config_rows,
            } => {
                self.metrics.rows_removed("claim", claims);
                self.metrics.rows_removed("config-change", config_rows);
            }
            RetentionOutput::PassEnded { read } => {
                self.metrics.pass_ended();
                let detail = format!("{read} claims read");
                log_event(LogEvent::SweepEnded, &EventContext::default(), &detail);
            }
            RetentionOutput::ConfigKept(version) => {
                let detail = format!("whole set of version {version}");
                log_event(LogEvent::ConfigKept, &EventContext::default(), &detail);
            }
        }
    }

    fn call(
        &self,
        ticket: RetentionTicket,
        request: StoreRequest,
        sender: &mpsc::Sender<RetentionInput>,
    ) {
        let platform = Arc::clone(&self.platform);
        let metrics = Arc::clone(&self.metrics);
        let sender = sender.clone();
        let timeout = self.settings.call_timeout;
        tokio::spawn(async move {
            let result = platform.table(request, timeout).await;
            metrics.store_called(&result);
            let _ = sender.send(RetentionInput::Store { ticket, result }).await;
        });
    }
}
