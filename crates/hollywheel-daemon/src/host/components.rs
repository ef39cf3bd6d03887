//! Construction and wiring of the components of a host.

use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use hollywheel_membership::{MemberInput, MemberSettings};
use hollywheel_node::NodeSettings;
use hollywheel_orders::OrderInput;
use hollywheel_platform::{PlatformClient, PlatformSettings};
use hollywheel_policy::PolicySettings;
use hollywheel_transport::{HostRequest, HostTransport, TransportIdentity, TransportSettings};
use hollywheel_types::Incarnation;
use http::HeaderValue;
use tokio::sync::{mpsc, watch};

use super::error::HostError;
use crate::admin::AdminState;
use crate::backend::{BackendCaller, BackendSettings, LoadReportTracker};
use crate::config_view::ConfigView;
use crate::core::{CoreHandle, CoreMessage, core_channel};
use crate::front::{FrontSettings, FrontState};
use crate::install::{InstallHandle, InstallMessage, install_channel};
use crate::metrics::DaemonMetrics;
use crate::orders::{OrderHandle, order_channel};
use crate::peers::{HostDirectory, MemberHandle, PeerCaller, member_channel};
use crate::queue::{SharedReceiver, share_receiver};
use crate::settings::{DaemonSettings, SecretText, TlsSettings};
use crate::supervisor::HostPhase;
use crate::traces::TraceRing;
use crate::web::{ConnectionLimit, bind_listener};
use hollywheel_clock::{HostClock, random_seed};

/// All components of a host, from which the children of the supervisor are started.
pub struct HostComponents {
    pub(super) settings: DaemonSettings,
    pub(super) incarnation: Incarnation,
    pub(super) seed: u64,
    pub(super) clock: HostClock,
    pub(super) metrics: Arc<DaemonMetrics>,
    pub(super) traces: Arc<TraceRing>,
    pub(super) config: Arc<ConfigView>,
    pub(super) directory: Arc<HostDirectory>,
    pub(super) platform: PlatformClient,
    pub(super) backend: BackendCaller,
    pub(super) reports: Arc<LoadReportTracker>,
    pub(super) peers: PeerCaller,
    pub(super) transport: Option<HostTransport>,
    pub(super) core: CoreHandle,
    pub(super) core_receiver: Mutex<Option<mpsc::Receiver<CoreMessage>>>,
    pub(super) member: MemberHandle,
    pub(super) member_receiver: SharedReceiver<MemberInput>,
    pub(super) install: InstallHandle,
    pub(super) install_receiver: SharedReceiver<InstallMessage>,
    pub(super) orders: OrderHandle,
    pub(super) order_receiver: SharedReceiver<OrderInput>,
    pub(super) host_requests: Option<SharedReceiver<HostRequest>>,
    pub(super) front: Arc<FrontState>,
    pub(super) front_listener: TcpListener,
    pub(super) admin: Arc<AdminState>,
    pub(super) admin_listener: TcpListener,
    pub(super) phase: watch::Sender<HostPhase>,
    pub(super) drained: watch::Sender<bool>,
    pub(super) stop: watch::Sender<bool>,
}

impl std::fmt::Debug for HostComponents {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HostComponents").finish_non_exhaustive()
    }
}

