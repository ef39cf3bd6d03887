//! At-most-once execution of non-idempotent requests.

mod message;

pub use message::{ClaimAnswer, ClaimKey, ClaimQuestion, StoredAnswer};
