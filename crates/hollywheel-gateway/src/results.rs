//! Ownership of stage results: requests hold them, then release them in batches.

use std::cell::RefCell;
use std::time::Duration;

use prost::Message as _;

use hollywheel_serving::{PieceHandle, PoolShard};
use hollywheel_types::{HostId, PoolId, SortedMap};
use hollywheel_wire::serving::FreeResults;

use crate::containment::TaskKind;
use crate::host::Host;
use crate::peer_client::FREE_PATH;
use crate::stage_client::{FREE_TIMEOUT, free_at_servers};

/// Interval at which released results are sent, so that one call frees many. At full load the
/// memory of a server lasts about twenty times as long.
const FLUSH_INTERVAL: Duration = Duration::from_millis(20);

/// Coordinator of the shard that produced a result; it tracks the memory of the shard's servers.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ResultOwner {
    pub(crate) host: HostId,
    pub(crate) pool: PoolId,
    pub(crate) shard: PoolShard,
}

/// Results that are no longer needed and wait to be freed, by owner.
#[derive(Default)]
pub(crate) struct ReleaseQueue {
    unneeded: RefCell<SortedMap<ResultOwner, Vec<PieceHandle>>>,
}

impl ReleaseQueue {
    /// Adds results of an owner to the queue.
    pub(crate) fn enqueue(&self, owner: &ResultOwner, handles: Vec<PieceHandle>) {
        if handles.is_empty() {
            return;
        }
        self.unneeded
            .borrow_mut()
            .get_or_insert_with(owner.clone(), Vec::new)
            .extend(handles);
    }
}

/// Sends the queued releases to their owners at a fixed interval.
pub(crate) async fn flush_release_queue(host: Host) {
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        let unneeded = host.release_queue.unneeded.take();
        for (owner, handles) in unneeded.iter() {
            if *host.hosts.borrow().own() == owner.host {
                host.coordinator
                    .release(&host, &owner.pool, &owner.shard, handles);
            } else {
                let message = FreeResults {
                    pool: owner.pool.to_string(),
                    handles: handles.clone(),
                    shard: owner
                        .shard
                        .domain()
                        .map(ToString::to_string)
                        .unwrap_or_default(),
                };
                let sent = send_release(host.clone(), owner.host.clone(), message);
                host.panics.spawn(TaskKind::ResultRelease, sent);
            }
        }
        host.coordinator.free_unneeded(&host);
    }
}

/// Sends released results to the host that owns them; frees them directly at their servers if
/// that host is not known or does not answer.
async fn send_release(host: Host, owner: HostId, message: FreeResults) {
    let record = {
        let hosts = host.hosts.borrow();
        hosts.records().find(|record| record.name == owner).cloned()
    };
    let Some(record) = record else {
        free_at_servers(&host, &message.handles);
        return;
    };
    let body = message.encode_to_vec();
    let sent = host
        .peers
        .call(&record, FREE_PATH, body, FREE_TIMEOUT)
        .await;
    if let Err(failure) = sent {
        host.mark_unreachable(&owner, "results", failure.name());
        free_at_servers(&host, &message.handles);
    }
}

/// Results of one stage, and the host to which they are released.
struct HeldStage {
    owner: ResultOwner,
    handles: Vec<PieceHandle>,
}

/// Results of the stages of one request. Dropping this value releases those that are left.
pub(crate) struct HeldResults {
    host: Host,
    stages: RefCell<Vec<HeldStage>>,
}

impl HeldResults {
    pub(crate) fn new(host: &Host) -> Self {
        Self {
            host: host.clone(),
            stages: RefCell::default(),
        }
    }

    pub(crate) fn hold(&self, owner: ResultOwner, handles: Vec<PieceHandle>) {
        self.stages.borrow_mut().push(HeldStage { owner, handles });
    }

    /// Returns whether the request holds no results.
    pub(crate) fn is_empty(&self) -> bool {
        self.stages.borrow().is_empty()
    }

    /// Releases some of the results.
    pub(crate) fn release(&self, unneeded: &[PieceHandle]) {
        let mut stages = self.stages.borrow_mut();
        for stage in stages.iter_mut() {
            let (freed, kept) = std::mem::take(&mut stage.handles)
                .into_iter()
                .partition(|handle| unneeded.contains(handle));
            stage.handles = kept;
            self.host.release_queue.enqueue(&stage.owner, freed);
        }
        stages.retain(|stage| !stage.handles.is_empty());
    }

    /// Releases all results.
    pub(crate) fn release_all(&self) {
        for stage in self.stages.take() {
            self.host.release_queue.enqueue(&stage.owner, stage.handles);
        }
    }
}

impl Drop for HeldResults {
    fn drop(&mut self) {
        self.release_all();
    }
}
