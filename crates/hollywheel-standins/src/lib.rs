//! Stand-ins for backend servers and for the platform, for tests and experiments.
//!
//! Each stand-in implements the protocol of `docs/PLATFORM.md` on one address, records executed
//! calls in a ledger and injects faults on demand. Tests start them in their own process.

mod attempt;
mod backend;
mod digest;
mod engine;
mod fault;
mod handle;
mod ledger;
mod limit;
mod load;
mod message;
mod platform;
mod pool;
mod random;
mod reply;
mod runner;
mod serve;
mod service;
mod table;

pub use digest::{output_digest, token_text, unary_output};
pub use engine::{EngineSettings, start_engine};
pub use fault::FaultOrder;
pub use handle::StandinHandle;
pub use ledger::{LEDGER_ENTRIES, LedgerEntry, LedgerEvent};
pub use load::LoadReport;
pub use message::{HostEntry, HostList};
pub use platform::{PlatformSettings, start_platform};
pub use pool::{PoolSettings, PoolWork, start_pool};
pub use service::{ServiceSettings, start_service};
