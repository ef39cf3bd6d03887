//! Check, publication, rollback and history.

use hollywheel_admin::{
    CheckRequest, ConfigDocument, HistoryEntry, HistoryList, PublishReply, PublishRequest,
    RollbackRequest,
};
use hollywheel_config::{
    ChangeSummary, CheckReport, PublishCommand, PublishReceipt, PublishedSet, RollbackCommand,
    check_set,
};
use hollywheel_types::ConfigVersion;

use super::fault::AdminFault;
use super::state::AdminState;

/// Bounds the entries of one read of the history.
const MAX_HISTORY: u32 = 100;

impl AdminState {
    /// Checks a set. Objects may come in any order.
    pub(super) fn check_config(request: CheckRequest) -> CheckReport {
        let mut set = request.set;
        set.sort();
        check_set(&set)
    }

    pub(super) async fn publish(
        &self,
        request: PublishRequest,
    ) -> Result<PublishReply, AdminFault> {
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
        receipt.map(publish_reply).map_err(AdminFault::Install)
    }

    pub(super) async fn roll_back(
        &self,
        request: RollbackRequest,
    ) -> Result<PublishReply, AdminFault> {
        let order = RollbackCommand {
            publish_id: request.publish_id,
            base: request.base,
            to: request.to,
            operator: request.operator,
            published_at: self.clock.wall(),
        };
        let receipt = self.install.roll_back(order).await;
        receipt.map(publish_reply).map_err(AdminFault::Install)
    }

    /// Returns the version in force, version 0 without objects if there is none yet, or an
    /// older version.
    pub(super) async fn config_document(
        &self,
        version: Option<u64>,
    ) -> Result<ConfigDocument, AdminFault> {
        let published = match version {
            Some(version) => {
                let read = self.install.version(ConfigVersion(version)).await;
                read.map_err(AdminFault::Install)?.as_ref().clone()
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

    pub(super) async fn history(&self, limit: Option<u32>) -> Result<HistoryList, AdminFault> {
        let limit = limit.unwrap_or(20).min(MAX_HISTORY);
        let entries = self.install.history(limit).await;
        let entries = entries.map_err(AdminFault::Install)?;
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
