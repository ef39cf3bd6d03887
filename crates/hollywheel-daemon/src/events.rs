//! Catalogue of log events.

use std::fmt::Write as _;

use hollywheel_types::RequestId;
use tracing::Level;

use crate::traces::TraceId;

/// Entry of the catalogue.
struct EventEntry {
    event: LogEvent,
    code: &'static str,
    level: Level,
    title: &'static str,
    advice: &'static str,
}

macro_rules! log_events {
    ($($name:ident, $code:literal, $level:ident, $title:literal, $advice:literal;)*) => {
        /// Log event. The meaning of a code never changes.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum LogEvent {
            $(#[doc = $title] $name,)*
        }

        const CATALOGUE: &[EventEntry] = &[
            $(EventEntry {
                event: LogEvent::$name,
                code: $code,
                level: Level::$level,
                title: $title,
                advice: $advice,
            },)*
        ];
    };
}

log_events! {
    HostStarting, "HW1001", INFO, "The host is starting.", "None.";
    HostReady, "HW1002", INFO, "The host accepts requests.", "None.";
    HostNotReady, "HW1003", WARN, "The host does not accept requests.", "Read the detail; without a configuration, check the platform and the other hosts.";
    DrainStarted, "HW1004", INFO, "The graceful shutdown has begun.", "None.";
    DrainFinished, "HW1005", INFO, "The graceful shutdown is complete.", "None.";
    DrainTimedOut, "HW1006", WARN, "The graceful shutdown exceeded its time limit and was aborted.", "Raise --drain-ms above the longest deadline.";
    HostStopped, "HW1007", INFO, "The process exits.", "None.";
    ChildRestarted, "HW1101", WARN, "A supervised task failed and was restarted.", "Report the detail if it recurs.";
    ChildFailed, "HW1102", ERROR, "A supervised task failed and is not restarted; the process exits.", "Report the detail.";
    ListenFailed, "HW1103", ERROR, "The host cannot listen on an address.", "Choose a free address.";
    AcceptFailed, "HW1104", WARN, "A caller's connection could not be accepted.", "Raise the limit on open files if the detail says so.";
    RequestAttained, "HW2001", DEBUG, "A request was answered completely before its deadline.", "None.";
    RequestLate, "HW2002", INFO, "A request was answered completely after its deadline.", "Compare the stages' times with the target.";
    RequestRefused, "HW2003", INFO, "A request was refused without being run.", "Check the reason; add capacity if it is overload.";
    RequestFailed, "HW2004", WARN, "A request failed after an attempt was sent.", "Check the backend servers of its stages.";
    CallerRejected, "HW2005", INFO, "A call was rejected before it became a request.", "Check the caller's key and body.";
    CallerDisconnected, "HW2006", INFO, "A caller disconnected or stopped reading its answer.", "None.";
    AttemptEnded, "HW2101", DEBUG, "An attempt at a backend server ended.", "None.";
    AnswerMismatched, "HW2102", WARN, "An answer did not match its attempt and was dropped.", "Check the backend server that sent it.";
    AnswerInvalid, "HW2103", WARN, "A backend server's answer violated the protocol.", "Check the version of the backend server.";
    LoadUnreachable, "HW2104", DEBUG, "A backend server's load could not be read.", "Check the backend server if this persists.";
    ServerLeaving, "HW2105", INFO, "A backend server is leaving.", "None.";
    StoreRefused, "HW3001", WARN, "The table service refused a call; the call had no effect.", "Check the table service.";
    StoreUnknown, "HW3002", WARN, "The table service did not answer in time; the outcome of the call is unknown.", "Check the table service.";
    HostListUnreadable, "HW3003", WARN, "The host list could not be read.", "Check the platform; the hosts known so far are kept.";
    SweepEnded, "HW3004", INFO, "A retention pass over the claims finished.", "None.";
    ConfigKept, "HW3005", WARN, "Old configuration rows are kept because the snapshot after them is incomplete.", "Check the rows of the table config-change.";
    ConfigInstalled, "HW4001", INFO, "A configuration version is in force.", "None.";
    ConfigRejected, "HW4002", ERROR, "A configuration version could not be installed.", "Publish a corrected set.";
    ConfigPublished, "HW4003", INFO, "An operator published a configuration version.", "None.";
    OperatorRejected, "HW5001", WARN, "An operator's call was rejected.", "Check the token and its role.";
    SecretsReplaced, "HW5002", INFO, "Secrets were replaced.", "None.";
    ClaimResolved, "HW5003", INFO, "An operator resolved a claim.", "None.";
    DrainOrdered, "HW5004", INFO, "An operator requested the graceful shutdown.", "None.";
    HostsChanged, "HW6001", INFO, "The set of live hosts changed.", "None.";
    TransportFailed, "HW6002", ERROR, "The transport between hosts cannot be used.", "Check the certificate and --peer-listen.";
    HostSuperseded, "HW6003", ERROR, "A newer process uses the name of this host; this process shuts down.", "Give every host a unique name.";
}

/// Request and trace that an event belongs to.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventContext {
    /// Request identifier.
    pub request: Option<RequestId>,
    /// Trace identifier of the caller's trace context.
    pub trace: Option<TraceId>,
}

impl LogEvent {
    fn entry(self) -> &'static EventEntry {
        CATALOGUE
            .iter()
            .find(|entry| entry.event == self)
            .unwrap_or(&CATALOGUE[0])
    }

    /// Returns the code, such as `HW1001`.
    pub fn code(self) -> &'static str {
        self.entry().code
    }
}

macro_rules! write_event {
    ($level:expr, $entry:expr, $request:expr, $trace:expr, $detail:expr) => {
        tracing::event!(
            $level,
            code = $entry.code,
            request = $request.as_deref(),
            trace = $trace.as_deref(),
            detail = $detail,
            "{}",
            $entry.title
        )
    };
}

/// Logs an event. `detail` is free text.
pub fn log_event(event: LogEvent, context: &EventContext, detail: &str) {
    let entry = event.entry();
    if entry.level > tracing::level_filters::LevelFilter::current() {
        return;
    }
    let request = context.request.map(|id| id.to_string());
    let trace = context.trace.map(|id| id.to_string());
    match entry.level {
        Level::ERROR => write_event!(Level::ERROR, entry, request, trace, detail),
        Level::WARN => write_event!(Level::WARN, entry, request, trace, detail),
        Level::INFO => write_event!(Level::INFO, entry, request, trace, detail),
        _ => write_event!(Level::DEBUG, entry, request, trace, detail),
    }
}

/// Returns the catalogue as the Markdown table of `docs/EVENTS.md`.
pub fn events_table() -> String {
    let mut text = String::from("| event | level | meaning | what to do |\n");
    text.push_str("| --- | --- | --- | --- |\n");
    for entry in CATALOGUE {
        let level = entry.level.to_string().to_lowercase();
        let _ = writeln!(
            text,
            "| {} | {level} | {} | {} |",
            entry.code, entry.title, entry.advice
        );
    }
    text
}
