//! Tests of the conversions, including with corrupted bytes.

use std::sync::Arc;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use hollywheel_claims::{ClaimAnswer, ClaimKey, ClaimQuestion, StoredAnswer};
use hollywheel_config::{ChangeBatch, ConfigChange, PublishedSet, SetDiff, SetDigest};
use hollywheel_membership::{MemberMessage, MemberRecord, MemberState, MemberUpdate};
use hollywheel_types::{
    AttemptNonce, BodyDigest, ConfigVersion, ExecutionVerdict, HostId, Incarnation, PublishId,
    WallTime,
};
use hollywheel_wire::{
    HostAnswer, HostQuestion, decode_answer, decode_member, decode_question, encode_answer,
    encode_member, encode_question,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MAX_ANSWER_BYTES: usize = 1 << 20;

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn record(state: MemberState) -> MemberRecord {
    MemberRecord {
        host: host("medeu-entry-1"),
        incarnation: Incarnation(1_733_270_000_000_000),
        refutation: 2,
        domain: "medeu".parse().unwrap(),
        region: "almaty".parse().unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
        state,
        config_version: ConfigVersion(3100),
    }
}

fn sample_updates() -> Vec<MemberUpdate> {
    let states = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Leaving,
        MemberState::Dead,
    ];
    let mut updates: Vec<_> = states.map(record).map(MemberUpdate::Host).into();
    updates.push(MemberUpdate::ServerLeaving {
        server: "medeu-engine-1".parse().unwrap(),
        incarnation: Incarnation(1_733_270_000_000_000),
    });
    updates.push(MemberUpdate::ConfigPublished(ConfigVersion(3101)));
    updates.push(MemberUpdate::ConfigInForce(ConfigVersion(3100)));
    updates.push(MemberUpdate::Suspected {
        host: host("medeu-entry-1"),
        incarnation: Incarnation(1_733_270_000_000_000),
        refutation: 2,
        by: host("alatau-entry-2"),
    });
    updates
}

fn member_messages() -> Vec<MemberMessage> {
    let from = host("alatau-entry-2");
    vec![
        MemberMessage::Ping {
            sequence: 7,
            from: from.clone(),
            news: sample_updates(),
        },
        MemberMessage::Ack {
            sequence: 7,
            from: from.clone(),
            news: Vec::new(),
        },
        MemberMessage::PingRequest {
            sequence: 8,
            from: from.clone(),
            target: host("medeu-entry-1"),
            target_address: "[::1]:7000".parse().unwrap(),
            news: sample_updates(),
        },
        MemberMessage::Join {
            record: record(MemberState::Alive),
        },
        MemberMessage::State {
            records: vec![record(MemberState::Alive); 3],
        },
        MemberMessage::Nack {
            sequence: 8,
            from: from.clone(),
        },
        MemberMessage::Gossip {
            from: from.clone(),
            news: sample_updates(),
        },
        MemberMessage::Sync {
            from,
            digest: u64::MAX,
            answer: true,
        },
    ]
}

fn answers() -> Vec<HostAnswer> {
    let ended = ClaimAnswer::Ended {
        verdict: ExecutionVerdict::Ran,
        answer: Some(StoredAnswer {
            digest: BodyDigest(5),
            output: "paid".to_owned(),
        }),
    };
    let change = ConfigChange {
        base: ConfigVersion(1),
        version: ConfigVersion(2),
        publish_id: PublishId(9),
        operator: "operator".to_owned(),
        published_at: WallTime(5),
        diff: SetDiff::default(),
    };
    let batch = ChangeBatch {
        snapshot: Some(Arc::new(PublishedSet::default())),
        changes: vec![change],
        digest: SetDigest("00ff".to_owned()),
    };
    vec![
        HostAnswer::Claim(ClaimAnswer::Released),
        HostAnswer::Claim(ClaimAnswer::Running),
        HostAnswer::Claim(ClaimAnswer::Unknown),
        HostAnswer::Claim(ended),
        HostAnswer::Changes(batch),
        HostAnswer::Changes(ChangeBatch::default()),
        HostAnswer::None,
    ]
}

