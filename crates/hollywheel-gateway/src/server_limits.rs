//! Limits on requests that backend servers name, shared by all hosts.
//!
//! For each server one host grants the permits to send requests to it while it names a limit. The
//! host that learns of a limit, or of its end, from a response tells that host and the readers of
//! the store, whose followers learn of it with the other changes that they poll for. Readers compare
//! what they know at an interval, since one may have started, or have been cut off, after the news.

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
    HostRecord, LimitNotice, LimitStatement, PermitVerdict, PlacementVerdict, ServerRecord,
};
use hollywheel_types::{MonoTime, PoolId, RequestRate, ServerId};
use hollywheel_wire::serving::{LimitEntry, LimitNews, PermitReply, PermitRequest};

use crate::cold_servers::{ServerClass, encode_cold, joint_cold_rate, least_rate};
use crate::containment::TaskKind;
use crate::follow::list_readers;
use crate::host::Host;
use crate::peer_client::{LIMITS_PATH, PERMIT_PATH, PeerFailure};
use crate::peer_server::micros;
use crate::stage_client::unpaused_server;

/// Time-out of a request for a permit, which a live host answers within milliseconds.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time-out of a request for a permit that is passed on, so that the first host still gets a reply.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(150);
/// Time-out of telling another host about limits.
const NEWS_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a reader of the store exchanges limits with another one.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// The same until the first exchange, before which the host knows no limit.
const FIRST_EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which no further permit is requested for a server while one request is in flight. A
/// reply ends it.
const REQUEST_SPACING: Duration = Duration::from_millis(20);
/// Time for which no permit is requested for a server after its host did not answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// The longest wait for a place of a server if no other server of the pool takes the request.
pub(crate) const PLACE_PATIENCE: Duration = Duration::from_millis(150);
/// Number of servers with a limit for which a request asks for permits in turn.
const MAX_PERMIT_REQUESTS: usize = 4;

/// The permit for a server without a limit.
const PERMITTED: PermitVerdict = PermitVerdict::Granted {
    wait: Duration::ZERO,
};

/// Applies what a response to a request sent at `sent_at` says about its server's limit, and tells
/// other hosts if that is news.
pub(crate) fn note_response_limit(
    host: &Host,
    server: &ServerId,
    said: LimitStatement,
    sent_at: MonoTime,
) {
    let notice = match said {
        LimitStatement::Limited(rate) => LimitNotice {
            rate: Some(rate),
            at: host.now(),
        },
        LimitStatement::Unlimited => LimitNotice {
            rate: None,
            at: sent_at,
        },
        LimitStatement::Unknown => return,
    };
    if host.apply_limit(server, notice, "response") {
        announce_limit(host, server, notice);
    }
}

/// Tells a notice to the host that grants permits for the server and to the readers of the store.
fn announce_limit(host: &Host, server: &ServerId, notice: LimitNotice) {
    let own = host.hosts.borrow().own().clone();
    let mut targets = list_readers(host);
    targets.extend(permit_host(host, server));
    targets.sort_by(|left, right| left.name.cmp(&right.name));
    targets.dedup_by(|left, right| left.name == right.name);
    targets.retain(|target| target.name != own);
    let news = LimitNews {
        limits: vec![encode_limit(host.now(), server, notice)],
    };
    let body = news.encode_to_vec();
    for target in targets {
        let (panics, host, body) = (host.panics.clone(), host.clone(), body.clone());
        panics.spawn(TaskKind::PeerNews, async move {
            // Hosts that this does not reach learn of the limit from responses or permits.
            let _ = host
                .peers
                .call(&target, LIMITS_PATH, body, NEWS_TIMEOUT)
                .await;
        });
    }
}

/// Returns the other host that grants the permits for a server; none if this host does.
fn permit_host(host: &Host, server: &ServerId) -> Option<HostRecord> {
    let hosts = host.hosts.borrow();
    let holder = hosts.duty_holder(host.now(), &format!("limit/{server}"))?;
    (holder.name != *hosts.own()).then(|| holder.clone())
}

/// Returns the time until a server may have a free place; none if it has no limit and is not cold.
fn place_wait(host: &Host, server: &ServerId) -> Option<Duration> {
    let now = host.now();
    let limited = host.limits.borrow().place_wait(now, server);
    match host.cold_rate(server) {
        Some(_) => limited.max(host.cold.borrow().place_wait(now, server)),
        None => limited,
    }
}

/// Records when a server may next have a free place.
fn note_next_place(host: &Host, server: &ServerId, place: MonoTime) {
    host.limits.borrow_mut().note_next_place(server, place);
    host.cold.borrow_mut().note_next_place(server, place);
}

