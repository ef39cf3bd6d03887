//! Functions that start the children of the supervisor.

use std::net::TcpListener;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use hollywheel_config::{InstallMachine, InstallSettings};
use hollywheel_membership::MemberMachine;
use hollywheel_node::NodeMachine;
use hollywheel_orders::{OrderMachine, OrderSettings};
use hollywheel_retention::RetentionSettings;
use tokio::sync::watch;

use super::components::HostComponents;
use crate::admin::start_admin;
use crate::backend::{CollectorSettings, LoadCollector};
use crate::core::{CoreEffects, CoreObserver, CoreTask};
use crate::events::{EventContext, LogEvent, log_event};
use crate::front::start_front;
use crate::install::{InstallEffects, InstallTask};
use crate::orders::{OrderEffects, OrderTask};
use crate::peers::{HostListReader, MemberEffects, MemberTask, PeerRequestDispatcher};
use crate::retention::RetentionTask;
use crate::supervisor::{ChildRun, HostPhase};
use crate::ticker::MetricsTicker;
use crate::web::{WebServer, close_listener};

/// Time-out for open connections to finish once the process is closing.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(6);

/// Returns a run that ends at once, for a child whose resources are not available.
fn ended_run() -> ChildRun {
    Box::pin(std::future::ready(()))
}

impl HostComponents {
    /// Returns the function that starts the decision machine. It can start once only, because the
    /// state of the machine cannot be rebuilt.
    pub(crate) fn core_run(&self) -> impl FnMut() -> ChildRun + Send + use<> {
        let effects = CoreEffects::new(
            self.core.clone(),
            self.backend.clone(),
            Arc::new(self.platform.clone()),
            self.peers.clone(),
            self.store_timeout(),
            Arc::clone(&self.metrics),
            self.drained.clone(),
        );
        let observer = CoreObserver {
            metrics: Arc::clone(&self.metrics),
            traces: Arc::clone(&self.traces),
        };
        let receiver = self
            .core_receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let machine = NodeMachine::new(self.node_settings());
        let clock = self.clock;
        let mut task =
            receiver.map(|receiver| CoreTask::new(machine, clock, receiver, effects, observer));
        move || match task.take() {
            Some(task) => Box::pin(task.run()),
            None => ended_run(),
        }
    }

    /// Returns the function that starts the membership protocol.
    pub(crate) fn member_run(&self) -> impl FnMut() -> ChildRun + Send + use<> {
        let settings = self.member_settings();
        let receiver = Arc::clone(&self.member_receiver);
        let clock = self.clock;
        let transport = self.transport.clone();
        let seed_hosts = self.settings.seed_hosts.clone();
        let directory = Arc::clone(&self.directory);
        let core = self.core.clone();
        let install = self.install.clone();
        let orders = self.orders.clone();
        let metrics = Arc::clone(&self.metrics);
        let superseded = self.stop.clone();
        move || {
            let effects = MemberEffects {
                transport: transport.clone(),
                seed_hosts: seed_hosts.clone(),
                directory: Arc::clone(&directory),
                core: core.clone(),
                install: install.clone(),
                orders: orders.clone(),
                metrics: Arc::clone(&metrics),
                superseded: superseded.clone(),
            };
            let machine = MemberMachine::new(settings.clone());
            let task = MemberTask::new(machine, clock, Arc::clone(&receiver), effects);
            Box::pin(task.run())
        }
    }

    /// Returns the function that starts the installation of configuration versions.
    pub(crate) fn install_run(&self) -> impl FnMut() -> ChildRun + Send + use<> {
        let settings = InstallSettings {
            seed: self.seed,
            min_poll_interval: self.settings.config_poll,
            ..InstallSettings::default()
        };
        let receiver = Arc::clone(&self.install_receiver);
        let clock = self.clock;
        let handle = self.install.clone();
        let platform = self.platform.clone();
        let peers = self.peers.clone();
        let core = self.core.clone();
        let orders = self.orders.clone();
        let config = Arc::clone(&self.config);
        let metrics = Arc::clone(&self.metrics);
        let store_timeout = settings.call_timeout;
        move || {
            let effects = InstallEffects {
                handle: handle.clone(),
                platform: Arc::new(platform.clone()),
                peers: peers.clone(),
                core: core.clone(),
                orders: orders.clone(),
                config: Arc::clone(&config),
                metrics: Arc::clone(&metrics),
                store_timeout,
            };
            let machine = InstallMachine::new(settings.clone());
            let task = InstallTask::new(machine, clock, Arc::clone(&receiver), effects);
            Box::pin(task.run())
        }
    }

    /// Returns the function that starts model placement.
    pub(crate) fn order_run(&self) -> impl FnMut() -> ChildRun + Send + use<> {
        let settings = OrderSettings::new(self.settings.host.clone(), self.incarnation, self.seed);
        let receiver = Arc::clone(&self.order_receiver);
        let clock = self.clock;
        let handle = self.orders.clone();
        let platform = self.platform.clone();
        let backend = self.backend.clone();
        let metrics = Arc::clone(&self.metrics);
        let store_timeout = self.store_timeout();
        move || {
            let effects = OrderEffects {
                handle: handle.clone(),
                platform: Arc::new(platform.clone()),
                backend: backend.clone(),
                metrics: Arc::clone(&metrics),
                store_timeout,
            };
            let machine = OrderMachine::new(settings.clone());
            let task = OrderTask::new(machine, clock, Arc::clone(&receiver), effects);
            Box::pin(task.run())
        }
    }

