//! The catalogue of log events.

use std::fmt::Write as _;

use hollywheel_types::RequestId;
use tracing::Level;

use crate::traces::TraceId;

/// Describes one event of the catalogue.
struct EventEntry {
    event: LogEvent,
    code: &'static str,
    level: Level,
    title: &'static str,
    advice: &'static str,
}

macro_rules! log_events {
    ($($name:ident, $code:literal, $level:ident, $title:literal, $advice:literal;)*) => {
        /// Names the events of the log. The number of an event never changes its meaning.
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
    HostReady, "HW1002", INFO, "The host takes requests.", "None.";
    HostNotReady, "HW1003", WARN, "The host takes no requests.", "Read the detail; without a configuration, check the platform and the other hosts.";
    DrainStarted, "HW1004", INFO, "The graceful shutdown has begun.", "None.";
    DrainFinished, "HW1005", INFO, "The graceful shutdown is complete.", "None.";
    DrainTimedOut, "HW1006", WARN, "The graceful shutdown took longer than allowed and was cut.", "Raise --drain-ms above the longest deadline.";
    HostStopped, "HW1007", INFO, "The process ends.", "None.";
    ChildRestarted, "HW1101", WARN, "A part of the process failed and was restarted.", "Report the detail if it recurs.";
    ChildGivenUp, "HW1102", ERROR, "A part of the process failed too often; the process ends.", "Report the detail.";
    ListenFailed, "HW1103", ERROR, "An address cannot be listened on.", "Choose a free address.";
    AcceptFailed, "HW1104", WARN, "A caller's connection could not be accepted.", "Raise the number of open files if the detail says so.";
    RequestAttained, "HW2001", DEBUG, "A request got its complete answer in time.", "None.";
    RequestLate, "HW2002", INFO, "A request got its complete answer after its deadline.", "Compare the stages' times with the target.";
    RequestRefused, "HW2003", INFO, "A request was refused as not run.", "Look at the reason; add capacity if it is overload.";
    RequestFailed, "HW2004", WARN, "A request failed after something was sent.", "Look at the backend servers of its stages.";
    CallerRejected, "HW2005", INFO, "A call was rejected before it became a request.", "Check the caller's key and body.";
    CallerDisconnected, "HW2006", INFO, "A caller left or did not read its answer.", "None.";
    AttemptEnded, "HW2101", DEBUG, "An attempt at a backend server ended.", "None.";
    AnswerMismatched, "HW2102", WARN, "An answer did not match its attempt and was dropped.", "Check the backend server that sent it.";
    AnswerInvalid, "HW2103", WARN, "A backend server's answer broke the protocol.", "Check the version of the backend server.";
    LoadUnreachable, "HW2104", DEBUG, "A backend server's load could not be read.", "Check the backend server if it lasts.";
    ServerLeaving, "HW2105", INFO, "A backend server is leaving.", "None.";
    StoreRefused, "HW3001", WARN, "The table service refused a call, which had no effect.", "Check the table service.";
    StoreUnknown, "HW3002", WARN, "The answer of the table service was lost or late.", "Check the table service.";
    HostListUnreadable, "HW3003", WARN, "The host list could not be read.", "Check the platform; hosts known so far stay known.";
    SweepEnded, "HW3004", INFO, "A pass over old claims ended.", "None.";
    ConfigKept, "HW3005", WARN, "Old configuration rows are kept, since the whole set after them is not complete.", "Look at the rows of the table config-change.";
    ConfigInstalled, "HW4001", INFO, "A configuration version is in force.", "None.";
    ConfigRejected, "HW4002", ERROR, "A configuration version could not be put in force.", "Publish a corrected set.";
    ConfigPublished, "HW4003", INFO, "An operator published a configuration version.", "None.";
    OperatorRejected, "HW5001", WARN, "An operator's call was rejected.", "Check the token and its role.";
    SecretsReplaced, "HW5002", INFO, "Secrets were replaced.", "None.";
    ClaimResolved, "HW5003", INFO, "An operator resolved a claim.", "None.";
    DrainOrdered, "HW5004", INFO, "An operator ordered the graceful shutdown.", "None.";
    HostsChanged, "HW6001", INFO, "The hosts taken for alive changed.", "None.";
    TransportFailed, "HW6002", ERROR, "The transport between hosts cannot be used.", "Check the certificate and --peer-listen.";
    HostSuperseded, "HW6003", ERROR, "A later process runs under the name of this host, which shuts down.", "Give every host a name of its own.";
}

/// Says which request and trace an event belongs to.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventContext {
    /// The request.
    pub request: Option<RequestId>,
    /// The trace.
    pub trace: Option<TraceId>,
}

impl LogEvent {
    fn entry(self) -> &'static EventEntry {
        CATALOGUE
            .iter()
            .find(|entry| entry.event == self)
            .unwrap_or(&CATALOGUE[0])
    }

    /// Returns the number, such as `HW1001`.
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

/// Writes an event to the log.
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

/// Writes the catalogue as the table in `docs/EVENTS.md`.
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