fn questions() -> Vec<HostQuestion> {
    let claim = ClaimQuestion {
        key: ClaimKey {
            workspace: "clerk-desk".parse().unwrap(),
            key: "order-17".parse().unwrap(),
        },
        nonce: AttemptNonce(u128::MAX - 5),
        digest: BodyDigest(u64::MAX),
    };
    vec![
        HostQuestion::Claim(claim),
        HostQuestion::Changes(ConfigVersion(12)),
    ]
}

#[test]
fn every_message_survives_a_round_trip() {
    for message in member_messages() {
        assert_eq!(decode_member(&encode_member(&message)).unwrap(), message);
    }
    for question in questions() {
        assert_eq!(
            decode_question(&encode_question(&question)).unwrap(),
            question
        );
    }
    for answer in answers() {
        let bytes = encode_answer(&answer);
        assert_eq!(decode_answer(&bytes, MAX_ANSWER_BYTES).unwrap(), answer);
    }
}

#[test]
fn encoded_sizes_match_the_snapshot() {
    let sizes: Vec<usize> = member_messages()
        .iter()
        .map(|m| encode_member(m).len())
        .collect();
    insta::assert_debug_snapshot!(sizes);
}

#[test]
fn decode_errors_name_the_faulty_field() {
    let mut errors = Vec::new();
    errors.push(decode_member(&vec![0; 5000]).unwrap_err().to_string());
    errors.push(decode_member(&[]).unwrap_err().to_string());
    errors.push(decode_member(&[255, 255]).unwrap_err().to_string());
    let mut bytes = encode_member(&MemberMessage::Nack {
        sequence: 1,
        from: host("a-b"),
    });
    let at = bytes.len() - 2;
    bytes[at] = b' ';
    errors.push(decode_member(&bytes).unwrap_err().to_string());
    let bytes = encode_answer(&answers()[3]);
    errors.push(decode_answer(&bytes, 4).unwrap_err().to_string());
    errors.push(decode_question(&[]).unwrap_err().to_string());
    insta::assert_snapshot!(errors.join("\n"));
}

/// A corruption of an encoded message.
#[derive(Clone, Debug, TypeGenerator)]
enum Corruption {
    Flip(u16, u8),
    Truncate(u16),
    Insert(u16, u8),
}

fn corrupt(bytes: &mut Vec<u8>, corruption: &Corruption) {
    let length = bytes.len().max(1);
    let place = |at: u16| usize::from(at) % length;
    match *corruption {
        Corruption::Flip(at, mask) => {
            if let Some(byte) = bytes.get_mut(place(at)) {
                *byte ^= mask;
            }
        }
        Corruption::Truncate(at) => bytes.truncate(place(at)),
        Corruption::Insert(at, byte) => bytes.insert(place(at).min(bytes.len()), byte),
    }
}

/// Decodes corrupted messages; each one that is accepted must survive another round trip unchanged.
#[test]
fn corrupted_bytes_are_rejected_or_decoded_consistently() {
    let mut random = StdRng::seed_from_u64(23);
    let members: Vec<_> = member_messages().iter().map(encode_member).collect();
    let questions: Vec<_> = questions().iter().map(encode_question).collect();
    let answers: Vec<_> = answers().iter().map(encode_answer).collect();
    for _ in 0..20_000 {
        let mut entropy = [0; 64];
        random.fill(&mut entropy);
        let mut driver = ByteSliceDriver::new(&entropy, &Options::default());
        let corruptions = Vec::<Corruption>::generate(&mut driver).unwrap_or_default();
        let mut pick_corrupted = |list: &[Vec<u8>]| {
            let mut bytes = list[random.random_range(0..list.len())].clone();
            corruptions
                .iter()
                .for_each(|corruption| corrupt(&mut bytes, corruption));
            bytes
        };
        if let Ok(message) = decode_member(&pick_corrupted(&members)) {
            assert_eq!(decode_member(&encode_member(&message)).unwrap(), message);
        }
        if let Ok(question) = decode_question(&pick_corrupted(&questions)) {
            let again = decode_question(&encode_question(&question));
            assert_eq!(again.unwrap(), question);
        }
        if let Ok(answer) = decode_answer(&pick_corrupted(&answers), MAX_ANSWER_BYTES) {
            let again = decode_answer(&encode_answer(&answer), MAX_ANSWER_BYTES);
            assert_eq!(again.unwrap(), answer);
        }
    }
}
