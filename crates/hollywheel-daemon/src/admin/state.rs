//! Shared state of the operators' interface.

use std::sync::Arc;

use arc_swap::ArcSwap;
use hollywheel_platform::PlatformClient;
use hollywheel_transport::HostTransport;
use hollywheel_types::{DomainId, HostId, Incarnation};
use tokio::sync::watch;

use crate::backend::LoadReportTracker;
use crate::config_view::ConfigView;
use crate::core::CoreHandle;
use crate::front::FrontState;
use crate::install::InstallHandle;
use crate::peers::HostDirectory;
use crate::settings::OperatorEntry;
use crate::web::ConnectionLimit;
use hollywheel_clock::HostClock;

/// Maximum size of a request body, in bytes. A configuration with 4,800 workspaces fits.
pub const MAX_BODY: u64 = 16 * 1024 * 1024;

/// State shared by all calls of operators.
pub struct AdminState {
    pub(crate) host: HostId,
    pub(crate) domain: DomainId,
    pub(crate) incarnation: Incarnation,
    pub(crate) max_body: u64,
    pub(crate) connections: Arc<ConnectionLimit>,
    pub(crate) operators: ArcSwap<Vec<OperatorEntry>>,
    pub(crate) core: CoreHandle,
    pub(crate) install: InstallHandle,
    pub(crate) platform: PlatformClient,
    pub(crate) transport: Option<HostTransport>,
    pub(crate) config: Arc<ConfigView>,
    pub(crate) directory: Arc<HostDirectory>,
    pub(crate) reports: Arc<LoadReportTracker>,
    pub(crate) front: Arc<FrontState>,
    pub(crate) clock: HostClock,
    pub(crate) stop: watch::Sender<bool>,
}

impl std::fmt::Debug for AdminState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdminState").finish_non_exhaustive()
    }
}
