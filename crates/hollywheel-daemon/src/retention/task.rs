//! Event loop around the retention state machine.

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

/// Time between two checks of the live hosts, from which the host that sweeps is chosen.
const HOST_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Capacity of the reply queue. The state machine makes one call at a time.
const REPLY_QUEUE_CAPACITY: usize = 4;

/// Task that deletes old claim and configuration rows while this host is the one that sweeps.
#[derive(Clone)]
pub struct RetentionTask {
    /// Settings of the retention state machine.
    pub settings: RetentionSettings,
    /// Clock of the host.
    pub clock: HostClock,
    /// Directory of the known hosts.
    pub directory: Arc<HostDirectory>,
    /// Client of the platform's table service.
    pub platform: Arc<dyn PlatformService>,
    /// Metrics of the host.
    pub metrics: Arc<DaemonMetrics>,
    /// Phase of the process. A host that is shutting down does not sweep.
    pub phase: watch::Receiver<HostPhase>,
}

impl std::fmt::Debug for RetentionTask {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RetentionTask").finish_non_exhaustive()
    }
}

impl RetentionTask {
    /// Runs until it is aborted.
    pub async fn run(self) {
        let mut machine = RetentionMachine::new(self.settings.clone());
        let (sender, mut replies) = mpsc::channel(REPLY_QUEUE_CAPACITY);
        loop {
            let next_check = self.clock.now() + HOST_CHECK_INTERVAL;
            let wake = machine
                .next_wake()
                .map_or(next_check, |wake| wake.min(next_check));
            let input = tokio::select! {
                Some(input) = replies.recv() => input,
                () = sleep_until(&self.clock, Some(wake)) => {
                    RetentionInput::Tick(self.clock.wall())
                }
            };
            for input in [RetentionInput::Hosts(self.live_hosts()), input] {
                for output in machine.handle(self.clock.now(), input) {
                    self.perform(output, &sender);
                }
            }
        }
    }

    fn live_hosts(&self) -> Vec<HostId> {
        if *self.phase.borrow() != HostPhase::Serving {
            return Vec::new();
        }
        let records = self.directory.records();
        let live_hosts = records
            .iter()
            .filter(|record| matches!(record.state, MemberState::Alive | MemberState::Suspect));
        live_hosts.map(|record| record.host.clone()).collect()
    }

    fn perform(&self, output: RetentionOutput, sender: &mpsc::Sender<RetentionInput>) {
        match output {
            RetentionOutput::Store { ticket, request } => self.call_store(ticket, request, sender),
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
                let detail = format!("snapshot of version {version}");
                log_event(LogEvent::ConfigKept, &EventContext::default(), &detail);
            }
        }
    }

    fn call_store(
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
