//! The catalogue of log events of a host on the platform.

use std::fmt::Write as _;

/// Describes one event of the catalogue.
struct EventEntry {
    event: GatewayEvent,
    code: &'static str,
    title: &'static str,
    fields: &'static str,
}

macro_rules! gateway_events {
    ($($name:ident, $code:literal, $title:literal, $fields:literal;)*) => {
        /// Names the events of the log. The number of an event never changes its meaning.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum GatewayEvent {
            $(#[doc = $title] $name,)*
        }

        const CATALOGUE: &[EventEntry] = &[
            $(EventEntry {
                event: GatewayEvent::$name,
                code: $code,
                title: $title,
                fields: $fields,
            },)*
        ];
    };
}

gateway_events! {
    HostStarted, "HW7001", "The host has started.", "host, domain, incarnation, callers, peers";
    StopBegan, "HW7002", "The graceful stop has begun.", "grace_ms, requests";
    StopEnded, "HW7003", "The graceful stop has ended.", "requests, callers, took_ms";
    SettingsReloaded, "HW7004", "The settings file was read again.", "outcome, detail";
    TaskFailed, "HW7005", "A part of the process failed; it is started again.", "part, detail";
    ReadyChanged, "HW7006", "The host's answer to the readiness question has changed.", "ready, reason";
    DependencyLost, "HW7101", "A dependency does not answer.", "dependency, detail, age_ms";
    DependencyRecovered, "HW7102", "A dependency answers again.", "dependency, away_ms";
    ConfigInForce, "HW7103", "A configuration version is in force.", "version, before, source, pipelines, pools";
    ConfigInvalid, "HW7104", "A configuration could not be read; the one before stays in force.", "source, detail";
    ServerChanged, "HW7105", "What is known of a backend server has changed.", "server, place, state, pool, source";
    EntryInvalid, "HW7106", "An entry does not describe a backend server and is not used.", "server, place, detail";
    HostJoined, "HW7107", "Another host is known.", "host, incarnation, source";
    HostLeft, "HW7108", "Another host has left.", "host, source";
    HostUnreachable, "HW7109", "Another host did not answer and is passed over for a while.", "host, duty, detail";
    ServerEjected, "HW7110", "A backend server failed too often and is passed over for a while.", "server, failures";
    ReaderRoleChanged, "HW7111", "The host begins or ends to read the store itself.", "reads, reason, age_ms";
    AcceptFailed, "HW7112", "A connection could not be accepted.", "detail";
    ServerLeaving, "HW7113", "A backend server says in an answer that it leaves; it gets nothing new from this host.", "server";
    ServerPaused, "HW7114", "A backend server wants no requests of this host for a time.", "server, pause_ms";
    StoreEraChanged, "HW7115", "The store has come back from an older copy; its rows are listed again and the host's own row is written again.", "era, before, source, age_ms";
    HostLeaving, "HW7116", "Another host stops; it gets no duty of this host any more.", "host";
    RequestEnded, "HW7201", "A request has ended.", "request, pipeline, workspace, config, outcome, verdict, status, reason, attempts, server, server_load, took_ms, stages_ms, first_ms, remaining_ms";
    AttemptEnded, "HW7202", "An attempt at a backend server has ended without a complete answer.", "request, server, attempt, verdict, reason, took_ms, in_flight";
    StageEnded, "HW7203", "A stage has ended without its results.", "request, pool, stage, reason, took_ms, retry_after_ms";
    CallEnded, "HW7204", "A call for pieces has ended without results for all of them.", "pool, server, pieces, outcome, took_ms, timeout_ms";
    PiecesRefused, "HW7205", "The host that collects a pool's pieces has refused those of a stage.", "request, pool, stage, pieces, workspace_rank, pipeline_rank, returned, waiting, running, late_ms, remaining_ms, retry_after_ms";
    DuplicateEvents, "HW7206", "A backend server that continues a stream has sent events again that the caller has; they were left out.", "request, server, events, after";
    DuplicateAnswer, "HW7207", "A backend server sent the results of an earlier call again; they were dropped with their connection.", "server, results";
    LinesSuppressed, "HW7901", "Log lines were left out to bound their number.", "count, event";
}

impl GatewayEvent {
    fn entry(self) -> &'static EventEntry {
        CATALOGUE
            .iter()
            .find(|entry| entry.event == self)
            .unwrap_or(&CATALOGUE[0])
    }

    /// Returns the number, such as `HW7001`.
    pub fn code(self) -> &'static str {
        self.entry().code
    }

    /// Returns what the event means.
    pub fn title(self) -> &'static str {
        self.entry().title
    }
}

/// Writes the catalogue as the table in `docs/EVENTS.md`.
pub fn events_table() -> String {
    let mut text = String::from("| event | meaning | fields |\n| --- | --- | --- |\n");
    for entry in CATALOGUE {
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} |",
            entry.code, entry.title, entry.fields
        );
    }
    text
}
