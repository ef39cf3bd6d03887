//! Exchange of evidence about requests that crash servers, and the check of requests against it.
//!
//! The host that sees a crash tells the readers of the store, and followers get the evidence with
//! their long poll.

// Numbers of other hosts are decoded here.
#![deny(
    clippy::arithmetic_side_effects,
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::unwrap_used
)]

use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use hollywheel_serving::{
    AnswerProof, CauseKind, CrashCause, CrashEvidence, CrashVerdict, PromptPart, ServerRecord,
    ServerStart,
};
use hollywheel_types::{MonoTime, ServerId};
use hollywheel_wire::serving::{self as wire, EvidenceEntry, EvidenceNews};

use crate::containment::TaskKind;
use crate::follow::list_readers;
use crate::host::Host;
use crate::log::{log_line, millis};
use crate::peer_client::EVIDENCE_PATH;
use crate::peer_server::micros;
use crate::request::RequestContext;
use crate::stage_run::stage_name;

/// Time-out of a call that tells evidence. Hosts that it does not reach see the next crash or are
/// told by a reader.
const NEWS_TIMEOUT: Duration = Duration::from_millis(700);

/// Returns the parts of a prompt that other requests may share; the last one belongs to the request.
pub(crate) fn shared_parts(parts: &[PromptPart]) -> impl Iterator<Item = u64> {
    let shared = parts.split_last().map_or(parts, |(_, shared)| shared);
    shared.iter().map(|part| part.id)
}

/// Returns the prompt parts of a request that others may share, as causes.
fn part_causes(context: &RequestContext) -> impl Iterator<Item = CrashCause> {
    shared_parts(&context.head.parts).map(CrashCause::Part)
}

/// Returns the causes that stand for the pieces of a request, by stage.
fn piece_causes(context: &RequestContext) -> impl Iterator<Item = CrashCause> {
    let pipeline = &context.pipeline;
    (0..pipeline.stages.len()).map(|stage| {
        CrashCause::of_pieces(&stage_name(&pipeline.name, stage), &context.head.piece_key)
    })
}

/// Returns all causes of a request against which there may be evidence.
fn known_causes(host: &Host, context: &RequestContext) -> Vec<CrashCause> {
    let table = host.crashes.borrow();
    let mut causes: Vec<CrashCause> = part_causes(context).collect();
    if table.has_evidence(CauseKind::Pieces) {
        causes.extend(piece_causes(context));
    }
    if table.has_evidence(CauseKind::Request) {
        causes.push(CrashCause::Request(context.identity()));
    }
    causes
}

/// Returns the start of a server that its entry describes.
pub(crate) fn server_start(server: &ServerId, record: &ServerRecord) -> ServerStart {
    ServerStart {
        server: server.clone(),
        born: record.born,
    }
}

/// Returns the causes that a request holds if it crashes a server that answers it.
fn own_causes(context: &RequestContext) -> impl Iterator<Item = CrashCause> {
    part_causes(context).chain([CrashCause::Request(context.identity())])
}

/// Records that a server ended under a request after it had written its answer for a time.
pub(crate) fn record_crash(
    host: &Host,
    context: &RequestContext,
    start: &ServerStart,
    written: Duration,
) {
    // A server that has announced that it leaves may end under what it has not finished.
    let has_left = host
        .registry
        .borrow()
        .usable(host.now(), &start.server)
        .is_none();
    if !has_left {
        note_crash(host, start, written, own_causes(context));
    }
}

/// Records that nothing listens at the address of a server.
pub(crate) fn record_gone(host: &Host, start: &ServerStart) {
    let now = host.now();
    update(host, "request", |host| {
        host.crashes.borrow_mut().note_gone(now, start)
    });
}