/// Takes a permit to send one request to a server; granted at once if the server names no limit and is
/// not cold.
pub(crate) async fn take_permit(
    host: &Host,
    server: &ServerId,
    patience: Duration,
) -> PermitVerdict {
    let Some(wait) = place_wait(host, server) else {
        return PERMITTED;
    };
    let is_cold = host.cold_rate(server).is_some();
    let verdict = match wait > patience {
        true => PermitVerdict::Denied { wait },
        false => obtain_permit(host, server, patience).await,
    };
    if is_cold {
        let granted = matches!(verdict, PermitVerdict::Granted { .. });
        host.count_cold_permit(server, granted);
    }
    if wait > patience {
        return verdict;
    }
    let next_place = match verdict {
        PermitVerdict::Granted { .. } => host.now(),
        PermitVerdict::Denied { wait } => host.now() + wait,
    };
    note_next_place(host, server, next_place);
    verdict
}

/// Takes a permit from the host that grants those for a server, which may be this one.
async fn obtain_permit(host: &Host, server: &ServerId, patience: Duration) -> PermitVerdict {
    loop {
        let limit = host.limits.borrow().limit(server);
        let cold = host.cold_rate(server);
        let Some(rate) = least_rate(limit, cold) else {
            return PERMITTED;
        };
        let now = host.now();
        let take_own = || host.permits.borrow_mut().take(now, server, rate, patience);
        let Some(granting) = permit_host(host, server) else {
            return take_own();
        };
        let spacing = now + REQUEST_SPACING;
        note_next_place(host, server, spacing);
        match request_permit(host, &granting, permit_request(host, server, patience)).await {
            Ok(reply) => return decode_reply(host, &granting, &reply),
            // Another host grants the permits from now on.
            Err(PeerFailure::Leaving) => host.mark_host_leaving(&granting.name),
            // A host of an earlier software version grants no permits, or none for cold servers. A
            // limit that the server names leaves room for the requests of each host; the bound on cold
            // servers does not.
            Err(PeerFailure::Refused) if cold.is_none() => return take_own(),
            Err(PeerFailure::Refused) => {
                return PermitVerdict::Denied {
                    wait: FAILURE_PAUSE,
                };
            }
            Err(failure) => {
                host.mark_unreachable(&granting.name, "limit", failure.name());
                return PermitVerdict::Denied {
                    wait: FAILURE_PAUSE,
                };
            }
        }
    }
}

/// Returns the request for a permit with what this host knows about the server.
fn permit_request(host: &Host, server: &ServerId, patience: Duration) -> PermitRequest {
    let notice = host.limits.borrow().notice(server);
    PermitRequest {
        limit: notice.map(|notice| encode_limit(host.now(), server, notice)),
        patience_us: micros(patience),
        forwarded: false,
        cold: encode_cold(host, server),
    }
}

/// Requests a permit from another host.
async fn request_permit(
    host: &Host,
    granting: &HostRecord,
    message: PermitRequest,
) -> Result<PermitReply, PeerFailure> {
    let limit = match message.forwarded {
        true => FORWARD_TIMEOUT,
        false => PERMIT_TIMEOUT,
    };
    let body = message.encode_to_vec();
    let reply = host.peers.call(granting, PERMIT_PATH, body, limit).await?;
    host.hosts.borrow_mut().note_answer(&granting.name);
    PermitReply::decode(reply).map_err(|_| PeerFailure::Broken)
}

/// Reads the reply of the host that grants the permits and applies what it knows about the limit.
fn decode_reply(host: &Host, granting: &HostRecord, reply: &PermitReply) -> PermitVerdict {
    if let Some(entry) = &reply.limit {
        apply_entry(host, entry, granting.name.as_str());
    }
    let wait = Duration::from_micros(reply.wait_us);
    match reply.granted {
        true => PermitVerdict::Granted { wait },
        false => PermitVerdict::Denied { wait },
    }
}

