//! Conversion of membership messages.

use hollywheel_membership::{MemberMessage, MemberRecord, MemberState, MemberUpdate};
use hollywheel_types::{ConfigVersion, HostId, Incarnation};
use prost::Message;

use crate::error::WireError;
use crate::fields::{check_entries, check_size, decode_address, encode_ip, parse_name, required};
use crate::generated as wire;

/// Maximum size of a membership message in bytes.
pub const MAX_MEMBER_BYTES: usize = 4096;

/// Maximum number of updates or records per message.
const MAX_ENTRIES: usize = 128;

/// Encodes a membership message.
pub fn encode_member(message: &MemberMessage) -> Vec<u8> {
    use wire::member_message::Message as Kind;
    let kind = match message {
        MemberMessage::Ping {
            sequence,
            from,
            news,
        } => Kind::Ping(encode_probe(*sequence, from, news)),
        MemberMessage::Ack {
            sequence,
            from,
            news,
        } => Kind::Ack(encode_probe(*sequence, from, news)),
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
            target_ip: encode_ip(*target_address),
            target_port: u32::from(target_address.port()),
            news: news.iter().map(encode_update).collect(),
        }),
        MemberMessage::Join { record } => Kind::Join(wire::Join {
            record: Some(encode_record(record)),
        }),
        MemberMessage::State { records } => Kind::State(wire::State {
            records: records.iter().map(encode_record).collect(),
        }),
        MemberMessage::Nack { sequence, from } => Kind::Nack(encode_probe(*sequence, from, &[])),
        MemberMessage::Gossip { from, news } => Kind::Gossip(encode_probe(0, from, news)),
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

/// Decodes a membership message.
///
/// # Errors
///
/// Returns an error if the message is too large or malformed; it names the faulty field.
pub fn decode_member(bytes: &[u8]) -> Result<MemberMessage, WireError> {
    use wire::member_message::Message as Kind;
    const MESSAGE_NAME: &str = "membership message";
    check_size(MESSAGE_NAME, bytes, MAX_MEMBER_BYTES)?;
    let message = wire::MemberMessage::decode(bytes).map_err(|error| WireError::Malformed {
        message: MESSAGE_NAME,
        detail: error.to_string(),
    })?;
    Ok(match required("message", message.message)? {
        Kind::Ping(probe) => MemberMessage::Ping {
            sequence: probe.sequence,
            from: parse_name("from", &probe.from)?,
            news: decode_updates(probe.news)?,
        },
        Kind::Ack(probe) => MemberMessage::Ack {
            sequence: probe.sequence,
            from: parse_name("from", &probe.from)?,
            news: decode_updates(probe.news)?,
        },
        Kind::PingRequest(request) => MemberMessage::PingRequest {
            sequence: request.sequence,
            from: parse_name("from", &request.from)?,
            target: parse_name("target", &request.target)?,
            target_address: decode_address("target_ip", &request.target_ip, request.target_port)?,
            news: decode_updates(request.news)?,
        },
        Kind::Join(join) => MemberMessage::Join {
            record: decode_record(required("record", join.record)?)?,
        },
        Kind::State(state) => {
            check_entries("records", &state.records, MAX_ENTRIES)?;
            let records: Result<_, _> = state.records.into_iter().map(decode_record).collect();
            MemberMessage::State { records: records? }
        }
        Kind::Nack(probe) => MemberMessage::Nack {
            sequence: probe.sequence,
            from: parse_name("from", &probe.from)?,
        },
        Kind::Gossip(probe) => MemberMessage::Gossip {
            from: parse_name("from", &probe.from)?,
            news: decode_updates(probe.news)?,
        },
        Kind::Sync(sync) => MemberMessage::Sync {
            from: parse_name("from", &sync.from)?,
            digest: sync.digest,
            answer: sync.answer,
        },
    })
}

fn encode_probe(sequence: u64, from: &HostId, news: &[MemberUpdate]) -> wire::Probe {
    wire::Probe {
        sequence,
        from: from.to_string(),
        news: news.iter().map(encode_update).collect(),
    }
}

fn encode_record(record: &MemberRecord) -> wire::MemberRecord {
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
        ip: encode_ip(record.address),
        port: u32::from(record.address.port()),
        state: i32::from(state),
        config_version: record.config_version.0,
    }
}

fn decode_record(record: wire::MemberRecord) -> Result<MemberRecord, WireError> {
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
        host: parse_name("record.host", &record.host)?,
        incarnation: Incarnation(record.incarnation),
        refutation: record.refutation,
        domain: parse_name("record.domain", &record.domain)?,
        region: parse_name("record.region", &record.region)?,
        address: decode_address("record.ip", &record.ip, record.port)?,
        state,
        config_version: ConfigVersion(record.config_version),
    })
}

fn encode_update(news: &MemberUpdate) -> wire::MemberNews {
    use wire::member_news::News;
    let news = match news {
        MemberUpdate::Host(record) => News::Host(encode_record(record)),
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

fn decode_updates(news: Vec<wire::MemberNews>) -> Result<Vec<MemberUpdate>, WireError> {
    check_entries("news", &news, MAX_ENTRIES)?;
    news.into_iter().map(decode_update).collect()
}

fn decode_update(news: wire::MemberNews) -> Result<MemberUpdate, WireError> {
    use wire::member_news::News;
    Ok(match required("news", news.news)? {
        News::Host(record) => MemberUpdate::Host(decode_record(record)?),
        News::ServerLeaving(leaving) => MemberUpdate::ServerLeaving {
            server: parse_name("server", &leaving.server)?,
            incarnation: Incarnation(leaving.incarnation),
        },
        News::ConfigPublished(version) => MemberUpdate::ConfigPublished(ConfigVersion(version)),
        News::ConfigInForce(version) => MemberUpdate::ConfigInForce(ConfigVersion(version)),
        News::Suspected(suspected) => MemberUpdate::Suspected {
            host: parse_name("suspected.host", &suspected.host)?,
            incarnation: Incarnation(suspected.incarnation),
            refutation: suspected.refutation,
            by: parse_name("suspected.by", &suspected.by)?,
        },
    })
}