/// Records that the work on a request panicked. The request would meet the same fault on every host,
/// so it is refused like one that crashes servers.
pub(crate) fn record_panic(host: &Host, context: &RequestContext) {
    let Ok(server) = host.settings().host.as_str().parse() else {
        return;
    };
    // Each panic counts, although the process goes on.
    let number = host.panics.count();
    let start = ServerStart {
        server,
        born: Some(host.incarnation.wrapping_add(number)),
    };
    let causes = [CrashCause::Request(context.identity())];
    note_crash(host, &start, Duration::ZERO, causes);
}

/// Records that a server ended under a call for pieces, given as stages with the keys of their
/// requests.
pub(crate) fn record_call_crash<'a>(
    host: &Host,
    server: &ServerId,
    record: &ServerRecord,
    pieces: impl IntoIterator<Item = (&'a str, &'a str)>,
) {
    let causes = pieces.into_iter();
    let causes = causes.map(|(stage, key)| CrashCause::of_pieces(stage, key));
    note_crash(host, &server_start(server, record), Duration::ZERO, causes);
}

fn note_crash(
    host: &Host,
    start: &ServerStart,
    written: Duration,
    causes: impl IntoIterator<Item = CrashCause>,
) {
    let now = host.now();
    update(host, "request", |host| {
        let mut crashes = host.crashes.borrow_mut();
        crashes.note_crash(now, start, written, causes)
    });
}

/// Records what the answer to a request shows about it.
pub(crate) fn record_proof(host: &Host, context: &RequestContext, proof: AnswerProof) {
    let causes = known_causes(host, context);
    let now = host.now();
    update(host, "request", |host| {
        host.crashes.borrow_mut().note_proof(now, proof, causes)
    });
}

/// Describes how the answer to a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerEnding {
    /// The server marked the end of an answer that it wrote: the request does not crash it.
    Complete,
    /// The connection ended, which marks the end of an answer without framing and may have been a crash.
    ConnectionEnd,
    /// The server marked the end of an answer to which it had nothing to add.
    Unwritten,
}

/// Records how the answer of a server to a request ended.
pub(crate) fn record_ending(
    host: &Host,
    context: &RequestContext,
    start: &ServerStart,
    ending: AnswerEnding,
) {
    match ending {
        AnswerEnding::Complete => record_proof(host, context, AnswerProof::Complete),
        AnswerEnding::ConnectionEnd => {
            let mut crashes = host.crashes.borrow_mut();
            crashes.note_end(host.now(), start, own_causes(context));
        }
        AnswerEnding::Unwritten => {}
    }
}

/// Records that the pieces of a call were produced, given as stages with the keys of their requests.
pub(crate) fn record_pieces_made<'a>(
    host: &Host,
    pieces: impl IntoIterator<Item = (&'a str, &'a str)>,
) {
    if !host.crashes.borrow().has_evidence(CauseKind::Pieces) {
        return;
    }
    let causes = pieces.into_iter();
    let causes = causes.map(|(stage, key)| CrashCause::of_pieces(stage, key));
    let now = host.now();
    update(host, "answer", |host| {
        let mut crashes = host.crashes.borrow_mut();
        crashes.note_proof(now, AnswerProof::Complete, causes)
    });
}

/// Records that a server has begun to answer a request that was sent to it at a time.
pub(crate) fn record_server_alive(
    host: &Host,
    server: &ServerId,
    record: &ServerRecord,
    sent_at: MonoTime,
) {
    let start = server_start(server, record);
    let now = host.now();
    update(host, "answer", |host| {
        let mut crashes = host.crashes.borrow_mut();
        crashes.note_server_alive(now, &start, sent_at)
    });
}

/// Applies a change of the evidence, logs which causes are blocked by it or no longer blocked, and
/// announces the evidence that the change returns.
fn update(host: &Host, source: &str, change: impl FnOnce(&Host) -> Vec<CrashEvidence>) {
    let before = host.crashes.borrow().change();
    let news = change(host);
    if host.crashes.borrow().change() == before {
        return;
    }
    log_blocked(host, source);
    host.view_changed.notify_waiters();
    if !news.is_empty() {
        announce(host, &news);
    }
}

