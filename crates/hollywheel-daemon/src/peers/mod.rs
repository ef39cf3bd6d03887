//! Membership of hosts and communication between them.

mod caller;
mod directory;
mod forward;
mod handle;
mod host_list;
mod requests;
mod task;

pub use caller::PeerCaller;
pub use directory::HostDirectory;
pub use handle::{MemberHandle, member_channel};
pub use host_list::HostListReader;
pub use requests::PeerRequestDispatcher;
pub use task::{MemberEffects, MemberTask};
