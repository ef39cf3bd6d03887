//! Catalogue of the log events of the gateway process.

use std::fmt::Write as _;

/// An event of the catalogue: its code, meaning and comma-separated field names.
struct EventEntry {
    event: GatewayEvent,
    code: &'static str,
    title: &'static str,
    fields: &'static str,
}

macro_rules! gateway_events {
    ($($name:ident, $code:literal, $title:literal, $fields:literal;)*) => {
        /// Log event of the gateway. A code is never reused for another meaning.
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
    HostStarted, "HW7001", "The host has started.", "host, domain, incarnation, commit, callers, peers";
    StopBegan, "HW7002", "The graceful stop has begun.", "grace_ms, requests";
    StopEnded, "HW7003", "The graceful stop has ended.", "requests, callers, took_ms";
    SettingsReloaded, "HW7004", "The settings file was reloaded.", "outcome, detail";
    TaskFailed, "HW7005", "A task of the process failed and is restarted.", "part, detail";
    ReadyChanged, "HW7006", "The readiness of the host has changed.", "ready, reason";
    WorkPanicked, "HW7007", "Work has panicked; the panic was contained.", "task, request, place, detail";
    DependencyLost, "HW7101", "A dependency does not answer.", "dependency, detail, age_ms";
    DependencyRecovered, "HW7102", "A dependency answers again.", "dependency, away_ms";
    ConfigInForce, "HW7103", "A configuration version has become active.", "version, before, source, pipelines, pools, bytes";
    ConfigInvalid, "HW7104", "A configuration is invalid; the previous one stays active.", "source, detail";
    ServerChanged, "HW7105", "The state of a backend server has changed.", "server, place, state, pool, source";
    EntryInvalid, "HW7106", "The store entry of a backend server is invalid and is ignored.", "server, place, detail";
    HostJoined, "HW7107", "Another host was discovered.", "host, incarnation, source";
    HostLeft, "HW7108", "Another host has left.", "host, source";
    HostUnreachable, "HW7109", "Another host did not answer and is not selected for a while.", "host, duty, detail";
    ServerEjected, "HW7110", "A backend server failed too often and is ejected for a while.", "server, failures";
    ReaderRoleChanged, "HW7111", "The host starts or stops reading the store itself.", "reads, reason, age_ms";
    AcceptFailed, "HW7112", "A connection could not be accepted.", "detail";
    ServerLeaving, "HW7113", "A backend server announced its shutdown in an answer; this host sends it no new requests.", "server";
    ServerPaused, "HW7114", "A backend server asked for a pause; this host sends it no requests for that time.", "server, pause_ms";
    StoreEraChanged, "HW7115", "The store was restored from an older copy; its rows are listed again and the host's own row is written again.", "era, before, source, age_ms";
    HostLeaving, "HW7116", "Another host is shutting down; this host selects it for no further work.", "host";
    ServerLimited, "HW7117", "A backend server named a limit on the requests that it accepts from all hosts together.", "server, limit, before, source";
    ServerLimitEnded, "HW7118", "A backend server no longer names a limit on its requests.", "server, before, lasted_ms, source";
    AnswerDiscarded, "HW7119", "An answer of the store or of another host was discarded before it had arrived completely.", "source, bytes, waited_ms";
    CauseBlocked, "HW7120", "A prompt part, the pieces of a stage or a request were present in several crashes of backend servers; such requests are refused, unless another cause explains the crashes as well.", "cause, source";
    CauseUnblocked, "HW7121", "A prompt part, the pieces of a stage or a request no longer count as the cause of crashes.", "cause, source";
    NewsResumed, "HW7122", "The host has news of the store again after the hosts that it followed had failed.", "source, silent_ms, failed_sources";
    EvacuationChanged, "HW7123", "The operator has evacuated a failure domain, or has ended its evacuation.", "domain, evacuated, place, shift_ms, source";
    EvacuationRetained, "HW7124", "The restored store lacks the evacuation of a failure domain; it stays in force until a row or a removal of the new era is seen.", "domain, place, source";
    EvacuationInvalid, "HW7125", "A row of an evacuation is invalid and is ignored.", "key, place, detail";
    EvacuationUnmatched, "HW7126", "An evacuated failure domain has no backend server.", "domain, place";
    PoolEvacuated, "HW7127", "All servers of a pool are in evacuated failure domains, so that its requests are refused, or no longer.", "pool, evacuated";
    ServerCold, "HW7130", "A backend server is cold; it gets requests only if the warm servers of its pool take none, within the bound on cold servers.", "server, cold_ms, source";
    ServerWarm, "HW7131", "A backend server is no longer cold; it gets its share of requests step by step.", "server, source";
    PartPopular, "HW7132", "A prompt part is so popular that several engines hold it.", "part, pool, holders, hosts";
    PartUsual, "HW7133", "A prompt part that several engines held needs one engine again.", "part, pool";
    ServerAvoided, "HW7140", "A backend server broke a connection or gave no answer at all; this host sends it nothing for a while if others have capacity.", "server, reason, avoided_ms";
    RequestEnded, "HW7201", "A request has ended.", "request, pipeline, workspace, config, outcome, verdict, status, reason, class, attempts, server, server_load, took_ms, stages_ms, first_ms, remaining_ms";
    AttemptEnded, "HW7202", "An attempt at a backend server has ended without a complete answer.", "request, server, attempt, verdict, reason, took_ms, in_flight, parts, identity";
    StageEnded, "HW7203", "A stage has ended without results.", "request, pool, stage, reason, took_ms, retry_after_ms";
    CallEnded, "HW7204", "A batched stage call has ended without results for all of its pieces.", "pool, server, pieces, outcome, took_ms, timeout_ms";
    PiecesRefused, "HW7205", "The host that coordinates a pool has refused the pieces of a stage.", "request, pool, stage, pieces, workspace_rank, pipeline_rank, returned, waiting, running, late_ms, remaining_ms, retry_after_ms";
    DuplicateEvents, "HW7206", "A backend server that resumed a stream sent events again that the caller already has; they were dropped.", "request, server, events, after";
    DuplicateAnswer, "HW7207", "A backend server sent the results of an earlier call again; the duplicate answer was dropped and its connection closed.", "server, results";
    CrashingRefused, "HW7208", "A request was refused since it crashes backend servers.", "request, wait_ms";
    StreamSilent, "HW7209", "A stream is silent; another backend server is asked to continue it while it stays open.", "request, server, silent_ms, after";
    LinesSuppressed, "HW7901", "Log lines were suppressed by the rate limit.", "count, event";
}

impl GatewayEvent {
    fn entry(self) -> &'static EventEntry {
        CATALOGUE
            .iter()
            .find(|entry| entry.event == self)
            .unwrap_or(&CATALOGUE[0])
    }

    /// Returns the code, such as `HW7001`.
    pub fn code(self) -> &'static str {
        self.entry().code
    }

    /// Returns the meaning of the event, which is the message of its log lines.
    pub fn title(self) -> &'static str {
        self.entry().title
    }
}

/// Returns the catalogue as the Markdown table that `docs/EVENTS.md` contains.
pub fn events_table() -> String {
    let mut text = String::from("| event | meaning | fields |\n| --- | --- | --- |\n");
    for entry in CATALOGUE {
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} |",
            entry.code, entry.title, entry.fields
        );
    }
    text
}
