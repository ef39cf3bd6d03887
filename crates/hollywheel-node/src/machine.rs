//! State machine of one host.

use std::collections::VecDeque;
use std::sync::Arc;

use hollywheel_claims::{ClaimOutput, ClaimSettings, ClaimTable};
use hollywheel_config::{ObjectSet, PublishedSet};
use hollywheel_policy::{AdmitDecision, PolicyEngine};
use hollywheel_types::{ConfigVersion, HostId, MonoTime, PoolId, RequestId, SortedMap};

use crate::drain::DrainState;
use crate::input::{CallTicket, HostView, NodeInput};
use crate::late::LateAttemptTable;
use crate::nonce::NonceSource;
use crate::output::NodeOutput;
use crate::settings::NodeSettings;
use crate::table::RunTable;

/// Sans-I/O state machine that handles all requests of one host.
#[derive(Debug)]
pub struct NodeMachine {
    pub(crate) settings: NodeSettings,
    pub(crate) policy: PolicyEngine,
    pub(crate) claims: ClaimTable,
    /// Outputs of the claim table that are not processed yet.
    pub(crate) pending_claim_outputs: VecDeque<ClaimOutput>,
    /// When the claim table next needs a tick.
    pub(crate) claim_wake: Option<MonoTime>,
    pub(crate) nonces: NonceSource,
    pub(crate) config: Option<Arc<ObjectSet>>,
    pub(crate) config_version: ConfigVersion,
    pub(crate) runs: RunTable,
    pub(crate) late_attempts: LateAttemptTable,
    /// Requests forwarded to the hosts that issued their keys, by ticket.
    pub(crate) forwards: SortedMap<CallTicket, RequestId>,
    pub(crate) key_nonces: NonceSource,
    pub(crate) next_forward: u64,
    /// Pools in which an attempt ended while the current input was handled.
    pub(crate) freed_pools: Vec<PoolId>,
    pub(crate) drain: DrainState,
}

impl NodeMachine {
    /// Creates a state machine without a configuration.
    pub fn new(settings: NodeSettings) -> Self {
        let claims = ClaimTable::new(ClaimSettings {
            host: settings.policy.host.clone(),
            incarnation: settings.incarnation,
            linger: settings.claim_linger,
            batch: settings.claim_batch,
            store_timeout: settings.store_timeout,
            ..ClaimSettings::default()
        });
        Self {
            policy: PolicyEngine::new(settings.policy.clone()),
            claims,
            pending_claim_outputs: VecDeque::new(),
            claim_wake: None,
            nonces: NonceSource::new(&settings),
            config: None,
            config_version: ConfigVersion::default(),
            runs: RunTable::default(),
            late_attempts: LateAttemptTable::default(),
            forwards: SortedMap::new(),
            key_nonces: NonceSource::for_keys(&settings),
            next_forward: 0,
            freed_pools: Vec::new(),
            drain: DrainState::default(),
            settings,
        }
    }

    /// Returns the settings that the state machine was created with.
    pub const fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Returns the policy engine, for status reports.
    pub const fn policy(&self) -> &PolicyEngine {
        &self.policy
    }

    /// Returns the claim table, for status reports.
    pub const fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Returns the configuration version in force, or zero before the first one is installed.
    pub const fn config_version(&self) -> ConfigVersion {
        self.config_version
    }

    /// Returns the number of requests in progress, including those that wait for admission.
    pub const fn requests(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of requests that wait for admission.
    pub fn queued(&self) -> usize {
        self.runs.queued().len()
    }

    /// Returns whether the host accepts requests: it has a configuration and is not draining.
    pub const fn is_ready(&self) -> bool {
        self.config.is_some() && matches!(self.drain, DrainState::Serving)
    }

    /// Handles one input and returns its effects in the order in which they must be carried out.
    pub fn handle(&mut self, now: MonoTime, input: NodeInput) -> Vec<NodeOutput> {
        let mut out = Vec::new();
        self.apply_input(now, input, &mut out);
        self.process_due_work(now, &mut out);
        self.check_drained(now, &mut out);
        out
    }

    fn apply_input(&mut self, now: MonoTime, input: NodeInput, out: &mut Vec<NodeOutput>) {
        match input {
            NodeInput::Config(published) => self.install_config(now, &published),
            NodeInput::Hosts(view) => self.set_hosts(now, &view),
            NodeInput::Report { report, age } => self.policy.server_reported(now, &report, age),
            NodeInput::ServerLeaving(server) => self.policy.server_leaving(now, &server),
            NodeInput::Request(request) => self.receive(now, request, out),
            NodeInput::CallerGone(request) => self.caller_gone(now, request, out),
            NodeInput::Attempt { nonce, event } => self.attempt_event(now, nonce, event, out),
            NodeInput::Store { ticket, result } => self.store_answered(now, ticket, &result),
            NodeInput::HostAsks {
                ticket, question, ..
            } => self.host_asks(ticket, &question, out),
            NodeInput::HostAnswers { ticket, answer } => self.host_answered(now, ticket, answer),
            NodeInput::IssueKey { ticket, workspace } => {
                self.issue_key(now, ticket, &workspace, out);
            }
            NodeInput::Forwarded { ticket, end } => self.forward_ended(now, ticket, end, out),
            NodeInput::Drain(span) => self.begin_drain(now, span, out),
            NodeInput::Tick => {}
        }
    }

    /// Processes claim outputs, due timers, freed pools and policy decisions until none is left.
    fn process_due_work(&mut self, now: MonoTime, out: &mut Vec<NodeOutput>) {
        loop {
            self.process_claim_outputs(now, out);
            if let Some(id) = self.runs.first_due(now) {
                self.handle_run_timer(now, id, out);
            } else if self.claim_wake.is_some_and(|wake| wake <= now) {
                self.tick_claims(now);
            } else if self
                .late_attempts
                .next_wake()
                .is_some_and(|wake| wake <= now)
            {
                self.expire_late_attempts(now, out);
            } else if let Some(pool) = self.freed_pools.pop() {
                self.repick_waiting(now, &pool, out);
            } else if !self.poll_policy(now, out) {
                return;
            }
        }
    }

    fn poll_policy(&mut self, now: MonoTime, out: &mut Vec<NodeOutput>) -> bool {
        let notices = self.policy.poll(now);
        let any = !notices.is_empty();
        for notice in notices {
            match notice.decision {
                AdmitDecision::Start => self.admitted(now, notice.request, out),
                AdmitDecision::Refuse {
                    reason,
                    retry_after,
                } => self.not_admitted(now, notice.request, reason, retry_after, out),
                AdmitDecision::Wait => {}
            }
        }
        any
    }

    fn install_config(&mut self, now: MonoTime, published: &PublishedSet) {
        if self.config.is_some() && published.version <= self.config_version {
            return;
        }
        let set = Arc::new(published.set.clone());
        self.config_version = published.version;
        self.policy.install(now, &set);
        self.config = Some(set);
    }

    fn set_hosts(&mut self, now: MonoTime, view: &HostView) {
        let names: Vec<HostId> = view.hosts.iter().map(|info| info.host.clone()).collect();
        self.policy.set_host_names(now, &names);
        let hosts = view.hosts.iter();
        self.claims
            .set_peers(hosts.map(|info| (info.host.clone(), info.incarnation)));
    }

    /// Returns when the next [`NodeInput::Tick`] is due, if any timer is set.
    pub fn next_wake(&self) -> Option<MonoTime> {
        [
            self.runs.next_wake(),
            self.late_attempts.next_wake(),
            self.claim_wake,
            self.policy.next_wake(),
            self.drain_wake(),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
