//! The view of the platform's store: configuration, backend servers and hosts.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use hollywheel_adapter::{StoreCall, StoreRow, StoreTable};
use hollywheel_serving::{HostRecord, RowChange, StoreEra, StorePlace};
use hollywheel_types::{HostId, MonoTime, ServerId};
use hollywheel_wire::serving::HostEntry;

use crate::host::Host;
use crate::log::{log_line, millis};
use crate::store_client::{StoreConnection, StoreFailure};

/// A page of a listing is answered within this time.
const LIST_LIMIT: Duration = Duration::from_millis(1100);
/// A feed of the hosts' own table is answered after this time if nothing has changed. Its changes
/// may be late: a host that has gone is found out by the first call to it.
const HOSTS_WAIT: Duration = Duration::from_secs(6);
/// The store's answers take milliseconds; at 50 times that a call still ends within this.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// Entries of backend servers change many times a second; they are collected for this time, a
/// seventh of the time in which a server that leaves must get nothing new.
const COLLECT_TIME: Duration = Duration::from_millis(300);
/// Hosts that start or stop together, as after a loss of power, are collected for this time.
const HOSTS_COLLECT_TIME: Duration = Duration::from_millis(700);
/// After a listing the first feed waits for this time, in which most hosts of a fleet that starts
/// learn that others read the store.
const FIRST_FEED_PAUSE: Duration = Duration::from_millis(300);
/// The pause after a failed call, and the longest one; both well below the 2 s bound.
const RETRY_TIME: Duration = Duration::from_millis(100);
const MAX_RETRY_TIME: Duration = Duration::from_millis(500);

/// Follows one table.
struct TableFeed {
    host: Host,
    table: StoreTable,
    connection: StoreConnection,
    /// The place up to which changes are known; none asks for a listing.
    cursor: Option<StorePlace>,
    /// The newest place seen; a listing that is older is stale.
    newest: StorePlace,
    lost_at: Option<MonoTime>,
}

/// Follows a table of the store while this host reads it.
pub(crate) async fn follow_table(host: Host, table: StoreTable) {
    let mut feed = TableFeed {
        connection: StoreConnection::new(&host),
        host: host.clone(),
        table,
        cursor: None,
        newest: StorePlace::default(),
        lost_at: None,
    };
    let mut pause = RETRY_TIME;
    loop {
        host.reading.wait_for_reading().await;
        match feed.advance().await {
            Ok(wait) => {
                feed.note_answer();
                pause = RETRY_TIME;
                tokio::time::sleep(wait).await;
            }
            Err(StoreFailure::HistoryLost) => {
                feed.cursor = None;
            }
            Err(failure) => {
                feed.note_failure(&failure);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_TIME);
            }
        }
    }
}

