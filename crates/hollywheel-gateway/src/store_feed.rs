//! Change feeds of the platform's store: configuration, backend servers and hosts.

use std::time::Duration;

use prost::Message;
use tokio::time::timeout;

use hollywheel_adapter::{StoreCall, StoreRow, StoreTable};
use hollywheel_serving::{HostRecord, RowChange, ServerListing, StoreEra, StorePlace, ViewPart};
use hollywheel_types::{HostId, MonoTime, ServerId};
use hollywheel_wire::serving::HostEntry;

use crate::follow::is_selected_reader;
use crate::host::Host;
use crate::log::{log_line, millis};
use crate::store_client::{StoreConnection, StoreFailure};

/// Time-out of a call that reads one page of a listing.
const LIST_TIMEOUT: Duration = Duration::from_millis(1100);
/// Long-poll wait on the table of hosts. Its changes are not urgent: the first call to a host
/// that has gone detects it.
const HOSTS_WAIT: Duration = Duration::from_secs(6);
/// Time past the long-poll wait within which the store must answer. It usually answers within
/// milliseconds; this allows for answers 50 times as slow.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// Time for which changes of backend servers, many per second, are coalesced: a seventh of the
/// time after which a draining server must get no new requests.
const COALESCE_TIME: Duration = Duration::from_millis(300);
/// Time for which changes of hosts are coalesced; many hosts start or stop at once, for example
/// after a power failure.
const HOSTS_COALESCE_TIME: Duration = Duration::from_millis(700);
/// Pause between a listing and the first feed call. When a whole fleet starts, most hosts learn
/// within it that others read the store.
const FIRST_FEED_PAUSE: Duration = Duration::from_millis(300);
/// First and longest pause after a failed call, both well below the 2 s bound on the propagation
/// of changes.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time within which the selected readers have listed a table after the store has returned: the
/// longest pause between their calls, and a slow call.
const READERS_TIME: Duration = Duration::from_millis(700);

/// A row of the table of servers.
enum ServerRow {
    /// The server wrote the row, or it was removed.
    Own(RowChange),
    /// Another writer wrote the row; it says nothing about the server.
    Foreign(ServerId),
}

/// Client of the change feed of one table.
struct TableFeed {
    host: Host,
    table: StoreTable,
    connection: StoreConnection,
    /// Place up to which changes are known; `None` requests a listing.
    cursor: Option<StorePlace>,
    /// Newest place seen; an older listing is stale.
    newest: StorePlace,
    /// When the store stopped answering, during an outage.
    lost_at: Option<MonoTime>,
}

