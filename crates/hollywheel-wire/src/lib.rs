//! Messages between hosts: the generated Protobuf types, and their conversion to and from domain
//! types with size limits.

mod claim;
mod error;
mod fields;
mod forward;
mod member;
mod question;

/// The Protobuf types generated from `proto/wire.proto`; a test compares them with the generator's
/// output.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
mod generated {
    include!("generated/hollywheel.wire.v1.rs");
}

pub use error::WireError;
pub use forward::{ForwardAnswer, ForwardedRequest};
pub use member::{MAX_MEMBER_BYTES, decode_member, encode_member};
/// The generated types of the messages between hosts on the users' platform.
pub mod serving {
    pub use crate::generated::{
        CauseKind, ColdEntry, ConfigPart, ConfigPartRequest, EvacuationEntry, EvacuationList,
        EvidenceEntry, EvidenceNews, FollowReply, FollowRequest, FreeResults, HostEntry,
        LimitEntry, LimitNews, PermitReply, PermitRequest, PieceAnswer, PieceEnd, PieceOrder,
        ServerEntry, StorePlace,
    };
}

pub use question::{
    HostAnswer, HostQuestion, MAX_FORWARD_BYTES, MAX_QUESTION_BYTES, decode_answer,
    decode_question, encode_answer, encode_question,
};
