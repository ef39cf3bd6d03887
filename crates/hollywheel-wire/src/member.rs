//! Membership messages.

use hollywheel_membership::{MemberMessage, MemberRecord, MemberState, MemberUpdate};
use hollywheel_types::{ConfigVersion, HostId, Incarnation};
use prost::Message;

use crate::error::WireError;
use crate::fields::{address, bounded, bounded_bytes, ip_bytes, name, present};
use crate::generated as wire;

/// The most bytes of a membership message.
pub const MAX_MEMBER_BYTES: usize = 4096;

/// The most pieces of news or records of a message.
const MAX_ENTRIES: usize = 128;

/// Writes a membership message.
pub fn encode_member(message: &MemberMessage) -> Vec<u8> {
    use wire::member_message::Message as Kind;
    let kind = match message {
        MemberMessage::Ping {
            sequence,
            from,
            news,
        } => Kind::Ping(write_probe(*sequence, from, news)),
        MemberMessage::Ack {
            sequence,
            from,
            news,
        } => Kind::Ack(write_probe(*sequence, from, news)),
        MemberMessage::PingRequest {
            sequence,
            from,
            target,
            target_address,
            news,
        } => Kind::PingRequest(wire::PingRequest {
            sequence: *sequence,
            from: from.to_string(),
            target: target.to_string(),
            target_ip: ip_bytes(*target_address),
            target_port: u32::from(target_address.port()),
            news: news.iter().map(write_news).collect(),
        }),
        MemberMessage::Join { record } => Kind::Join(wire::Join {
            record: Some(write_record(record)),
        }),
        MemberMessage::State { records } => Kind::State(wire::State {
            records: records.iter().map(write_record).collect(),
        }),
        MemberMessage::Nack { sequence, from } => Kind::Nack(write_probe(*sequence, from, &[])),
        MemberMessage::Gossip { from, news } => Kind::Gossip(write_probe(0, from, news)),
        MemberMessage::Sync {
            from,
            digest,
            answer,
        } => Kind::Sync(wire::Sync {
            from: from.to_string(),
            digest: *digest,
            answer: *answer,
        }),
    };
    wire::MemberMessage {
        message: Some(kind),
    }
    .encode_to_vec()
}

/// Reads a membership message.
///
/// # Errors
///
/// Returns an error that names the field at fault.
pub fn decode_member(bytes: &[u8]) -> Result<MemberMessage, WireError> {
    use wire::member_message::Message as Kind;
    const WHAT: &str = "membership message";
    bounded_bytes(WHAT, bytes, MAX_MEMBER_BYTES)?;
    let message = wire::MemberMessage::decode(bytes).map_err(|error| WireError::Malformed {
        message: WHAT,
        detail: error.to_string(),
    })?;
    Ok(match present("message", message.message)? {
        Kind::Ping(probe) => MemberMessage::Ping {
            sequence: probe.sequence,
            from: name("from", &probe.from)?,
            news: read_news(probe.news)?,
        },
        Kind::Ack(probe) => MemberMessage::Ack {
            sequence: probe.sequence,
            from: name("from", &probe.from)?,
            news: read_news(probe.news)?,
        },
        Kind::PingRequest(request) => MemberMessage::PingRequest {
            sequence: request.sequence,
            from: name("from", &request.from)?,
            target: name("target", &request.target)?,
            target_address: address("target_ip", &request.target_ip, request.target_port)?,
            news: read_news(request.news)?,
        },
        Kind::Join(join) => MemberMessage::Join {
            record: read_record(present("record", join.record)?)?,
        },
        Kind::State(state) => {
            bounded("records", &state.records, MAX_ENTRIES)?;
            let records: Result<_, _> = state.records.into_iter().map(read_record).collect();
            MemberMessage::State { records: records? }
        }
        Kind::Nack(probe) => MemberMessage::Nack {
            sequence: probe.sequence,
            from: name("from", &probe.from)?,
        },
        Kind::Gossip(probe) => MemberMessage::Gossip {
            from: name("from", &probe.from)?,
            news: read_news(probe.news)?,
        },
        Kind::Sync(sync) => MemberMessage::Sync {
            from: name("from", &sync.from)?,
            digest: sync.digest,
            answer: sync.answer,
        },
    })
}

