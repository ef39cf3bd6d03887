//! Check, publication, rollback and history of configurations.

use hollywheel_admin::{
    CheckRequest, ConfigDocument, HistoryEntry, HistoryList, PublishReply, PublishRequest,
    RollbackRequest,
};
use hollywheel_config::{
    ChangeSummary, CheckReport, PublishCommand, PublishReceipt, PublishedSet, RollbackCommand,
    check_set,
};
use hollywheel_types::ConfigVersion;

use super::error::AdminError;
use super::state::AdminState;

/// Maximum number of history entries in one reply.
const MAX_HISTORY: u32 = 100;

impl AdminState {
    /// Checks a set without publishing it. The objects may be in any order.
    pub(super) fn check_config(request: CheckRequest) -> CheckReport {
        let mut set = request.set;
        set.sort();
        check_set(&set)
    }

    pub(super) async fn publish(
        &self,
        request: PublishRequest,
    ) -> Result<PublishReply, AdminError> {
        let mut set = request.set;
        set.sort();
        let order = PublishCommand {
            publish_id: request.publish_id,
            base: request.base,
            operator: request.operator,
            set,
            published_at: self.clock.wall(),
        };
        let receipt = self.install.publish(order).await;
        receipt.map(publish_reply).map_err(AdminError::Install)
    }

    pub(super) async fn roll_back(
        &self,
        request: RollbackRequest,
    ) -> Result<PublishReply, AdminError> {
        let order = RollbackCommand {
            publish_id: request.publish_id,
            base: request.base,
            to: request.to,
            operator: request.operator,
            published_at: self.clock.wall(),
        };
        let receipt = self.install.roll_back(order).await;
        receipt.map(publish_reply).map_err(AdminError::Install)
    }

    /// Returns the given version or, without one, the version in force. Before the first version is
    /// installed this is version 0 without objects.
    pub(super) async fn config_document(
        &self,
        version: Option<u64>,
    ) -> Result<ConfigDocument, AdminError> {
        let published = match version {
            Some(version) => {
                let read = self.install.version(ConfigVersion(version)).await;
                read.map_err(AdminError::Install)?.as_ref().clone()
            }
            None => self
                .config
                .get()
                .map_or_else(PublishedSet::default, |published| {
                    published.as_ref().clone()
                }),
        };
        Ok(ConfigDocument { published })
    }

    pub(super) async fn history(&self, limit: Option<u32>) -> Result<HistoryList, AdminError> {
        let limit = limit.unwrap_or(20).min(MAX_HISTORY);
        let entries = self.install.history(limit).await;
        let entries = entries.map_err(AdminError::Install)?;
        Ok(HistoryList {
            entries: entries.into_iter().map(history_entry).collect(),
        })
    }
}

const fn publish_reply(receipt: PublishReceipt) -> PublishReply {
    PublishReply {
        version: receipt.version,
        changed: receipt.changed,
    }
}

fn history_entry(summary: ChangeSummary) -> HistoryEntry {
    HistoryEntry {
        version: summary.version,
        operator: summary.operator,
        published_at: summary.published_at,
        changes: summary.changes,
    }
}
