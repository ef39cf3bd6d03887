//! At-most-once execution of non-idempotent requests.
//!
//! A request may only be sent to a backend server under a claim of its idempotency key. For a
//! key chosen by the caller, the claim is a row that the host writes to the table service first;
//! for a key issued by a host, it is an entry in the memory of that process. The [`ClaimTable`]
//! grants claims and decides what callers that retry with the same key are told.

mod entry;
mod issued;
mod issued_key;
mod key_authority;
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
pub use issued::IssuedKeyTable;
pub use issued_key::IssuedKey;
pub use key_authority::KeyAuthority;
pub use message::{ClaimAnswer, ClaimKey, ClaimQuestion, StoredAnswer};
pub use output::{ClaimOutput, ClaimTicket};
pub use row::{
    ClaimRow, ClaimState, ResolveError, list_request, parse_claim_key, read_request,
    resolve_request,
};
pub use settings::ClaimSettings;
pub use table::ClaimTable;
