//! Host membership and news distribution.

mod machine;
mod message;

pub use machine::MemberMachine;
pub use message::{
    ListedHost, MemberInput, MemberMessage, MemberNews, MemberOutput, MemberRecord, MemberSettings,
    MemberState,
};