fn write_probe(sequence: u64, from: &HostId, news: &[MemberUpdate]) -> wire::Probe {
    wire::Probe {
        sequence,
        from: from.to_string(),
        news: news.iter().map(write_news).collect(),
    }
}

fn write_record(record: &MemberRecord) -> wire::MemberRecord {
    let state = match record.state {
        MemberState::Alive => wire::MemberState::Alive,
        MemberState::Suspect => wire::MemberState::Suspect,
        MemberState::Leaving => wire::MemberState::Leaving,
        MemberState::Dead => wire::MemberState::Dead,
    };
    wire::MemberRecord {
        host: record.host.to_string(),
        incarnation: record.incarnation.0,
        refutation: record.refutation,
        domain: record.domain.to_string(),
        region: record.region.to_string(),
        ip: ip_bytes(record.address),
        port: u32::from(record.address.port()),
        state: i32::from(state),
        config_version: record.config_version.0,
    }
}

fn read_record(record: wire::MemberRecord) -> Result<MemberRecord, WireError> {
    let state = match record.state() {
        wire::MemberState::Alive => MemberState::Alive,
        wire::MemberState::Suspect => MemberState::Suspect,
        wire::MemberState::Leaving => MemberState::Leaving,
        wire::MemberState::Dead => MemberState::Dead,
        wire::MemberState::Unspecified => {
            return Err(WireError::Missing {
                field: "record.state",
            });
        }
    };
    Ok(MemberRecord {
        host: name("record.host", &record.host)?,
        incarnation: Incarnation(record.incarnation),
        refutation: record.refutation,
        domain: name("record.domain", &record.domain)?,
        region: name("record.region", &record.region)?,
        address: address("record.ip", &record.ip, record.port)?,
        state,
        config_version: ConfigVersion(record.config_version),
    })
}

fn write_news(news: &MemberUpdate) -> wire::MemberNews {
    use wire::member_news::News;
    let news = match news {
        MemberUpdate::Host(record) => News::Host(write_record(record)),
        MemberUpdate::ServerLeaving {
            server,
            incarnation,
        } => News::ServerLeaving(wire::ServerLeaving {
            server: server.to_string(),
            incarnation: incarnation.0,
        }),
        MemberUpdate::ConfigPublished(version) => News::ConfigPublished(version.0),
        MemberUpdate::ConfigInForce(version) => News::ConfigInForce(version.0),
        MemberUpdate::Suspected {
            host,
            incarnation,
            refutation,
            by,
        } => News::Suspected(wire::Suspected {
            host: host.to_string(),
            incarnation: incarnation.0,
            refutation: *refutation,
            by: by.to_string(),
        }),
    };
    wire::MemberNews { news: Some(news) }
}

fn read_news(news: Vec<wire::MemberNews>) -> Result<Vec<MemberUpdate>, WireError> {
    bounded("news", &news, MAX_ENTRIES)?;
    news.into_iter().map(read_piece).collect()
}

fn read_piece(news: wire::MemberNews) -> Result<MemberUpdate, WireError> {
    use wire::member_news::News;
    Ok(match present("news", news.news)? {
        News::Host(record) => MemberUpdate::Host(read_record(record)?),
        News::ServerLeaving(leaving) => MemberUpdate::ServerLeaving {
            server: name("server", &leaving.server)?,
            incarnation: Incarnation(leaving.incarnation),
        },
        News::ConfigPublished(version) => MemberUpdate::ConfigPublished(ConfigVersion(version)),
        News::ConfigInForce(version) => MemberUpdate::ConfigInForce(ConfigVersion(version)),
        News::Suspected(suspected) => MemberUpdate::Suspected {
            host: name("suspected.host", &suspected.host)?,
            incarnation: Incarnation(suspected.incarnation),
            refutation: suspected.refutation,
            by: name("suspected.by", &suspected.by)?,
        },
    })
}