    /// Returns the function that starts the removal of old rows.
    pub(crate) fn retention_run(&self) -> impl FnMut() -> ChildRun + Send + use<> {
        let task = RetentionTask {
            settings: RetentionSettings {
                host: self.settings.host.clone(),
                claim_retention: self.settings.claim_retention,
                ..RetentionSettings::default()
            },
            clock: self.clock,
            directory: Arc::clone(&self.directory),
            platform: Arc::new(self.platform.clone()),
            metrics: Arc::clone(&self.metrics),
            phase: self.phase.subscribe(),
        };
        move || Box::pin(task.clone().run())
    }

    /// Returns the function that starts the receiver of requests from other hosts.
    pub(crate) fn request_run(&self) -> impl FnMut() -> ChildRun + Send + use<> {
        let receiver = self.host_requests.clone();
        let member = self.member.clone();
        let core = self.core.clone();
        let install = self.install.clone();
        move || {
            // A host without a certificate has no transport, so this child has nothing to do.
            let Some(receiver) = receiver.clone() else {
                return Box::pin(std::future::pending());
            };
            let task = PeerRequestDispatcher {
                receiver,
                member: member.clone(),
                core: core.clone(),
                install: install.clone(),
            };
            Box::pin(task.run())
        }
    }

    /// Returns the function that starts the reader of the host list.
    pub(crate) fn host_list_run(&self) -> impl FnMut() -> ChildRun + Send + use<> {
        let platform = self.platform.clone();
        let member = self.member.clone();
        let seed = self.seed;
        move || {
            let reader = HostListReader {
                platform: Arc::new(platform.clone()),
                member: member.clone(),
                seed,
            };
            Box::pin(reader.run())
        }
    }

    /// Returns the function that starts the load collector.
    pub(crate) fn collector_run(&self) -> impl FnMut() -> ChildRun + Send + use<> {
        let collector = LoadCollector {
            settings: CollectorSettings {
                interval: self.settings.load_poll,
                polls_per_second: self.settings.load_polls,
                seed: self.seed,
            },
            backend: self.backend.clone(),
            reports: Arc::clone(&self.reports),
            core: self.core.clone(),
            clock: self.clock,
            config: Arc::clone(&self.config),
        };
        move || Box::pin(collector.clone().run())
    }

    /// Returns the function that starts the metrics ticker.
    pub(crate) fn ticker_run(&self) -> impl FnMut() -> ChildRun + Send + use<> {
        let ticker = MetricsTicker {
            core: self.core.clone(),
            front: Arc::clone(&self.front),
            metrics: Arc::clone(&self.metrics),
        };
        move || Box::pin(ticker.clone().run())
    }

    /// Returns the function that starts the listener for callers.
    pub(crate) fn front_run(&self) -> impl FnMut() -> ChildRun + Send + use<> {
        let state = Arc::clone(&self.front);
        let listener = self.front_listener.try_clone();
        let phase = self.phase.subscribe();
        move || {
            let state = Arc::clone(&state);
            let started = clone_listener(&listener).and_then(|socket| start_front(state, socket));
            serve(started, clone_listener(&listener), phase.clone())
        }
    }

    /// Returns the function that starts the listener for operators.
    pub(crate) fn admin_run(&self) -> impl FnMut() -> ChildRun + Send + use<> {
        let state = Arc::clone(&self.admin);
        let listener = self.admin_listener.try_clone();
        let phase = self.phase.subscribe();
        move || {
            let state = Arc::clone(&state);
            let started = clone_listener(&listener).and_then(|socket| start_admin(state, socket));
            serve(started, clone_listener(&listener), phase.clone())
        }
    }
}

/// Duplicates a listener, or copies the error with which its own duplication failed.
fn clone_listener(listener: &std::io::Result<TcpListener>) -> std::io::Result<TcpListener> {
    match listener {
        Ok(listener) => listener.try_clone(),
        Err(error) => Err(std::io::Error::new(error.kind(), error.to_string())),
    }
}

/// Returns a run of a server, which lasts until the process is closing. A server that failed to
/// start is logged and its run ends at once.
fn serve(
    started: std::io::Result<WebServer>,
    listener: std::io::Result<TcpListener>,
    phase: watch::Receiver<HostPhase>,
) -> ChildRun {
    match started.and_then(|server| Ok((server, listener?))) {
        Ok((server, listener)) => Box::pin(serve_until_closing(server, listener, phase)),
        Err(error) => {
            let detail = error.to_string();
            log_event(LogEvent::ListenFailed, &EventContext::default(), &detail);
            ended_run()
        }
    }
}

/// Waits until the process is closing or the server fails. When closing, the listener is shut down
/// and open connections get [`CLOSE_TIMEOUT`] to finish.
async fn serve_until_closing(
    mut server: WebServer,
    listener: TcpListener,
    mut phase: watch::Receiver<HostPhase>,
) {
    let failed = tokio::select! {
        () = server.ended() => true,
        _ = phase.wait_for(|phase| *phase == HostPhase::Closing) => false,
    };
    if !failed {
        close_listener(listener);
        server.stop(CLOSE_TIMEOUT).await;
    }
}
