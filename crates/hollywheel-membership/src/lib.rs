//! Host membership by a SWIM-style failure detector, and gossip of updates between hosts.

mod entry;
mod gossip;
mod leaving;
mod machine;
mod message;
mod probe;
mod probing;
mod receive;
mod schedule;
mod sync;
mod table;
mod updates;

pub use machine::MemberMachine;
pub use message::{
    ListedHost, MemberInput, MemberMessage, MemberOutput, MemberRecord, MemberSettings,
    MemberState, MemberUpdate,
};
