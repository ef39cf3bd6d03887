//! Exchange of evidence about prompt parts that crash servers, and the check of requests against it.
//!
//! The host that sees a crash tells the readers of the store, and followers get the evidence with
//! their long poll.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use hollywheel_serving::{CrashEvidence, PartVerdict, PromptPart, ServerRecord, ServerStart};
use hollywheel_types::{MonoTime, ServerId};
use hollywheel_wire::serving::{EvidenceEntry, EvidenceNews};

use crate::follow::list_readers;
use crate::host::Host;
use crate::log::{log_line, millis};
use crate::peer_client::EVIDENCE_PATH;
use crate::peer_server::micros;
use crate::request::RequestContext;

/// Time-out of a call that tells evidence. Hosts that it does not reach see the next crash or are
/// told by a reader.
const NEWS_TIMEOUT: Duration = Duration::from_millis(700);

/// Returns the parts of a prompt that other requests may share; the last one belongs to the request.
pub(crate) fn shared_parts(parts: &[PromptPart]) -> impl Iterator<Item = u64> {
    let shared = parts.split_last().map_or(parts, |(_, shared)| shared);
    shared.iter().map(|part| part.id)
}

fn server_start(server: &ServerId, record: &ServerRecord) -> ServerStart {
    ServerStart {
        server: server.clone(),
        born: record.born,
    }
}

/// Records that a server ended under a request before its first event.
pub(crate) fn record_crash(
    host: &Host,
    context: &RequestContext,
    server: &ServerId,
    record: &ServerRecord,
) {
    let start = server_start(server, record);
    let parts = shared_parts(&context.head.parts);
    let now = host.now();
    update(host, "request", |host| {
        host.parts.borrow_mut().note_crash(now, &start, parts)
    });
}

/// Records that a request has begun to be answered.
pub(crate) fn record_begun(host: &Host, context: &RequestContext) {
    let parts = shared_parts(&context.head.parts);
    let now = host.now();
    update(host, "request", |host| {
        host.parts.borrow_mut().note_begun(now, parts)
    });
}

/// Records that a server answered a request that was sent to it at a time.
pub(crate) fn record_answer(
    host: &Host,
    server: &ServerId,
    record: &ServerRecord,
    sent_at: MonoTime,
) {
    let start = server_start(server, record);
    update(host, "answer", |host| {
        host.parts.borrow_mut().note_answer(&start, sent_at)
    });
}

/// Applies a change of the evidence, logs which parts are blocked by it or no longer blocked, and
/// announces the evidence that the change returns.
fn update(host: &Host, source: &str, change: impl FnOnce(&Host) -> Vec<CrashEvidence>) {
    let before = host.parts.borrow().change();
    let news = change(host);
    if host.parts.borrow().change() == before {
        return;
    }
    log_blocked(host, source);
    host.view_changed.notify_waiters();
    if !news.is_empty() {
        announce(host, &news);
    }
}

/// Logs the parts that are newly blocked or no longer blocked.
fn log_blocked(host: &Host, source: &str) {
    let blocked = host.parts.borrow().crashing_parts();
    let before = host.blocked_parts.replace(blocked.clone());
    for part in blocked.iter().filter(|part| !before.contains(part)) {
        let part = format!("{part:x}");
        log_line!(host, warn, PartBlocked, part, source);
    }
    for part in before.iter().filter(|part| !blocked.contains(part)) {
        let part = format!("{part:x}");
        log_line!(host, info, PartUnblocked, part, source);
    }
    let gauge = i64::try_from(blocked.len()).unwrap_or(i64::MAX);
    host.metrics.blocked_parts.set(gauge);
}

/// Tells evidence to the readers of the store.
fn announce(host: &Host, news: &[CrashEvidence]) {
    let now = host.now();
    let message = EvidenceNews {
        entries: news.iter().map(|entry| encode(now, entry)).collect(),
    };
    let body = message.encode_to_vec();
    let own = host.hosts.borrow().own().clone();
    for reader in list_readers(host) {
        if reader.name == own {
            continue;
        }
        let (host, body) = (host.clone(), body.clone());
        tokio::task::spawn_local(async move {
            let told = host.peers.call(&reader, EVIDENCE_PATH, body, NEWS_TIMEOUT);
            // Evidence is repeated by the next crash.
            let _ = told.await;
        });
    }
}

/// Applies evidence that another host tells; `None` if the message is invalid.
pub(crate) fn receive_evidence(host: &Host, body: &Bytes) -> Option<Vec<u8>> {
    let news = EvidenceNews::decode(body.clone()).ok()?;
    apply_entries(host, &news.entries, "host");
    Some(Vec::new())
}

/// Applies evidence from another host. Entries that cannot be read are ignored.
pub(crate) fn apply_entries(host: &Host, entries: &[EvidenceEntry], source: &str) {
    let now = host.now();
    update(host, source, |host| {
        let mut parts = host.parts.borrow_mut();
        let entries = entries.iter().filter_map(|entry| decode(now, entry));
        entries.filter_map(|entry| parts.apply(&entry)).collect()
    });
}

pub(crate) fn encode(now: MonoTime, evidence: &CrashEvidence) -> EvidenceEntry {
    EvidenceEntry {
        part: evidence.part,
        server: evidence.server.server.to_string(),
        born: evidence.server.born,
        age_us: micros(now.since(evidence.at)),
        withdrawn: evidence.withdrawn,
    }
}

fn decode(now: MonoTime, entry: &EvidenceEntry) -> Option<CrashEvidence> {
    Some(CrashEvidence {
        part: entry.part,
        server: ServerStart {
            server: entry.server.parse().ok()?,
            born: entry.born,
        },
        at: now - Duration::from_micros(entry.age_us),
        withdrawn: entry.withdrawn,
    })
}

/// Returns after which time a request may be tried again, if a part of its prompt crashes servers.
/// One host lets a request through from time to time, to see whether the part still does.
pub(crate) fn blocked_wait(host: &Host, context: &RequestContext) -> Option<Duration> {
    /// Time within which a host with the duty learns how a probe ended.
    const PROBE_TIME: Duration = Duration::from_secs(5);
    let now = host.now();
    let parts: Vec<u64> = shared_parts(&context.head.parts).collect();
    let verdict = host.parts.borrow().verdict(now, &parts);
    let wait = match verdict {
        PartVerdict::Sound => return None,
        PartVerdict::Blocked { wait } => wait,
        PartVerdict::Probe { part } => {
            let hosts = host.hosts.borrow();
            let holder = hosts.duty_holder(now, &format!("part/{part:x}"));
            if holder.is_some_and(|holder| holder.name == *hosts.own()) {
                host.parts.borrow_mut().note_probe(now, part);
                return None;
            }
            PROBE_TIME
        }
    };
    let label = host.metrics.label(context.pool.as_str());
    host.metrics.blocked_requests.get_or_create(&label).inc();
    let request = context.head.attempt.as_str();
    log_line!(host, info, PartRefused, request, wait_ms = millis(wait));
    Some(wait)
}