/// Follows a table of the store whenever this host is a reader.
pub(crate) async fn follow_table(host: Host, table: StoreTable) {
    let mut feed = TableFeed {
        connection: StoreConnection::new(&host),
        host: host.clone(),
        table,
        cursor: None,
        newest: StorePlace::default(),
        lost_at: None,
    };
    let mut pause = RETRY_PAUSE;
    loop {
        host.reader_role.wait_for_reading().await;
        match feed.advance().await {
            Ok(wait) => {
                feed.record_recovery();
                pause = RETRY_PAUSE;
                tokio::time::sleep(wait).await;
            }
            Err(StoreFailure::HistoryLost) => {
                feed.cursor = None;
            }
            Err(failure) => {
                feed.record_outage(&failure);
                feed.wait_to_retry(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

impl TableFeed {
    /// Reads and applies the next changes; returns how long to wait before the next call.
    async fn advance(&mut self) -> Result<Duration, StoreFailure> {
        let Some(after) = self.cursor else {
            return match self.leave_to_readers().await {
                true => Ok(Duration::ZERO),
                false => self.list_table().await,
            };
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
            // The store assigns revisions of the earlier era again, so the feed may have skipped
            // changes.
            self.cursor = None;
            return Ok(Duration::ZERO);
        }
        // The answer contains every change up to the time when the store gave it.
        let answered_at = self.host.now();
        let changed = !answer.rows.is_empty();
        for row in answer.rows {
            self.apply(row);
        }
        let place = answer.place.max(after);
        self.cursor = Some(place);
        self.newest = self.newest.max(place);
        match self.table {
            StoreTable::Operator => self.host.evacuations.borrow_mut().note_place(place),
            StoreTable::Servers => self.host.registry.borrow_mut().note_place(place),
            StoreTable::Hosts => {}
        }
        self.confirm_view(answered_at);
        Ok(match self.table {
            StoreTable::Servers if changed => COALESCE_TIME,
            StoreTable::Hosts if changed => HOSTS_COALESCE_TIME,
            StoreTable::Operator | StoreTable::Servers | StoreTable::Hosts => Duration::ZERO,
        })
    }

    /// Waits after a failed call. A host that only stands in for the selected readers waits until they
    /// had the time to find the store again.
    async fn wait_to_retry(&self, pause: Duration) {
        if is_selected_reader(&self.host) {
            tokio::time::sleep(pause).await;
        } else {
            let followed = self.host.reader_role.wait_for_following();
            // Whether it ended in time shows in the role, which the caller waits for.
            let _ = timeout(READERS_TIME, followed).await;
        }
    }

    /// After a restore of the store, gives the selected readers the time to list the table first if
    /// this host only stands in for them; returns whether it no longer does. Otherwise every host
    /// that lost its source in the outage would list all tables.
    async fn leave_to_readers(&self) -> bool {
        let is_restored = self.host.store_era() > Some(self.newest.era);
        let is_first = self.newest == StorePlace::default();
        if !is_restored || is_first || is_selected_reader(&self.host) {
            return false;
        }
        let followed = self.host.reader_role.wait_for_following();
        timeout(READERS_TIME, followed).await.is_ok()
    }

    /// Records that the table is known as of a time.
    fn confirm_view(&self, at: MonoTime) {
        if let Some(part) = view_part(self.table) {
            self.host.view.borrow_mut().confirm(part, at);
        }
    }

    /// Reads and applies the whole table; returns how long to wait before the next call.
    async fn list_table(&mut self) -> Result<Duration, StoreFailure> {
        let mut rows: Vec<StoreRow> = Vec::new();
        let mut place: Option<StorePlace> = None;
        let asked_at = self.host.now();
        loop {
            let call = StoreCall::List {
                table: self.table,
                from: rows
                    .last()
                    .map(|row| next_key(&row.key))
                    .unwrap_or_default(),
            };
            let page = self.connection.call(&call, LIST_TIMEOUT).await?;
            // The feed continues from the place of the first page, so that it also delivers
            // changes made while the later pages were read.
            let first = *place.get_or_insert(page.place);
            if first.era != page.place.era {
                return Err(StoreFailure::Refused {
                    detail: format!(
                        "the store era changed from {} during the listing",
                        first.era
                    ),
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
                detail: format!(
                    "the listing is stale: its place {place} is before {}",
                    self.newest
                ),
            });
        }
        self.apply_listing(place, rows);
        self.newest = place;
        self.cursor = Some(place);
        self.confirm_view(asked_at);
        Ok(FIRST_FEED_PAUSE)
    }

    /// Applies a complete listing. Known servers and hosts that are missing from it are removed
    /// unless their rows are newer or were lost with a restore of the store.
    fn apply_listing(&self, place: StorePlace, rows: Vec<StoreRow>) {
        if self.table == StoreTable::Hosts {
            let listed = rows.iter().filter_map(|row| row.key.parse().ok());
            let listed: Vec<HostId> = listed.collect();
            for row in rows {
                self.apply_host(&row);
            }
            self.host.apply_host_listing(place, &listed);
            return;
        }
        if self.table == StoreTable::Servers {
            let mut listing = ServerListing::new(place, Vec::new());
            for row in rows {
                match self.read_server_row(row) {
                    Some(ServerRow::Own(change)) => listing.rows.push(change),
                    Some(ServerRow::Foreign(server)) => listing.foreign.push(server),
                    None => {}
                }
            }
            self.host.apply_server_listing(listing, "store");
            return;
        }
        self.host.apply_operator_listing(place, &rows);
        for row in rows {
            self.apply_config(row);
        }
    }

    /// Applies one changed row.
    fn apply(&self, row: StoreRow) {
        match self.table {
            StoreTable::Operator => {
                self.host.apply_evacuation(&row, "store");
                self.apply_config(row);
            }
            StoreTable::Servers => {
                if let Some(ServerRow::Own(change)) = self.read_server_row(row) {
                    self.host.apply_server(change, "store");
                }
            }
            StoreTable::Hosts => self.apply_host(&row),
        }
    }

    fn apply_config(&self, row: StoreRow) {
        if let Some(document) = row.value.as_ref().filter(|_| row.is_config()) {
            self.host.install(document, "store");
        }
    }

    /// Reads the row of a server; none if its key is no name of a server. An invalid entry is
    /// logged.
    fn read_server_row(&self, row: StoreRow) -> Option<ServerRow> {
        let server: ServerId = row.key.parse().ok()?;
        let read = row
            .value
            .map(|value| hollywheel_adapter::decode_server_entry(&value));
        match read.transpose() {
            Ok(record) => Some(ServerRow::Own(RowChange {
                server,
                place: row.place,
                record,
            })),
            Err(error) => {
                log_line!(
                    self.host,
                    warn,
                    EntryInvalid,
                    server = %server,
                    place = %row.place,
                    detail = %error
                );
                Some(ServerRow::Foreign(server))
            }
        }
    }

    fn apply_host(&self, row: &StoreRow) {
        match row.value.as_deref().map(HostEntry::decode) {
            Some(Ok(entry)) => {
                if let Some(record) = decode_host(&entry) {
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

    /// Records a failed call, and logs the first one of an outage.
    fn record_outage(&mut self, failure: &StoreFailure) {
        if let Some(part) = view_part(self.table) {
            self.host.view.borrow_mut().set_lost(part);
            self.host.view_changed.notify_waiters();
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

    /// Records an answer, and logs the end of an outage.
    fn record_recovery(&mut self) {
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
            DependencyRecovered,
            dependency = self.table.name(),
            away_ms = millis(now.since(lost_at))
        );
    }
}

/// Returns the part of the view that a table holds. Hosts are not part of it: a host that has gone is
/// detected by the first call to it.
const fn view_part(table: StoreTable) -> Option<ViewPart> {
    match table {
        StoreTable::Operator => Some(ViewPart::Config),
        StoreTable::Servers => Some(ViewPart::Servers),
        StoreTable::Hosts => None,
    }
}

/// Returns the key that sorts directly after a key.
fn next_key(key: &str) -> String {
    format!("{key}\0")
}

/// Decodes the entry of a host.
pub(crate) fn decode_host(entry: &HostEntry) -> Option<HostRecord> {
    Some(HostRecord {
        name: entry.host.parse().ok()?,
        address: entry.address.parse().ok()?,
        domain: entry.domain.parse().ok()?,
        incarnation: entry.incarnation,
        weight: entry.weight,
    })
}

/// Returns the place of a host's row in the store's history.
pub(crate) const fn host_place(entry: &HostEntry) -> StorePlace {
    StorePlace {
        era: StoreEra(entry.era),
        revision: entry.revision,
    }
}

/// Encodes the entry of a host.
pub(crate) fn encode_host(record: &HostRecord) -> HostEntry {
    HostEntry {
        host: record.name.to_string(),
        address: record.address.to_string(),
        domain: record.domain.to_string(),
        incarnation: record.incarnation,
        weight: record.weight,
        ..HostEntry::default()
    }
}