/// Answers a request for a permit; `None` if it is invalid. A host that is not the one to grant it
/// passes the request on, so that two hosts do not grant permits for one server.
pub(crate) async fn answer_permit(host: &Host, body: &Bytes) -> Option<Vec<u8>> {
    let request = PermitRequest::decode(body.clone()).ok()?;
    let named = request.limit.as_ref().map(|entry| &entry.server);
    let named = named.or(request.cold.as_ref().map(|entry| &entry.server))?;
    let server: ServerId = named.parse().ok()?;
    if let Some(entry) = &request.limit {
        apply_entry(host, entry, "permit");
    }
    let patience = Duration::from_micros(request.patience_us);
    let notice = host.limits.borrow().notice(&server);
    let cold = joint_cold_rate(host, &server, request.cold.as_ref());
    if notice.is_none() && request.cold.is_none() {
        return None;
    }
    let granting = permit_host(host, &server).filter(|_| !request.forwarded);
    if let Some(granting) = granting {
        let own = permit_request(host, &server, patience);
        let passed_on = PermitRequest {
            forwarded: true,
            cold: request.cold.clone().or(own.cold),
            ..own
        };
        match request_permit(host, &granting, passed_on).await {
            Ok(reply) => return Some(reply.encode_to_vec()),
            Err(PeerFailure::Leaving) => host.mark_host_leaving(&granting.name),
            Err(failure) => host.mark_unreachable(&granting.name, "limit", failure.name()),
        }
    }
    let now = host.now();
    let verdict = match least_rate(notice.and_then(|notice| notice.rate), cold) {
        Some(rate) => host.permits.borrow_mut().take(now, &server, rate, patience),
        None => PERMITTED,
    };
    let (granted, wait) = match verdict {
        PermitVerdict::Granted { wait } => (true, wait),
        PermitVerdict::Denied { wait } => (false, wait),
    };
    let reply = PermitReply {
        granted,
        wait_us: micros(wait),
        limit: notice.map(|notice| encode_limit(now, &server, notice)),
    };
    Some(reply.encode_to_vec())
}

/// Applies limits that another host tells and replies with those that this host knows; `None` if the
/// message is invalid.
pub(crate) fn receive_news(host: &Host, body: &Bytes) -> Option<Vec<u8>> {
    apply_news(host, body)?;
    Some(known_limits(host).encode_to_vec())
}

fn apply_news(host: &Host, body: &Bytes) -> Option<()> {
    let news = LimitNews::decode(body.clone()).ok()?;
    for entry in &news.limits {
        apply_entry(host, entry, "host");
    }
    Some(())
}

/// Returns what this host knows about the limits of all servers.
fn known_limits(host: &Host) -> LimitNews {
    let now = host.now();
    let limits = host.limits.borrow();
    let known = limits.changes_after(0);
    LimitNews {
        limits: known
            .map(|(server, notice)| encode_limit(now, server, notice))
            .collect(),
    }
}

/// Exchanges limits with another reader of the store at an interval while this host is a reader.
/// Followers learn of limits from the reader that they follow.
pub(crate) async fn exchange_limits(host: Host) {
    let mut interval = FIRST_EXCHANGE_INTERVAL;
    loop {
        tokio::time::sleep(interval).await;
        if !host.reader_role.is_reading() {
            continue;
        }
        let own = host.hosts.borrow().own().clone();
        let mut others = list_readers(&host);
        others.retain(|other| other.name != own);
        let count = u64::try_from(others.len()).unwrap_or(u64::MAX);
        let Some(index) = host.next_tie_breaker().checked_rem(count) else {
            continue;
        };
        let other = others.swap_remove(usize::try_from(index).unwrap_or(0));
        let body = known_limits(&host).encode_to_vec();
        let reply = host.peers.call(&other, LIMITS_PATH, body, NEWS_TIMEOUT);
        match reply.await {
            Ok(reply) => {
                // A reply that cannot be decoded is left out; the next one may be readable.
                let _ = apply_news(&host, &reply);
                interval = EXCHANGE_INTERVAL;
            }
            // A host of an earlier software version knows no limits.
            Err(PeerFailure::Refused) => interval = EXCHANGE_INTERVAL,
            // The next exchange may be with another host. This one keeps its duties: no request
            // has waited for it.
            Err(_) => {}
        }
    }
}

/// Applies what another host tells about a limit. An entry that cannot be read is ignored.
pub(crate) fn apply_entry(host: &Host, entry: &LimitEntry, source: &str) {
    let Ok(server) = entry.server.parse::<ServerId>() else {
        return;
    };
    let notice = LimitNotice {
        rate: entry.limit.map(RequestRate::per_second),
        at: host.now() - Duration::from_micros(entry.age_us),
    };
    host.apply_limit(&server, notice, source);
}

/// Encodes a notice; its time becomes an age.
pub(crate) fn encode_limit(now: MonoTime, server: &ServerId, notice: LimitNotice) -> LimitEntry {
    LimitEntry {
        server: server.to_string(),
        limit: notice.rate.map(RequestRate::get),
        age_us: micros(now.since(notice.at)),
    }
}

/// Outcome of choosing a server that may be sent a request now.
pub(crate) enum PermittedChoice {
    /// The request may be sent to this server.
    Server(ServerId, ServerRecord),
    /// Every server is at its load limit.
    Full,
    /// Every server that is left is at the limit that it has named.
    AtLimit,
    /// There is no server left.
    NoServer,
}

