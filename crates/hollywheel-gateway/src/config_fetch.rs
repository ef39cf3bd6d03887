//! Transfer of configurations between hosts, in compressed parts.
//!
//! A follower learns with its long poll that a newer configuration exists and fetches it on its own,
//! so that a large document neither delays news about servers nor has to fit into the time of one
//! call. Parts that have arrived are kept when the next one comes from another host.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use hollywheel_serving::{DocumentAssembly, DocumentId, DocumentPart, HostRecord};
use hollywheel_types::ConfigVersion;
use hollywheel_wire::serving::{ConfigPart, ConfigPartRequest};

use crate::follow::{list_readers, list_sources};
use crate::host::Host;
use crate::log::log_line;
use crate::peer_client::{CONFIG_PATH, PeerFailure};

/// Time within which a host must begin to answer. Its link may carry parts for dozens of other
/// hosts first.
const ANSWER_TIME: Duration = Duration::from_millis(1000);
/// Pause after no host had the next part.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A newer configuration that another host has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ConfigNotice {
    pub(crate) version: ConfigVersion,
    pub(crate) source: HostRecord,
}

/// Fetches each newer configuration that another host has announced.
pub(crate) async fn fetch_configs(host: Host) {
    let mut notices = host.config_notice.subscribe();
    let mut assembly = DocumentAssembly::default();
    // A version that cannot be used is not fetched again.
    let mut unusable = ConfigVersion(0);
    loop {
        let is_news = |notice: &Option<ConfigNotice>| {
            let known = host.config_version().max(unusable);
            notice.as_ref().is_some_and(|notice| notice.version > known)
        };
        let Ok(notice) = notices.wait_for(is_news).await.map(|notice| notice.clone()) else {
            return;
        };
        let Some(notice) = notice else {
            continue;
        };
        match fetch(&host, &notice, &mut assembly).await {
            FetchEnd::Installed => {}
            FetchEnd::Unusable => unusable = notice.version,
            FetchEnd::NoSource => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// How the fetch of a configuration ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FetchEnd {
    /// The announced version or a newer one is active.
    Installed,
    /// The document was fetched and cannot be used.
    Unusable,
    /// No host gave the next part.
    NoSource,
}

/// Fetches a configuration from the host that announced it or, if that fails, from others.
async fn fetch(host: &Host, notice: &ConfigNotice, assembly: &mut DocumentAssembly) -> FetchEnd {
    let readers = list_readers(host);
    let others = list_sources(host, &readers);
    let others = others
        .iter()
        .filter(|record| record.name != notice.source.name);
    for source in std::iter::once(&notice.source).chain(others) {
        while let Some(part) = request_part(host, source, assembly.progress()).await {
            if host.config_version() >= notice.version {
                return FetchEnd::Installed;
            }
            if part.id.version < notice.version || !assembly.add(&part) {
                break;
            }
            match assembly.take() {
                Ok(None) => {}
                Ok(Some(packed)) => {
                    host.install_packed(packed, source.name.as_str());
                    return match host.config_version() >= notice.version {
                        true => FetchEnd::Installed,
                        false => FetchEnd::Unusable,
                    };
                }
                Err(error) => {
                    let (source, detail) = (source.name.as_str(), error.to_string());
                    log_line!(host, error, ConfigInvalid, source, detail);
                    break;
                }
            }
        }
    }
    FetchEnd::NoSource
}

/// Requests the part after those that are present; `None` if the host does not give one.
async fn request_part(
    host: &Host,
    source: &HostRecord,
    (id, offset): (DocumentId, usize),
) -> Option<DocumentPart> {
    let request = ConfigPartRequest {
        version: id.version.0,
        digest: id.digest,
        offset: offset as u64,
    };
    let body = request.encode_to_vec();
    let reply = host.peers.download(source, CONFIG_PATH, body, ANSWER_TIME);
    match reply.await {
        Ok(reply) => {
            let part = ConfigPart::decode(reply).ok()?;
            Some(DocumentPart {
                id: DocumentId {
                    version: ConfigVersion(part.version),
                    digest: part.digest,
                },
                offset: usize::try_from(part.offset).ok()?,
                total: usize::try_from(part.total).ok()?,
                bytes: part.bytes,
            })
        }
        Err(failure) => {
            if let PeerFailure::TimedOut { received } = failure {
                host.log_discarded(source.name.as_str(), received, ANSWER_TIME);
            }
            None
        }
    }
}

/// Answers a request for a part of the active configuration; `None` if the request cannot be
/// decoded or no configuration is active.
pub(crate) fn answer_part(host: &Host, body: &Bytes) -> Option<Vec<u8>> {
    let request = ConfigPartRequest::decode(body.clone()).ok()?;
    let installed = host.installed()?;
    let id = DocumentId {
        version: ConfigVersion(request.version),
        digest: request.digest,
    };
    let offset = usize::try_from(request.offset).unwrap_or(usize::MAX);
    let part = installed.packed.part(id, offset);
    let message = ConfigPart {
        version: part.id.version.0,
        digest: part.id.digest,
        offset: part.offset as u64,
        total: part.total as u64,
        bytes: part.bytes,
    };
    Some(message.encode_to_vec())
}