impl TableFeed {
    /// Takes the next changes; returns how long to wait before the next call.
    async fn advance(&mut self) -> Result<Duration, StoreFailure> {
        let Some(after) = self.cursor else {
            return self.list().await;
        };
        let wait = match self.table {
            StoreTable::Operator | StoreTable::Servers => self.host.feed_plan().wait,
            StoreTable::Hosts => HOSTS_WAIT,
        };
        let call = StoreCall::Feed {
            table: self.table,
            after: after.revision,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let answer = self.connection.call(&call, wait + ANSWER_SLACK).await?;
        if answer.place.era > after.era {
            // Revisions were given out again, so that some changes may not be told.
            self.cursor = None;
            return Ok(Duration::ZERO);
        }
        // The answer tells every change up to when it was given.
        let told = self.host.now();
        let changed = !answer.rows.is_empty();
        for row in answer.rows {
            self.apply(row);
        }
        let place = answer.place.max(after);
        self.cursor = Some(place);
        self.newest = self.newest.max(place);
        if self.table == StoreTable::Servers {
            self.host.registry.borrow_mut().note_place(place);
            self.host.view.borrow_mut().confirm(told);
        }
        Ok(match self.table {
            StoreTable::Servers if changed => COLLECT_TIME,
            StoreTable::Hosts if changed => HOSTS_COLLECT_TIME,
            StoreTable::Operator | StoreTable::Servers | StoreTable::Hosts => Duration::ZERO,
        })
    }

    async fn list(&mut self) -> Result<Duration, StoreFailure> {
        let mut rows: Vec<StoreRow> = Vec::new();
        let mut place: Option<StorePlace> = None;
        let asked = self.host.now();
        loop {
            let call = StoreCall::List {
                table: self.table,
                from: rows
                    .last()
                    .map(|row| next_key(&row.key))
                    .unwrap_or_default(),
            };
            let page = self.connection.call(&call, LIST_LIMIT).await?;
            // Changes after the first page may be missing from it; the feed repeats them.
            let first = *place.get_or_insert(page.place);
            if first.era != page.place.era {
                return Err(StoreFailure::Refused {
                    detail: format!("the era changed from {} during the listing", first.era),
                });
            }
            let ends = !page.has_more || page.rows.is_empty();
            rows.extend(page.rows);
            if ends {
                break;
            }
        }
        let place = place.unwrap_or_default();
        if place < self.newest {
            return Err(StoreFailure::Refused {
                detail: format!("the listing is stale: {place} before {}", self.newest),
            });
        }
        self.apply_listing(place, rows);
        self.newest = place;
        self.cursor = Some(place);
        if self.table == StoreTable::Servers {
            self.host.view.borrow_mut().confirm(asked);
        }
        Ok(FIRST_FEED_PAUSE)
    }

    fn apply_listing(&self, place: StorePlace, rows: Vec<StoreRow>) {
        if self.table == StoreTable::Hosts {
            let listed = rows.iter().filter_map(|row| row.key.parse().ok());
            let listed: Vec<HostId> = listed.collect();
            for row in rows {
                self.apply_host(&row);
            }
            self.host.list_hosts(place, &listed);
            return;
        }
        if self.table == StoreTable::Servers {
            let changes = rows.into_iter().filter_map(|row| self.read_server(row));
            let changes: Vec<RowChange> = changes.collect();
            self.host.list_servers(place, changes, "store");
            return;
        }
        for row in rows {
            self.apply(row);
        }
    }

    fn apply(&self, row: StoreRow) {
        match self.table {
            StoreTable::Operator => self.apply_config(row),
            StoreTable::Servers => {
                if let Some(change) = self.read_server(row) {
                    self.host.apply_server(change, "store");
                }
            }
            StoreTable::Hosts => self.apply_host(&row),
        }
    }

    fn apply_config(&self, row: StoreRow) {
        if let Some(document) = row.value.as_ref().filter(|_| row.is_config()) {
            self.host.install(&Bytes::from(document.clone()), "store");
        }
    }

    /// Reads the row of a server; an entry that can't be read names none.
    fn read_server(&self, row: StoreRow) -> Option<RowChange> {
        let server: ServerId = row.key.parse().ok()?;
        let record = row.value.and_then(|value| {
            let read = hollywheel_adapter::decode_server_entry(&value);
            read.map_err(|error| {
                log_line!(
                    self.host,
                    warn,
                    EntryUnreadable,
                    server = %server,
                    place = %row.place,
                    detail = %error
                );
            })
            .ok()
        });
        Some(RowChange {
            server,
            place: row.place,
            record,
        })
    }

    fn apply_host(&self, row: &StoreRow) {
        match row.value.as_deref().map(HostEntry::decode) {
            Some(Ok(entry)) => {
                if let Some(record) = read_host(&entry) {
                    self.host.upsert_host(record, row.place, "store");
                }
            }
            Some(Err(_)) => {}
            None => {
                if let Ok(name) = row.key.parse() {
                    self.host.remove_host(&name, row.place, "store");
                }
            }
        }
    }

    fn note_failure(&mut self, failure: &StoreFailure) {
        if self.table != StoreTable::Hosts {
            self.host.view.borrow_mut().set_lost(true);
            self.host.changed.notify_waiters();
        }
        if self.lost_at.is_some() {
            return;
        }
        let now = self.host.now();
        self.lost_at = Some(now);
        let age = self.host.view.borrow().age(now);
        log_line!(
            self.host,
            warn,
            DependencyLost,
            dependency = self.table.name(),
            detail = failure.detail(),
            age_ms = age.map(millis)
        );
    }

    fn note_answer(&mut self) {
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        let now = self.host.now();
        if self.table == StoreTable::Servers {
            self.host.registry.borrow_mut().note_store_return(now);
        }
        log_line!(
            self.host,
            info,
            DependencyRegained,
            dependency = self.table.name(),
            away_ms = millis(now.since(lost_at))
        );
    }
}

/// Returns the first key after a key.
fn next_key(key: &str) -> String {
    format!("{key}\0")
}

/// Reads the entry of a host.
pub(crate) fn read_host(entry: &HostEntry) -> Option<HostRecord> {
    Some(HostRecord {
        name: entry.host.parse().ok()?,
        address: entry.address.parse().ok()?,
        domain: entry.domain.parse().ok()?,
        incarnation: entry.incarnation,
        weight: entry.weight,
    })
}

/// Reads where the row of a host stands in the store's history.
pub(crate) const fn read_host_place(entry: &HostEntry) -> StorePlace {
    StorePlace {
        era: StoreEra(entry.era),
        revision: entry.revision,
    }
}

/// Writes the entry of a host.
pub(crate) fn write_host(record: &HostRecord) -> HostEntry {
    HostEntry {
        host: record.name.to_string(),
        address: record.address.to_string(),
        domain: record.domain.to_string(),
        incarnation: record.incarnation,
        weight: record.weight,
        ..HostEntry::default()
    }
}