/// Chooses a server by `place` and takes a permit for it if it names a limit or is cold.
///
/// A cold server is chosen only if no warm one takes the request: it is slow, and a request that waits
/// there is late. `prompt` is the last shared part of the request's prompt.
pub(crate) async fn choose_permitted(
    host: &Host,
    pool: &PoolId,
    prompt: Option<u64>,
    place: impl Fn(&[(ServerId, ServerRecord)]) -> PlacementVerdict,
) -> PermittedChoice {
    let warm = choose_warm(host, pool, prompt, &place).await;
    let cold = host.class_servers(pool, prompt, ServerClass::Cold);
    if cold.is_empty() || matches!(warm, PermittedChoice::Server(..)) {
        return warm;
    }
    for patience in [Duration::ZERO, PLACE_PATIENCE] {
        let class = ServerClass::Cold;
        if let Some(chosen) =
            choose_with_patience(host, pool, prompt, class, patience, &place).await
        {
            return chosen;
        }
    }
    match (warm, place(&cold)) {
        (PermittedChoice::NoServer, PlacementVerdict::Server(_)) => PermittedChoice::AtLimit,
        (PermittedChoice::NoServer, PlacementVerdict::Full) => PermittedChoice::Full,
        (warm, _) => warm,
    }
}

/// Chooses among the warm servers of a pool.
///
/// Servers with a limit are asked for first, so that they get the work that they accept; then one
/// without a limit is chosen. Only if there is none, a place at a server with a limit is awaited.
async fn choose_warm(
    host: &Host,
    pool: &PoolId,
    prompt: Option<u64>,
    place: impl Fn(&[(ServerId, ServerRecord)]) -> PlacementVerdict,
) -> PermittedChoice {
    let class = ServerClass::Warm;
    if host.limits.borrow().limited_count() == 0 {
        let servers = host.warm_servers(pool, prompt);
        return match place(&servers) {
            PlacementVerdict::Server(server) => find_choice(servers, &server),
            PlacementVerdict::Full => PermittedChoice::Full,
            PlacementVerdict::NoServer => PermittedChoice::NoServer,
        };
    }
    if let Some(chosen) =
        choose_with_patience(host, pool, prompt, class, Duration::ZERO, &place).await
    {
        return chosen;
    }
    let mut unlimited = host.warm_servers(pool, prompt);
    unlimited.retain(|(server, _)| host.limits.borrow().limit(server).is_none());
    let verdict = place(&unlimited);
    if let PlacementVerdict::Server(server) = &verdict {
        return find_choice(unlimited, server);
    }
    if let Some(chosen) =
        choose_with_patience(host, pool, prompt, class, PLACE_PATIENCE, &place).await
    {
        return chosen;
    }
    match place(&host.warm_servers(pool, prompt)) {
        PlacementVerdict::Full => PermittedChoice::Full,
        PlacementVerdict::NoServer => PermittedChoice::NoServer,
        PlacementVerdict::Server(_) if verdict == PlacementVerdict::Full => PermittedChoice::Full,
        PlacementVerdict::Server(_) => PermittedChoice::AtLimit,
    }
}

/// Returns the choice of a server with its record.
fn find_choice(servers: Vec<(ServerId, ServerRecord)>, chosen: &ServerId) -> PermittedChoice {
    let mut servers = servers.into_iter();
    match servers.find(|(server, _)| server == chosen) {
        Some((server, record)) => PermittedChoice::Server(server, record),
        None => PermittedChoice::NoServer,
    }
}

/// Chooses among the servers of a class that may have a place within `patience`, until a permit is granted.
async fn choose_with_patience(
    host: &Host,
    pool: &PoolId,
    prompt: Option<u64>,
    class: ServerClass,
    patience: Duration,
    place: impl Fn(&[(ServerId, ServerRecord)]) -> PlacementVerdict,
) -> Option<PermittedChoice> {
    for _ in 0..MAX_PERMIT_REQUESTS {
        let mut servers = host.class_servers(pool, prompt, class);
        servers.retain(|(server, _)| {
            let wait = place_wait(host, server);
            wait.is_none_or(|wait| wait <= patience)
        });
        let PlacementVerdict::Server(server) = place(&servers) else {
            return None;
        };
        if let PermitVerdict::Granted { wait } = take_permit(host, &server, patience).await {
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
            }
            // The server may have left or asked for a pause in the meantime.
            if let Some(record) = unpaused_server(host, &server, prompt) {
                return Some(PermittedChoice::Server(server, record));
            }
        } else {
            host.count_limited_denial(pool);
        }
    }
    None
}