/// Logs the causes that are newly blocked or no longer blocked.
fn log_blocked(host: &Host, source: &str) {
    let blocked = host.crashes.borrow().crashing_causes();
    let before = host.blocked_causes.replace(blocked.clone());
    for cause in blocked.iter().filter(|cause| !before.contains(cause)) {
        log_line!(host, warn, CauseBlocked, cause = %cause, source);
    }
    for cause in before.iter().filter(|cause| !blocked.contains(cause)) {
        log_line!(host, info, CauseUnblocked, cause = %cause, source);
    }
    let is_part = |cause: &&CrashCause| matches!(cause, CrashCause::Part(_));
    let part_count = blocked.iter().filter(is_part).count();
    let other_count = blocked.len().saturating_sub(part_count);
    let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    host.metrics.blocked_parts.set(gauge(part_count));
    host.metrics.blocked_repetitions.set(gauge(other_count));
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
        let (panics, host, body) = (host.panics.clone(), host.clone(), body.clone());
        panics.spawn(TaskKind::PeerNews, async move {
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
        let mut parts = host.crashes.borrow_mut();
        let entries = entries.iter().filter_map(|entry| decode(now, entry));
        entries.filter_map(|entry| parts.apply(&entry)).collect()
    });
}

pub(crate) fn encode(now: MonoTime, evidence: &CrashEvidence) -> EvidenceEntry {
    let (kind, cause) = match evidence.cause {
        CrashCause::Part(id) => (wire::CauseKind::Part, id),
        CrashCause::Pieces(id) => (wire::CauseKind::Pieces, id),
        CrashCause::Request(id) => (wire::CauseKind::Request, id),
    };
    EvidenceEntry {
        cause,
        kind: kind.into(),
        server: evidence.server.server.to_string(),
        born: evidence.server.born,
        age_us: micros(now.since(evidence.at)),
        withdrawn: evidence.withdrawn,
        weak: evidence.weak,
    }
}

fn decode(now: MonoTime, entry: &EvidenceEntry) -> Option<CrashEvidence> {
    let cause = match wire::CauseKind::try_from(entry.kind).ok()? {
        wire::CauseKind::Part => CrashCause::Part(entry.cause),
        wire::CauseKind::Pieces => CrashCause::Pieces(entry.cause),
        wire::CauseKind::Request => CrashCause::Request(entry.cause),
    };
    Some(CrashEvidence {
        cause,
        server: ServerStart {
            server: entry.server.parse().ok()?,
            born: entry.born,
        },
        at: now - Duration::from_micros(entry.age_us),
        weak: entry.weak,
        withdrawn: entry.withdrawn,
    })
}

/// Returns after which time a request may be tried again, if it crashes servers. One host lets such
/// a request through from time to time, to see whether it still does.
pub(crate) fn blocked_wait(host: &Host, context: &RequestContext) -> Option<Duration> {
    /// Time within which a host with the duty learns how a probe ended.
    const PROBE_TIME: Duration = Duration::from_secs(5);
    let now = host.now();
    let causes = known_causes(host, context);
    let verdict = host.crashes.borrow().verdict(now, &causes);
    let wait = match verdict {
        CrashVerdict::Sound => return None,
        CrashVerdict::Blocked { wait } => wait,
        CrashVerdict::Probe { cause } => {
            let hosts = host.hosts.borrow();
            let holder = hosts.duty_holder(now, &format!("crash/{cause}"));
            if holder.is_some_and(|holder| holder.name == *hosts.own()) {
                host.crashes.borrow_mut().note_probe(now, cause);
                return None;
            }
            PROBE_TIME
        }
    };
    let label = host.metrics.label(context.pool.as_str());
    host.metrics.blocked_requests.get_or_create(&label).inc();
    let request = context.head.attempt.as_str();
    log_line!(host, info, CrashingRefused, request, wait_ms = millis(wait));
    Some(wait)
}
