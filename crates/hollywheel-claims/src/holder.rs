//! Who may send under a key.

use std::time::Duration;

use hollywheel_types::{
    ExecutionVerdict, HostId, IdempotencyKey, Incarnation, MonoTime, WorkspaceId,
};

use crate::entry::{ClaimDenial, ClaimHolder, ClaimOrder};
use crate::issued::IssuedTable;
use crate::issued_key::IssuedKey;
use crate::output::ClaimOutput;
use crate::table::ClaimTable;
use crate::wait::denied;

/// Says who may send under a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyHolder {
    /// Whoever writes the row of the key.
    Row,
    /// This process, which issued it.
    This,
    /// Another process taken for alive, which issued it.
    Other {
        /// The host.
        host: HostId,
        /// The start of its process.
        incarnation: Incarnation,
    },
    /// A process that issued it and is not taken for alive.
    Gone,
}

impl ClaimTable {
    /// Issues a key to a workspace; the number must be one that nobody else has.
    ///
    /// # Errors
    ///
    /// Returns when to ask again if too many keys are remembered.
    pub fn issue(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceId,
        random: u128,
    ) -> Result<IdempotencyKey, Duration> {
        self.issued.issue(now, &self.settings, workspace, random)
    }

    /// Returns the time in which an issued key must be used.
    pub const fn issued_ttl(&self) -> Duration {
        self.settings.issued_ttl
    }

    /// Returns the keys that this process issued, for showing their number.
    pub const fn issued(&self) -> &IssuedTable {
        &self.issued
    }

    /// Says who may send under a key.
    pub fn holder_of(&self, key: &IdempotencyKey) -> KeyHolder {
        IssuedKey::read(key).map_or(KeyHolder::Row, |issued| self.issuer(&issued))
    }

    fn issuer(&self, key: &IssuedKey) -> KeyHolder {
        let holder = ClaimHolder {
            host: key.host.clone(),
            incarnation: key.incarnation,
        };
        if self.is_self(&holder) {
            return KeyHolder::This;
        }
        if holder.host == self.settings.host || !self.peers.contains(&holder) {
            return KeyHolder::Gone;
        }
        KeyHolder::Other {
            host: holder.host,
            incarnation: holder.incarnation,
        }
    }

    /// Decides about a request whose key was issued; only its issuer ever grants it.
    pub(crate) fn claim_issued(
        &mut self,
        now: MonoTime,
        key: &IssuedKey,
        order: ClaimOrder,
    ) -> Option<ClaimOutput> {
        if self.issuer(key) == KeyHolder::This {
            return self.issued.claim(now, key.second, order);
        }
        let denial = ClaimDenial::Taken(ExecutionVerdict::MayHaveRun);
        Some(denied(order.request, denial))
    }
}
