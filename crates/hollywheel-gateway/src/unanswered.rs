//! Classes of requests without an answer, for the log and the metrics.

use crate::containment::WorkPanicked;
use crate::respond::{RequestEnd, RequestOutcome};
use crate::stream_place::LATE_REASON;

/// Reason of a request whose server gave no answer at all before the deadline.
pub(crate) const SERVER_SILENT: &str = "the server gave no answer at all before the deadline";

/// Class of a request that got no complete answer. The set is closed, so that it can label a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UnansweredClass {
    /// The request or its access key is invalid.
    Invalid,
    /// The host has no configuration or no memory for a body, or it stops.
    HostUnable,
    /// No server of the pool is known, or all of them asked for a pause.
    NoServer,
    /// Every server is full, cold or at the limit that it named, or begins too late.
    Full,
    /// A pool of stages cannot produce the results in time.
    StageAdmission,
    /// The results of a stage were not produced, or were lost.
    StageFailed,
    /// The request crashes servers.
    CrashesServers,
    /// No server could be connected to.
    NotReached,
    /// The last server refused the request without running it.
    ServerRefused,
    /// The connection to the server broke before an answer.
    ServerLost,
    /// The server gave no answer at all.
    ServerSilent,
    /// The server's answer is unusable.
    BadAnswer,
    /// The time was over while a server answered or the request waited.
    Deadline,
    /// The stream or the answer was cut off.
    Cut,
    /// The work on the request panicked.
    InternalFault,
    /// The caller disconnected first.
    CallerGone,
    /// Another decision rejected the request.
    OtherRejection,
    /// Another fault ended the request.
    OtherFailure,
}

impl UnansweredClass {
    /// Returns the class of an ended request; none if it was answered.
    pub(crate) fn of(end: &RequestEnd<'_>) -> Option<Self> {
        match end.outcome {
            RequestOutcome::Answered => None,
            RequestOutcome::Cancelled => Some(Self::CallerGone),
            RequestOutcome::Broken if end.reason != WorkPanicked::REASON => Some(Self::Cut),
            RequestOutcome::Refused | RequestOutcome::Rejected => {
                Some(Self::of_reason(end).unwrap_or(Self::OtherRejection))
            }
            RequestOutcome::Failed | RequestOutcome::Broken => {
                Some(Self::of_reason(end).unwrap_or(Self::OtherFailure))
            }
        }
    }

    /// Returns the class of a logged reason; none if the reason is unknown.
    fn of_reason(end: &RequestEnd<'_>) -> Option<Self> {
        let class = match end.reason {
            "a header is missing or invalid"
            | "no pipeline matches the host name and path"
            | "the API key is missing or unknown"
            | "the body could not be read"
            | "the request could not be encoded"
            | hollywheel_adapter::OVERSIZED_REASON => Self::Invalid,
            // The same limits hold for the bodies of requests and of answers.
            "the body exceeds the size limit" if end.outcome == RequestOutcome::Rejected => {
                Self::Invalid
            }
            "no configuration has been read yet"
            | "the evacuated failure domains are not known yet"
            | "the host stops before the request would end"
            | "the host stops"
            | "the memory for bodies is used up" => Self::HostUnable,
            "no server"
            | "no engine"
            | "every server asked for a pause"
            | "every engine asked for a pause" => Self::NoServer,
            "every server is full"
            | "every engine is full"
            | "every server is at its limit"
            | "every engine is at its limit"
            | "every engine is cold"
            | LATE_REASON => Self::Full,
            "pool cannot finish the stage in time" | "stage expired while queued" => {
                Self::StageAdmission
            }
            "stage input no longer stored" | "no server produced the results" => Self::StageFailed,
            "the request crashes servers" => Self::CrashesServers,
            "could not connect" => Self::NotReached,
            "the server refused the request"
            | "another server uses the address"
            | "an input is no longer stored"
            | "the server could not read the request" => Self::ServerRefused,
            "the connection closed before an answer" => Self::ServerLost,
            SERVER_SILENT => Self::ServerSilent,
            "the body exceeds the size limit"
            | "an event of the stream exceeds the size limit"
            | "the answer belongs to another request"
            | "the answer does not come from the server itself"
            | "the server's status contradicts its headers" => Self::BadAnswer,
            "the body did not arrive before the deadline"
            | "no complete answer before the deadline"
            | "the answer did not start before the deadline"
            | "the stream reached its deadline"
            | "the attempt timed out" => Self::Deadline,
            "the body is truncated"
            | "the body stopped arriving"
            | "the stream ended before its first event"
            | "the stream ended early" => Self::Cut,
            WorkPanicked::REASON => Self::InternalFault,
            _ => return None,
        };
        Some(class)
    }

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::HostUnable => "host-unable",
            Self::NoServer => "no-server",
            Self::Full => "full",
            Self::StageAdmission => "stage-admission",
            Self::StageFailed => "stage-failed",
            Self::CrashesServers => "crashes-servers",
            Self::NotReached => "not-reached",
            Self::ServerRefused => "server-refused",
            Self::ServerLost => "server-lost",
            Self::ServerSilent => "server-silent",
            Self::BadAnswer => "bad-answer",
            Self::Deadline => "deadline",
            Self::Cut => "cut",
            Self::InternalFault => "internal-fault",
            Self::CallerGone => "caller-gone",
            Self::OtherRejection => "other-rejection",
            Self::OtherFailure => "other-failure",
        }
    }
}
