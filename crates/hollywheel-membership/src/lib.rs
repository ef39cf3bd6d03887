//! Host membership and news distribution.

mod entry;
mod hear;
mod leaving;
mod machine;
mod message;
mod news;
mod probe;
mod probing;
mod receive;
mod schedule;
mod sync;
mod table;

pub use machine::MemberMachine;
pub use message::{
    ListedHost, MemberInput, MemberMessage, MemberOutput, MemberRecord, MemberSettings,
    MemberState, MemberUpdate,
};
