//! Hosts that read the store for others, and hosts that follow them.
//!
//! A few hosts follow the store's feeds. The others ask one of these for what has changed, which
//! also reaches hosts that the store turns away. A host that hears of no fresh view reads the
//! store itself.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use tokio::sync::watch;
use tokio::time::timeout;

use hollywheel_serving::{
    FeedHealth, HostRecord, RowChange, ServerPhase, ServerRecord, StoreEra, StorePlace,
    reader_count,
};
use hollywheel_types::MonoTime;
use hollywheel_wire::serving::{
    FollowReply, FollowRequest, HostEntry, ServerEntry, StorePlace as PlaceMessage,
};

use crate::host::Host;
use crate::log::{log_line, millis};
use crate::peer_client::FOLLOW_PATH;
use crate::peer_server::micros;
use crate::store_feed::{read_host, read_host_place, write_host};

/// The duty of reading the store.
const READER_DUTY: &str = "store";
/// A follower is answered after this time if nothing has changed.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// An answer that comes later than this after the wait counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// A host that found no fresh view reads the store itself for this time.
const OWN_READING: Duration = Duration::from_millis(1200);
/// News that come together are collected for this time, a small part of the bounds (seconds).
const COLLECT_TIME: Duration = Duration::from_millis(40);
/// The pause after a failed call.
const RETRY_TIME: Duration = Duration::from_millis(60);

/// Says whether this host reads the store.
pub(crate) struct ReadingDuty {
    reads: watch::Sender<bool>,
}

impl Default for ReadingDuty {
    fn default() -> Self {
        Self {
            reads: watch::Sender::new(true),
        }
    }
}

impl ReadingDuty {
    /// Waits until this host reads the store.
    pub(crate) async fn wait_for_reading(&self) {
        // The sender lives as long as this value.
        let _ = self.reads.subscribe().wait_for(|reads| *reads).await;
    }

    /// Says whether this host reads the store from now on; returns whether that is new.
    fn set(&self, reads: bool) -> bool {
        self.reads.send_if_modified(|known| {
            let changed = *known != reads;
            *known = reads;
            changed
        })
    }
}

fn readers(host: &Host) -> Vec<HostRecord> {
    let hosts = host.hosts.borrow();
    let mut order = hosts.duty_order(host.now(), READER_DUTY, None);
    order.truncate(reader_count(hosts.known_count()));
    order
}

/// Holds what a host that is followed has told so far.
#[derive(Clone, Copy, Default)]
struct FollowCursor {
    incarnation: u64,
    server_change: u64,
    host_change: u64,
}

/// Decides whether this host reads the store, and follows another host if it does not, or if the
/// store does not answer it.
pub(crate) async fn follow_hosts(host: Host) {
    let mut cursor = FollowCursor::default();
    let mut reads_until = MonoTime::default();
    loop {
        let readers = readers(&host);
        let own = host.hosts.borrow().own().clone();
        let now = host.now();
        let is_reader = readers.iter().any(|reader| reader.name == own);
        let reason = if is_reader { "reader" } else { "no fresh view" };
        set_reading(&host, is_reader || now < reads_until, reason);
        let fresh_view = host.feed_plan().fresh_view;
        let fresh = host.view.borrow().health(now, fresh_view) == FeedHealth::Following;
        if is_reader && fresh {
            // Hosts that are heard of may take the duty over.
            let changed = host.changed.notified();
            tokio::time::sleep(COLLECT_TIME).await;
            let _ = timeout(FOLLOW_WAIT, changed).await;
            continue;
        }
        let sources = sources(&host, &readers);
        if follow_any(&host, &sources, &mut cursor).await {
            reads_until = MonoTime::default();
        } else {
            reads_until = host.now() + OWN_READING;
            set_reading(&host, true, "no fresh view");
            tokio::time::sleep(RETRY_TIME).await;
        }
    }
}

fn set_reading(host: &Host, reads: bool, reason: &str) {
    if host.reading.set(reads) {
        let age = host.view.borrow().age(host.now());
        log_line!(
            host,
            info,
            ReadingChanged,
            reads,
            reason = if reads { reason } else { "follows a reader" },
            age_ms = age.map(millis)
        );
    }
}

