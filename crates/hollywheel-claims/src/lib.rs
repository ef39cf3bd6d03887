//! At-most-once execution of non-idempotent requests.
//!
//! A request runs only under a claim row that its host wrote before it sent anything; the
//! [`ClaimTable`] decides when that is so and what callers who ask again are told.

mod entry;
mod holder;
mod issued;
mod issued_key;
mod message;
mod outage;
mod outcome;
mod output;
mod peer;
mod row;
mod settings;
mod table;
mod wait;
mod write;

pub use entry::{ClaimDenial, ClaimRequest};
pub use holder::KeyAuthority;
pub use issued::IssuedTable;
pub use issued_key::IssuedKey;
pub use message::{ClaimAnswer, ClaimKey, ClaimQuestion, StoredAnswer};
pub use output::{ClaimOutput, ClaimTicket};
pub use row::{
    ClaimRow, ClaimState, ResolveError, list_request, parse_claim_key, read_request,
    resolve_request,
};
pub use settings::ClaimSettings;
pub use table::ClaimTable;
