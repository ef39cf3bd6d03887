//! Host membership and news distribution.

mod message;

pub use message::{
    ListedHost, MemberInput, MemberMessage, MemberNews, MemberOutput, MemberRecord, MemberSettings,
    MemberState,
};