/// Lists the hosts to follow: the readers in an order of this host's own, then some others,
/// which may see the store when the readers do not, then the addresses of the settings.
fn sources(host: &Host, readers: &[HostRecord]) -> Vec<HostRecord> {
    /// Others that are asked when no reader has a fresh view.
    const OTHERS: usize = 3;
    let hosts = host.hosts.borrow();
    let own = hosts.own();
    let order = hosts.duty_order(host.now(), &format!("follow/{own}"), None);
    let is_reader = |record: &HostRecord| readers.iter().any(|reader| reader.name == record.name);
    let (first, others): (Vec<HostRecord>, Vec<HostRecord>) = order
        .into_iter()
        .filter(|record| record.name != *own)
        .partition(is_reader);
    let mut sources = first;
    sources.extend(others.into_iter().take(OTHERS));
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

/// Follows the first source whose view is fresh; returns whether there was one. A source that tells
/// no era, as one of an earlier version, or an earlier one than is known, does not follow the store.
async fn follow_any(host: &Host, sources: &[HostRecord], cursor: &mut FollowCursor) -> bool {
    for source in sources {
        let asked = host.now();
        if let Some(reply) = ask(host, source, *cursor).await {
            let age = reply.age_us.map(Duration::from_micros);
            let era = reply.store_era.map(StoreEra);
            take_reply(host, source, reply, cursor, asked);
            let in_era = era.is_some() && era == host.store_era();
            if in_era && age.is_some_and(|age| age <= host.feed_plan().fresh_view) {
                return true;
            }
        }
    }
    false
}

async fn ask(host: &Host, source: &HostRecord, cursor: FollowCursor) -> Option<FollowReply> {
    let message = FollowRequest {
        incarnation: cursor.incarnation,
        server_change: cursor.server_change,
        host_change: cursor.host_change,
        config_version: host.set().map_or(0, |set| set.version.0),
        wait_ms: u32::try_from(FOLLOW_WAIT.as_millis()).unwrap_or(u32::MAX),
    };
    let limit = FOLLOW_WAIT + ANSWER_SLACK;
    let body = message.encode_to_vec();
    match host.peers.call(source, FOLLOW_PATH, body, limit).await {
        Ok(reply) => {
            host.hosts.borrow_mut().note_answer(&source.name);
            FollowReply::decode(reply).ok()
        }
        Err(failure) => {
            host.pass_over(&source.name, "follow", failure.name());
            None
        }
    }
}

fn take_reply(
    host: &Host,
    source: &HostRecord,
    reply: FollowReply,
    cursor: &mut FollowCursor,
    asked: MonoTime,
) {
    let name = source.name.as_str();
    if let Some(era) = reply.store_era {
        // What a host of an earlier era tells is ordered by the places of its rows.
        host.note_era(StoreEra(era), name);
    }
    if let Some(returned) = reply.store_returned_us {
        let at = host.now() - Duration::from_micros(returned);
        host.registry.borrow_mut().note_store_return(at);
    }
    if !reply.config.is_empty() {
        host.install(&reply.config, name);
    }
    let servers = reply.servers.iter().filter_map(read_server);
    match &reply.servers_place {
        Some(place) => host.list_servers(read_place(place), servers.collect(), name),
        None => servers.for_each(|change| host.apply_server(change, name)),
    }
    for entry in &reply.hosts {
        match read_host(entry) {
            Some(record) if entry.left => {
                host.remove_host(&record.name, read_host_place(entry), name);
            }
            Some(record) => host.upsert_host(record, read_host_place(entry), name),
            None => {}
        }
    }
    let in_era = reply.store_era.map(StoreEra) == host.store_era();
    if let Some(age) = reply.age_us.filter(|_| in_era) {
        let confirmed = asked - Duration::from_micros(age);
        host.view.borrow_mut().confirm(confirmed);
    }
    *cursor = FollowCursor {
        incarnation: reply.incarnation,
        server_change: reply.server_change,
        host_change: reply.host_change,
    };
}

/// Answers a host that follows this one, as soon as there is something new for it.
pub(crate) async fn answer_follow(host: &Host, body: &Bytes) -> Option<Vec<u8>> {
    let request = FollowRequest::decode(body.clone()).ok()?;
    let wait = Duration::from_millis(u64::from(request.wait_ms)).min(FOLLOW_WAIT);
    let news = async {
        loop {
            let changed = host.changed.notified();
            if has_news(host, &request) {
                tokio::time::sleep(COLLECT_TIME).await;
                return;
            }
            changed.await;
        }
    };
    // Without news the answer still tells the age of the view.
    let _ = timeout(wait, news).await;
    Some(write_reply(host, &request).encode_to_vec())
}

fn has_news(host: &Host, request: &FollowRequest) -> bool {
    let version = host.set().map_or(0, |set| set.version.0);
    request.incarnation != host.incarnation
        || host.view.borrow().age(host.now()).is_none()
        || version > request.config_version
        || host.registry.borrow().change() != request.server_change
        || host.hosts.borrow().change() != request.host_change
}

fn write_reply(host: &Host, request: &FollowRequest) -> FollowReply {
    let now = host.now();
    let same = request.incarnation == host.incarnation;
    let registry = host.registry.borrow();
    let after = if same { request.server_change } else { 0 };
    let servers = registry.changes_after(after);
    let hosts = host.hosts.borrow();
    let hosts_after = if same { request.host_change } else { 0 };
    let installed = host.installed();
    let newer = installed.filter(|known| known.set.version.0 > request.config_version);
    FollowReply {
        incarnation: host.incarnation,
        server_change: registry.change(),
        host_change: hosts.change(),
        servers: servers.iter().map(write_server).collect(),
        hosts: hosts
            .changes_after(hosts_after)
            .map(|change| HostEntry {
                left: change.left,
                revision: change.place.revision,
                era: change.place.era.0,
                ..write_host(&change.record)
            })
            .collect(),
        config_version: newer.as_ref().map_or(0, |known| known.set.version.0),
        config: newer.map(|known| known.document).unwrap_or_default(),
        age_us: host.view.borrow().age(now).map(micros),
        store_returned_us: registry.store_returned_at().map(|at| micros(now.since(at))),
        store_era: host.store_era().map(|era| era.0),
        servers_place: registry
            .listed_place()
            .filter(|_| !same)
            .map(|place| PlaceMessage {
                era: place.era.0,
                revision: place.revision,
            }),
    }
}

fn write_server(change: &RowChange) -> ServerEntry {
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
    }
    entry
}

fn read_server(entry: &ServerEntry) -> Option<RowChange> {
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

const fn read_place(place: &PlaceMessage) -> StorePlace {
    StorePlace {
        era: StoreEra(place.era),
        revision: place.revision,
    }
}
