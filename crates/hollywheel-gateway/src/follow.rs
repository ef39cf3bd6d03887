//! Distribution of store changes between hosts, which keeps load off the platform's store.
//!
//! A few hosts, the readers, follow the store's change feeds. The others are followers: they
//! long-poll a reader for changes, which also reaches hosts that the store refuses to serve. A
//! follower that finds no host with a fresh view reads the store itself.

// Numbers of other hosts are decoded here.
#![deny(
    clippy::arithmetic_side_effects,
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::unwrap_used
)]

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use tokio::sync::watch;
use tokio::time::timeout;

use hollywheel_serving::{
    FeedHealth, HostRecord, RowChange, ServerListing, ServerPhase, ServerRecord, StoreEra,
    StorePlace, ViewPart, reader_count,
};
use hollywheel_types::{ConfigVersion, MonoTime};
use hollywheel_wire::serving::{FollowReply, FollowRequest, HostEntry, ServerEntry};

use crate::cold_servers::encode_cold_left;
use crate::config_fetch::ConfigNotice;
use crate::crash_evidence::{self, apply_entries};
use crate::evacuations::{decode_place, encode_place};
use crate::host::Host;
use crate::log::{log_line, millis};
use crate::peer_client::{FOLLOW_PATH, PeerFailure};
use crate::peer_server::micros;
use crate::server_limits::{apply_entry, encode_limit};
use crate::store_feed::{decode_host, encode_host, host_place};

/// Key by which the readers are selected among the hosts.
const READER_ROLE_KEY: &str = "store";
/// Time after which a long poll is answered if nothing has changed.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// Time past the long-poll wait after which the answer counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// Time for which a host reads the store itself after it found no host with a fresh view.
const FALLBACK_READING_TIME: Duration = Duration::from_millis(1200);
/// Time for which changes are coalesced into one answer; the bounds on their propagation are
/// seconds.
const COALESCE_TIME: Duration = Duration::from_millis(40);
/// Pause after all followed hosts failed.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Whether this host currently reads the store. Hosts start as readers.
pub(crate) struct ReaderRole {
    reads: watch::Sender<bool>,
}

impl Default for ReaderRole {
    fn default() -> Self {
        Self {
            reads: watch::Sender::new(true),
        }
    }
}

impl ReaderRole {
    /// Waits until this host reads the store.
    pub(crate) async fn wait_for_reading(&self) {
        // The sender lives as long as this value.
        let _ = self.reads.subscribe().wait_for(|reads| *reads).await;
    }

    /// Waits until this host follows another one.
    pub(crate) async fn wait_for_following(&self) {
        // The sender lives as long as this value.
        let _ = self.reads.subscribe().wait_for(|reads| !*reads).await;
    }

    /// Returns whether this host reads the store.
    pub(crate) fn is_reading(&self) -> bool {
        *self.reads.borrow()
    }

    /// Sets whether this host reads the store; returns whether that is a change.
    fn set(&self, reads: bool) -> bool {
        self.reads.send_if_modified(|known| {
            let changed = *known != reads;
            *known = reads;
            changed
        })
    }
}

/// Returns the hosts that are selected to read the store.
pub(crate) fn list_readers(host: &Host) -> Vec<HostRecord> {
    let hosts = host.hosts.borrow();
    let mut order = hosts.duty_order(host.now(), READER_ROLE_KEY, None);
    order.truncate(reader_count(hosts.known_count()));
    order
}

/// Returns whether this host is one of those that are selected to read the store, rather than one
/// that reads it since it has no fresh view.
pub(crate) fn is_selected_reader(host: &Host) -> bool {
    let own = host.hosts.borrow().own().clone();
    list_readers(host).iter().any(|reader| reader.name == own)
}

/// Position of a follower in the changes of the host that it follows. It is valid for one
/// incarnation of that host.
#[derive(Clone, Copy, Default)]
struct FollowCursor {
    incarnation: u64,
    server_change: u64,
    host_change: u64,
    limit_change: u64,
    evidence_change: u64,
    evacuation_change: u64,
}

