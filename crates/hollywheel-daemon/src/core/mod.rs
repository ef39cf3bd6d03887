//! Task that owns the decision machine of the host, and the handle to it.

mod effects;
mod handle;
mod observer;
mod replies;
mod status;
mod task;

pub use effects::CoreEffects;
pub use handle::{
    CoreHandle, CoreMessage, CoreUnavailable, KeyResult, PeerClaimQuestion, ReplySink,
};
pub use observer::CoreObserver;
pub use status::CoreStatus;
pub use task::{CoreTask, core_channel};
