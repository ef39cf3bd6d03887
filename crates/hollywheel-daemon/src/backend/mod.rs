//! Client for backend servers, and their load reports.

mod answer;
mod caller;
mod load;
mod order;
mod reports;
mod send_body;
mod stream;
mod unary;
mod wire;

pub use caller::{BackendCaller, BackendSettings};
pub use load::{CollectorSettings, LoadCollector};
pub use reports::LoadReportTracker;