/// Decides whether this host reads the store. Follows another host if it does not, or if its own
/// view of the store is not fresh.
pub(crate) async fn follow_hosts(host: Host) {
    let mut cursor = FollowCursor::default();
    let mut reads_until = MonoTime::default();
    loop {
        let readers = list_readers(&host);
        let now = host.now();
        let is_reader = is_selected_reader(&host);
        let reason = if is_reader { "reader" } else { "no fresh view" };
        set_reading(&host, is_reader || now < reads_until, reason);
        let fresh_view = host.feed_plan().fresh_view;
        let fresh = host.view.borrow().health(now, fresh_view) == FeedHealth::Following;
        if is_reader && fresh {
            // The set of readers may change with the hosts that become known.
            let changed = host.view_changed.notified();
            tokio::time::sleep(COALESCE_TIME).await;
            let _ = timeout(FOLLOW_WAIT, changed).await;
            continue;
        }
        let sources = list_sources(&host, &readers);
        if follow_in_time(&host, &sources, &mut cursor).await {
            reads_until = MonoTime::default();
        } else {
            reads_until = host.now() + FALLBACK_READING_TIME;
            set_reading(&host, true, "no fresh view");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Sets whether this host reads the store, and logs a change.
fn set_reading(host: &Host, reads: bool, reason: &str) {
    if host.reader_role.set(reads) {
        let age = host.view.borrow().age(host.now());
        log_line!(
            host,
            info,
            ReaderRoleChanged,
            reads,
            reason = if reads { reason } else { "follows a reader" },
            age_ms = age.map(millis)
        );
    }
}

/// Lists the hosts to try to follow: the readers in an order that differs between hosts, then some
/// others, which may reach the store when the readers do not. If no other host is known, lists the
/// seed addresses of the settings.
pub(crate) fn list_sources(host: &Host, readers: &[HostRecord]) -> Vec<HostRecord> {
    /// Hosts that are tried when no reader has a fresh view.
    const MAX_FALLBACKS: usize = 3;
    let hosts = host.hosts.borrow();
    let own = hosts.own();
    let order = hosts.duty_order(host.now(), &format!("follow/{own}"), None);
    let is_reader = |record: &HostRecord| readers.iter().any(|reader| reader.name == record.name);
    let (first, others): (Vec<HostRecord>, Vec<HostRecord>) = order
        .into_iter()
        .filter(|record| record.name != *own)
        .partition(is_reader);
    let mut sources = first;
    sources.extend(others.into_iter().take(MAX_FALLBACKS));
    if sources.is_empty() {
        sources.extend(host.settings().seeds.iter().filter_map(|address| {
            Some(HostRecord {
                name: address.to_string().parse().ok()?,
                address: *address,
                domain: host.settings().domain.clone(),
                incarnation: 0,
                weight: 1,
            })
        }));
        sources.retain(|record| record.address != host.settings().peer_address);
    }
    sources
}

/// Polls the sources as [`follow_any`] does. If none of them has answered for as long as a view may
/// be old, this host reads the store itself meanwhile: each silent source takes a time-out, and
/// several of them would take longer than a change may.
async fn follow_in_time(host: &Host, sources: &[HostRecord], cursor: &mut FollowCursor) -> bool {
    let mut followed = pin!(follow_any(host, sources, cursor));
    let patience = host.feed_plan().fresh_view;
    if let Ok(is_fresh) = timeout(patience, followed.as_mut()).await {
        return is_fresh;
    }
    set_reading(host, true, "sources are silent");
    followed.await
}

/// Polls the sources in order until one has a fresh view; returns whether there was one. A source
/// does not count as fresh if it reports no store era, as hosts of an earlier software version do,
/// or an era before the latest known one.
async fn follow_any(host: &Host, sources: &[HostRecord], cursor: &mut FollowCursor) -> bool {
    let started = host.now();
    for (failed, source) in sources.iter().enumerate() {
        let asked_at = host.now();
        if let Some(reply) = request_changes(host, source, *cursor).await {
            let age = reply.age_us.map(Duration::from_micros);
            let era = reply.store_era.map(StoreEra);
            let tells_all = host.tells_evacuations(&reply);
            apply_reply(host, source, reply, cursor, asked_at);
            let in_era = era.is_some() && era == host.store_era();
            if in_era && tells_all && age.is_some_and(|age| age <= host.feed_plan().fresh_view) {
                if failed > 0 {
                    log_resumed(host, source.name.as_str(), started, failed);
                }
                return true;
            }
        }
    }
    false
}

/// Logs the end of a time without news, and how many hosts had no fresh view in it.
fn log_resumed(host: &Host, source: &str, started: MonoTime, failed_sources: usize) {
    let silent_ms = millis(host.now().since(started));
    log_line!(host, info, NewsResumed, source, silent_ms, failed_sources);
}

/// Requests the changes after a cursor from another host; `None` if the call fails.
async fn request_changes(
    host: &Host,
    source: &HostRecord,
    cursor: FollowCursor,
) -> Option<FollowReply> {
    let message = FollowRequest {
        incarnation: cursor.incarnation,
        server_change: cursor.server_change,
        host_change: cursor.host_change,
        config_version: host.config_version().0,
        fetches_config: true,
        wait_ms: u32::try_from(FOLLOW_WAIT.as_millis()).unwrap_or(u32::MAX),
        limit_change: Some(cursor.limit_change),
        evidence_change: Some(cursor.evidence_change),
        evacuation_change: host.obeys_evacuations().then_some(cursor.evacuation_change),
    };
    let limit = FOLLOW_WAIT.saturating_add(ANSWER_SLACK);
    let body = message.encode_to_vec();
    match host.peers.download(source, FOLLOW_PATH, body, limit).await {
        Ok(reply) => {
            host.hosts.borrow_mut().note_answer(&source.name);
            FollowReply::decode(reply).ok()
        }
        Err(failure) => {
            if let PeerFailure::TimedOut { received } = failure {
                host.log_discarded(source.name.as_str(), received, limit);
            }
            host.mark_unreachable(&source.name, "follow", failure.name());
            None
        }
    }
}

/// Applies the changes of another host's answer and advances the cursor.
fn apply_reply(
    host: &Host,
    source: &HostRecord,
    reply: FollowReply,
    cursor: &mut FollowCursor,
    asked_at: MonoTime,
) {
    let name = source.name.as_str();
    if let Some(era) = reply.store_era {
        // Rows from a host in an earlier era are still ordered correctly by their places.
        host.observe_era(StoreEra(era), name);
    }
    if let Some(returned) = reply.store_returned_us {
        let at = host.now() - Duration::from_micros(returned);
        host.registry.borrow_mut().note_store_return(at);
    }
    if !reply.config.is_empty() {
        host.install(&reply.config, name);
    } else if reply.config_version > host.config_version().0 {
        host.config_notice.send_replace(Some(ConfigNotice {
            version: ConfigVersion(reply.config_version),
            source: source.clone(),
        }));
    }
    let servers = reply.servers.iter().filter_map(decode_server);
    match &reply.servers_place {
        Some(place) => {
            let listing = ServerListing::new(decode_place(place), servers.collect());
            host.apply_server_listing(listing, name);
        }
        None => servers.for_each(|change| host.apply_server(change, name)),
    }
    for entry in &reply.hosts {
        match decode_host(entry) {
            Some(record) if entry.left => {
                host.remove_host(&record.name, host_place(entry), name);
            }
            Some(record) => host.upsert_host(record, host_place(entry), name),
            None => {}
        }
    }
    for entry in &reply.limits {
        apply_entry(host, entry, name);
    }
    apply_entries(host, &reply.evidence, name);
    let in_era = reply.store_era.map(StoreEra) == host.store_era();
    let age = reply.age_us.map(Duration::from_micros);
    let is_fresh = in_era && age.is_some_and(|age| age <= host.feed_plan().fresh_view);
    let known = match cursor.incarnation == reply.incarnation {
        true => cursor.evacuation_change,
        false => 0,
    };
    let evacuation_change = host.apply_evacuation_reply(&reply, known, is_fresh, name);
    if let Some(age) = reply.age_us.filter(|_| in_era) {
        let confirmed_at = asked_at - Duration::from_micros(age);
        let mut view = host.view.borrow_mut();
        view.confirm(ViewPart::Servers, confirmed_at);
        // A version that is known and not yet fetched leaves the configuration out of date.
        if reply.config_version <= host.config_version().0 && host.tells_evacuations(&reply) {
            view.confirm(ViewPart::Config, confirmed_at);
        }
    }
    *cursor = FollowCursor {
        incarnation: reply.incarnation,
        server_change: reply.server_change,
        host_change: reply.host_change,
        limit_change: reply.limit_change,
        evidence_change: reply.evidence_change,
        evacuation_change,
    };
}

/// Answers a long poll of a follower as soon as there are changes for it; `None` if the request
/// cannot be decoded.
pub(crate) async fn answer_follow(host: &Host, body: &Bytes) -> Option<Vec<u8>> {
    let request = FollowRequest::decode(body.clone()).ok()?;
    let wait = Duration::from_millis(u64::from(request.wait_ms)).min(FOLLOW_WAIT);
    let wait_for_changes = async {
        loop {
            let changed = host.view_changed.notified();
            if has_changes(host, &request) {
                tokio::time::sleep(COALESCE_TIME).await;
                return;
            }
            changed.await;
        }
    };
    // An answer without changes still confirms the age of the view.
    let _ = timeout(wait, wait_for_changes).await;
    Some(build_reply(host, &request).encode_to_vec())
}

/// Returns whether there is anything that a follower does not know yet.
fn has_changes(host: &Host, request: &FollowRequest) -> bool {
    let version = host.config_version().0;
    request.incarnation != host.incarnation
        || host.view.borrow().age(host.now()).is_none()
        || version > request.config_version
        || host.registry.borrow().change() != request.server_change
        || host.hosts.borrow().change() != request.host_change
        || request
            .limit_change
            .is_some_and(|change| change != host.limits.borrow().change())
        || request
            .evidence_change
            .is_some_and(|change| change != host.crashes.borrow().change())
        || host.has_evacuation_changes(request)
}

/// Builds the answer to a follower: all rows if its cursor belongs to another incarnation of this
/// host, otherwise the rows that changed after the cursor.
fn build_reply(host: &Host, request: &FollowRequest) -> FollowReply {
    let now = host.now();
    let same = request.incarnation == host.incarnation;
    let registry = host.registry.borrow();
    let after = if same { request.server_change } else { 0 };
    let servers = registry.changes_after(after);
    let hosts = host.hosts.borrow();
    let hosts_after = if same { request.host_change } else { 0 };
    let installed = host.installed();
    let newer = installed.filter(|known| known.set.version.0 > request.config_version);
    let limits = host.limits.borrow();
    let limits_after = request.limit_change.filter(|_| same).unwrap_or(0);
    let crashes = host.crashes.borrow();
    let evidence_after = request.evidence_change.filter(|_| same).unwrap_or(0);
    let mut reply = FollowReply {
        incarnation: host.incarnation,
        server_change: registry.change(),
        host_change: hosts.change(),
        servers: servers
            .iter()
            .map(|change| encode_server(host, change))
            .collect(),
        hosts: hosts
            .changes_after(hosts_after)
            .map(|change| HostEntry {
                left: change.left,
                revision: change.place.revision,
                era: change.place.era.0,
                ..encode_host(&change.record)
            })
            .collect(),
        config_version: newer.as_ref().map_or(0, |known| known.set.version.0),
        // A host of an earlier software version expects the document here.
        config: newer
            .filter(|_| !request.fetches_config)
            .and_then(|known| known.packed.unpack().ok())
            .map(Bytes::from)
            .unwrap_or_default(),
        age_us: host.view.borrow().age(now).map(micros),
        store_returned_us: registry.store_returned_at().map(|at| micros(now.since(at))),
        store_era: host.store_era().map(|era| era.0),
        servers_place: registry.listed_place().filter(|_| !same).map(encode_place),
        limits: limits
            .changes_after(limits_after)
            .map(|(server, notice)| encode_limit(now, server, notice))
            .collect(),
        limit_change: limits.change(),
        evidence: crashes
            .changes_after(evidence_after)
            .map(|evidence| crash_evidence::encode(now, &evidence))
            .collect(),
        evidence_change: crashes.change(),
        ..FollowReply::default()
    };
    host.add_evacuations(request, &mut reply);
    reply
}

fn encode_server(host: &Host, change: &RowChange) -> ServerEntry {
    let mut entry = ServerEntry {
        server: change.server.to_string(),
        revision: change.place.revision,
        era: change.place.era.0,
        removed: true,
        ..ServerEntry::default()
    };
    if let Some(record) = &change.record {
        entry.removed = false;
        entry.pool = record.pool.to_string();
        entry.address = record.address.to_string();
        entry.domain = record.domain.to_string();
        entry.slots = record.slots;
        entry.draining = record.phase == ServerPhase::Draining;
        entry.born = record.born;
        encode_cold_left(host, change, &mut entry);
    }
    entry
}

fn decode_server(entry: &ServerEntry) -> Option<RowChange> {
    let record = if entry.removed {
        None
    } else {
        Some(ServerRecord {
            pool: entry.pool.parse().ok()?,
            address: entry.address.parse().ok()?,
            domain: entry.domain.parse().ok()?,
            slots: entry.slots,
            phase: if entry.draining {
                ServerPhase::Draining
            } else {
                ServerPhase::Ready
            },
            born: entry.born,
            cold_left: entry.cold_left_us.map(Duration::from_micros),
        })
    };
    Some(RowChange {
        server: entry.server.parse().ok()?,
        place: StorePlace {
            era: StoreEra(entry.era),
            revision: entry.revision,
        },
        record,
    })
}
