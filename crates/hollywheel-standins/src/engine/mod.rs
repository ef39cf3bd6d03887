//! Stand-in for a model engine.

mod batch;
mod cache;
mod order;
mod server;
mod settings;
mod stream;

pub use server::start_engine;
pub use settings::EngineSettings;