impl HostComponents {
    /// Binds the listeners and builds all components. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns [`HostError`], which names the component that could not be started.
    pub fn build(settings: DaemonSettings) -> Result<Self, HostError> {
        let clock = HostClock::start();
        let incarnation = clock.incarnation();
        let random = random_seed().map_err(HostError::Random)?;
        let seed = u64::from_le_bytes(random[..8].try_into().unwrap_or_default());
        let front_listener = listen("listen", settings.listen)?;
        let admin_listener = listen("admin-listen", settings.admin_listen)?;
        let metrics = Arc::new(DaemonMetrics::new());
        let traces = Arc::new(TraceRing::default());
        let config = Arc::new(ConfigView::default());
        let directory = Arc::new(HostDirectory::default());
        let platform = build_platform(&settings)?;
        let (transport, host_requests) = build_transport(&settings)?;
        let (core, core_receiver) = core_channel();
        let (member, member_receiver) = member_channel();
        let (install, install_receiver) = install_channel();
        let (orders, order_receiver) = order_channel();
        let peers = PeerCaller::new(member.clone(), Arc::clone(&directory), transport.clone());
        let reports = Arc::new(LoadReportTracker::new(clock, peers.clone()));
        let backend = BackendCaller::new(
            BackendSettings::default(),
            clock,
            Arc::clone(&reports),
            Arc::clone(&traces),
        );
        let front = Arc::new(FrontState::new(
            FrontSettings {
                max_body: settings.max_body.0,
                max_connections: settings.max_connections,
                workers: settings.workers,
            },
            core.clone(),
            Arc::clone(&config),
            clock,
            Arc::clone(&metrics),
            Arc::clone(&traces),
            random,
        ));
        let (stop, _) = watch::channel(false);
        let admin = Arc::new(AdminState {
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            incarnation,
            max_body: crate::admin::MAX_BODY,
            connections: Arc::new(ConnectionLimit::new(
                settings.max_operator_connections,
                metrics.connections("operators"),
            )),
            operators: ArcSwap::from_pointee(settings.secrets.operators.clone()),
            core: core.clone(),
            install: install.clone(),
            platform: platform.clone(),
            transport: transport.clone(),
            config: Arc::clone(&config),
            directory: Arc::clone(&directory),
            reports: Arc::clone(&reports),
            front: Arc::clone(&front),
            clock,
            stop: stop.clone(),
        });
        Ok(Self {
            settings,
            incarnation,
            seed,
            clock,
            metrics,
            traces,
            config,
            directory,
            platform,
            backend,
            reports,
            peers,
            transport,
            core,
            core_receiver: Mutex::new(Some(core_receiver)),
            member,
            member_receiver,
            install,
            install_receiver,
            orders,
            order_receiver,
            host_requests,
            front,
            front_listener,
            admin,
            admin_listener,
            phase: watch::Sender::new(HostPhase::Serving),
            drained: watch::Sender::new(false),
            stop,
        })
    }

    pub(super) fn node_settings(&self) -> NodeSettings {
        let settings = &self.settings;
        NodeSettings {
            policy: PolicySettings {
                host: settings.host.clone(),
                domain: settings.domain.clone(),
                seed: self.seed,
                routing: settings.routing,
                ..PolicySettings::default()
            },
            incarnation: self.incarnation,
            max_requests: settings.max_requests,
            ..NodeSettings::default()
        }
    }

    pub(super) fn member_settings(&self) -> MemberSettings {
        let settings = &self.settings;
        let address = match &self.transport {
            Some(transport) => transport.local_address(),
            None => settings.peer_listen,
        };
        MemberSettings::new(
            settings.host.clone(),
            self.incarnation,
            settings.domain.clone(),
            settings.region.clone(),
            address,
            self.seed,
        )
    }

    /// Returns the time-out of a call to the table service.
    pub(super) fn store_timeout(&self) -> Duration {
        NodeSettings::default().store_timeout
    }
}

fn listen(flag: &'static str, address: std::net::SocketAddr) -> Result<TcpListener, HostError> {
    bind_listener(address).map_err(|source| HostError::Listen { flag, source })
}

fn build_platform(settings: &DaemonSettings) -> Result<PlatformClient, HostError> {
    let token = settings.secrets.platform_token.as_ref();
    let authorization = token.map(bearer_value).transpose()?;
    Ok(PlatformClient::new(PlatformSettings {
        address: settings.platform,
        authorization,
        ..PlatformSettings::default()
    }))
}

/// Returns the value of the `authorization` header with a bearer token, marked as sensitive.
///
/// # Errors
///
/// Returns [`HostError::PlatformToken`] if the token is not a valid header value.
pub(crate) fn bearer_value(token: &SecretText) -> Result<HeaderValue, HostError> {
    let mut value = HeaderValue::from_str(&format!("Bearer {}", token.reveal()))
        .map_err(|_| HostError::PlatformToken)?;
    value.set_sensitive(true);
    Ok(value)
}

/// Converts the TLS settings to the identity that the transport presents to other hosts.
pub(crate) fn transport_identity(tls: &TlsSettings) -> TransportIdentity {
    TransportIdentity {
        authority_pem: tls.authority.clone(),
        certificate_pem: tls.certificate.clone(),
        key_pem: tls.key.reveal().to_owned(),
    }
}

/// Transport and the receiver of its requests; both are `None` on a host without a certificate.
type TransportPair = (Option<HostTransport>, Option<SharedReceiver<HostRequest>>);

fn build_transport(settings: &DaemonSettings) -> Result<TransportPair, HostError> {
    let Some(tls) = &settings.secrets.tls else {
        return Ok((None, None));
    };
    let settings = TransportSettings::new(
        settings.host.clone(),
        settings.peer_listen,
        transport_identity(tls),
    );
    let (transport, receiver) = HostTransport::bind(settings).map_err(HostError::Transport)?;
    Ok((Some(transport), Some(share_receiver(receiver))))
}
