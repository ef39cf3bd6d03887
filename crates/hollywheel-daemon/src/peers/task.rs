//! Event loop around the membership state machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_membership::{
    MemberInput, MemberMachine, MemberMessage, MemberOutput, MemberRecord, MemberState,
};
use hollywheel_node::{HostInfo, HostView, NodeInput};
use hollywheel_transport::HostTransport;
use hollywheel_types::{ConfigVersion, MonoTime};
use tokio::sync::watch;

use super::directory::HostDirectory;
use crate::core::CoreHandle;
use crate::events::{EventContext, LogEvent, log_event};
use crate::install::InstallHandle;
use crate::metrics::DaemonMetrics;
use crate::orders::OrderHandle;
use crate::queue::SharedReceiver;
use hollywheel_clock::{HostClock, sleep_until};

/// Time between two attempts to join through the seed hosts.
const JOIN_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum time between two copies of the membership records to the host directory.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Handles through which the task performs the outputs of the state machine.
#[derive(Debug)]
pub struct MemberEffects {
    /// Transport between hosts; `None` on a host without a certificate, which has no peers.
    pub transport: Option<HostTransport>,
    /// Addresses of the hosts to join.
    pub seed_hosts: Vec<SocketAddr>,
    /// Directory of the known hosts, shared with the other tasks.
    pub directory: Arc<HostDirectory>,
    /// Handle of the node state machine.
    pub core: CoreHandle,
    /// Handle of the install state machine.
    pub install: InstallHandle,
    /// Handle of the order state machine.
    pub orders: OrderHandle,
    /// Metrics of the host.
    pub metrics: Arc<DaemonMetrics>,
    /// Set to `true` when a newer process uses the name of this host.
    pub superseded: watch::Sender<bool>,
}

/// Task that feeds the membership state machine and performs its outputs.
#[derive(Debug)]
pub struct MemberTask {
    machine: MemberMachine,
    clock: HostClock,
    receiver: SharedReceiver<MemberInput>,
    effects: MemberEffects,
    next_join: MonoTime,
    next_refresh: MonoTime,
}

impl MemberTask {
    /// Creates the task for a state machine.
    pub const fn new(
        machine: MemberMachine,
        clock: HostClock,
        receiver: SharedReceiver<MemberInput>,
        effects: MemberEffects,
    ) -> Self {
        Self {
            machine,
            clock,
            receiver,
            effects,
            next_join: MonoTime(0),
            next_refresh: MonoTime(0),
        }
    }

    /// Runs until every [`MemberHandle`](super::MemberHandle) is dropped.
    pub async fn run(mut self) {
        let mut receiver = self.receiver.clone().lock_owned().await;
        let own = self.own_record();
        self.hosts_changed(vec![own]).await;
        self.handle_input(MemberInput::Tick).await;
        loop {
            let wake = self.machine.next_wake();
            let join = self.join_due();
            tokio::select! {
                input = receiver.recv() => match input {
                    Some(input) => self.handle_input(input).await,
                    None => return,
                },
                () = sleep_until(&self.clock, wake) => self.handle_input(MemberInput::Tick).await,
                () = sleep_until(&self.clock, join) => self.join_seeds(),
            }
        }
    }

    fn own_record(&self) -> MemberRecord {
        let settings = self.machine.settings();
        MemberRecord {
            host: settings.host.clone(),
            incarnation: settings.incarnation,
            refutation: 0,
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            address: settings.address,
            state: MemberState::Alive,
            config_version: ConfigVersion(0),
        }
    }

    /// Returns when to join through the seed hosts next, or `None` if another host is alive or
    /// there are no seed hosts.
    fn join_due(&self) -> Option<MonoTime> {
        let alone = self.effects.directory.alive() <= 1;
        (alone && !self.effects.seed_hosts.is_empty()).then_some(self.next_join)
    }

    fn join_seeds(&mut self) {
        self.next_join = self.clock.now() + JOIN_INTERVAL;
        let Some(transport) = &self.effects.transport else {
            return;
        };
        let message = MemberMessage::Join {
            record: self.own_record(),
        };
        for seed in &self.effects.seed_hosts {
            transport.send(*seed, &message);
        }
    }

    async fn handle_input(&mut self, input: MemberInput) {
        let outputs = self.machine.handle(self.clock.now(), input);
        for output in outputs {
            self.perform(output).await;
        }
        self.refresh_directory();
    }

    /// Copies the membership records to the directory, at most once per [`REFRESH_INTERVAL`].
    /// Fields such as the configuration version change without [`MemberOutput::HostsChanged`].
    fn refresh_directory(&mut self) {
        let now = self.clock.now();
        if now < self.next_refresh {
            return;
        }
        self.next_refresh = now + REFRESH_INTERVAL;
        let records = self.machine.records();
        if !records.is_empty() {
            self.effects.directory.replace(records);
        }
    }

    async fn perform(&self, output: MemberOutput) {
        let effects = &self.effects;
        match output {
            MemberOutput::Send { to, message } => {
                if let Some(transport) = &effects.transport {
                    transport.send(to, &message);
                }
            }
            MemberOutput::HostsChanged(records) => self.hosts_changed(records).await,
            MemberOutput::ServerLeaving(server) => {
                let detail = server.to_string();
                log_event(LogEvent::ServerLeaving, &EventContext::default(), &detail);
                effects.core.send(NodeInput::ServerLeaving(server)).await;
            }
            MemberOutput::FetchConfig { from, version } => effects.install.peer_has(from, version),
            MemberOutput::ConfigPublished(version) => effects.install.version_published(version),
            MemberOutput::Superseded { by } => {
                let detail = format!("incarnation {by} uses the name of this host");
                log_event(LogEvent::HostSuperseded, &EventContext::default(), &detail);
                effects.superseded.send_replace(true);
            }
        }
    }

    async fn hosts_changed(&self, alive: Vec<MemberRecord>) {
        let known_records = self.machine.records();
        let known_records = if known_records.is_empty() {
            alive.clone()
        } else {
            known_records
        };
        let mut hosts: Vec<HostInfo> = alive
            .iter()
            .map(|record| HostInfo {
                host: record.host.clone(),
                incarnation: record.incarnation,
                domain: record.domain.clone(),
            })
            .collect();
        hosts.sort_by(|a, b| a.host.cmp(&b.host));
        let effects = &self.effects;
        effects.directory.replace(known_records);
        effects.metrics.set_hosts_alive(hosts.len());
        effects.install.hosts_alive(hosts.len());
        effects.orders.hosts(&hosts).await;
        let detail = format!("{} hosts", hosts.len());
        log_event(LogEvent::HostsChanged, &EventContext::default(), &detail);
        effects
            .core
            .send(NodeInput::Hosts(HostView { hosts }))
            .await;
    }
}
