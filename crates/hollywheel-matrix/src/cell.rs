//! Cells of the fault matrix.

use std::fmt;
use std::str::FromStr;

macro_rules! named_enum {
    (
        $(#[$doc:meta])*
        $name:ident, $kind:literal {
            $($(#[$variant_doc:meta])* $variant:ident = $text:literal,)*
        }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $name {
            /// All values.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name on the command line and in reports.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.name())
            }
        }

        impl FromStr for $name {
            type Err = CellError;

            fn from_str(text: &str) -> Result<Self, CellError> {
                Self::ALL
                    .iter()
                    .copied()
                    .find(|one| one.name() == text)
                    .ok_or_else(|| CellError {
                        kind: $kind,
                        given: text.to_owned(),
                        expected: Self::ALL.iter().map(|one| one.name()).collect(),
                    })
            }
        }
    };
}

named_enum! {
    /// The observed request of a cell.
    CellScenario, "scenario" {
        /// One idempotent stage.
        Lookup = "lookup",
        /// An encoder and a token stream.
        Question = "question",
        /// One non-idempotent stage.
        Payment = "payment",
        /// A non-idempotent stage between two idempotent ones.
        Booking = "booking",
        /// One non-idempotent stage under a key that the host issued.
        Issued = "issued",
        /// The same under a key that the other host issued.
        Forwarded = "forwarded",
    }
}

named_enum! {
    /// The step of the request at which a fault is injected.
    CellStep, "step" {
        /// The host receives the request.
        Receive = "receive",
        /// The request is admitted.
        Admit = "admit",
        /// The claim is written.
        ClaimWrite = "claim-write",
        /// The answer to the claim arrives.
        ClaimAnswer = "claim-answer",
        /// A server is chosen.
        Pick = "pick",
        /// The attempt at the main stage is sent.
        Dispatch = "dispatch",
        /// The first part of the first answer arrives.
        FirstByte = "first-byte",
        /// A token in the middle of the stream arrives.
        MidStream = "mid-stream",
        /// The end of the last answer arrives.
        LastByte = "last-byte",
        /// The result is written.
        ResultWrite = "result-write",
        /// The caller is answered.
        Reply = "reply",
        /// A new configuration arrives while the request is in progress.
        ConfigChange = "config-change",
        /// The host is told to shut down while the request is in progress.
        Drain = "drain",
    }
}

named_enum! {
    /// The injected fault.
    CellFault, "fault" {
        /// Nothing fails.
        Nothing = "nothing",
        /// The process crashes just before the step and is restarted.
        KillBefore = "kill-before",
        /// The process crashes just after the step and is restarted.
        KillAfter = "kill-after",
        /// The process is paused before the step until long after the deadline.
        PauseBefore = "pause-before",
        /// The process is paused after the step until long after the deadline.
        PauseAfter = "pause-after",
        /// A connection to a server is refused.
        ConnectRefused = "connect-refused",
        /// A connection to a server breaks before the call is processed.
        CutBefore = "cut-before",
        /// A connection to a server breaks after the call was processed.
        CutAfter = "cut-after",
        /// A server or the table service answers after the deadline.
        Slow = "slow",
        /// The table service refuses calls.
        StoreDown = "store-down",
        /// The table service does not answer and calls have no effect.
        StoreSilent = "store-silent",
        /// A write takes effect and its answer is lost.
        StoreAnswerLost = "store-answer-lost",
        /// A write takes effect long after its call has timed out.
        StoreLateEffect = "store-late-effect",
        /// A message to the host arrives twice.
        Duplicate = "duplicate",
        /// An answer is that of another request.
        Crossed = "crossed",
        /// An answer arrives after the deadline, though its attempt was cancelled.
        LateAnswer = "late-answer",
        /// The server in use is leaving.
        ServerLeaving = "server-leaving",
        /// The caller disconnects.
        CallerGone = "caller-gone",
        /// The caller sends the same request with the same key to the other host.
        CallerRetry = "caller-retry",
        /// The caller sends the same request with the same key to the same host.
        DuplicateRequest = "duplicate-request",
        /// The hosts cannot reach each other.
        PeerUnreachable = "peer-unreachable",
    }
}

/// Error for an unknown name of a scenario, step, fault or cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellError {
    /// The kind of the name.
    pub kind: &'static str,
    /// The text.
    pub given: String,
    /// The allowed names.
    pub expected: Vec<&'static str>,
}

impl fmt::Display for CellError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {:?} is not known; expected {}",
            self.kind,
            self.given,
            self.expected.join(", ")
        )
    }
}

impl std::error::Error for CellError {}

/// A fault and the step at which it is injected.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct FaultPoint {
    /// The step.
    pub step: CellStep,
    /// The fault.
    pub fault: CellFault,
}

impl FaultPoint {
    /// Returns all faults at all steps.
    pub fn all() -> Vec<Self> {
        let faults = |step: &CellStep| {
            let step = *step;
            CellFault::ALL.iter().map(move |fault| Self {
                step,
                fault: *fault,
            })
        };
        CellStep::ALL.iter().flat_map(faults).collect()
    }
}

impl fmt::Display for FaultPoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.step, self.fault)
    }
}

impl FromStr for FaultPoint {
    type Err = CellError;

    fn from_str(text: &str) -> Result<Self, CellError> {
        let (step, fault) = text.split_once('+').ok_or_else(|| CellError {
            kind: "fault point",
            given: text.to_owned(),
            expected: vec!["STEP+FAULT"],
        })?;
        Ok(Self {
            step: step.parse()?,
            fault: fault.parse()?,
        })
    }
}

/// A cell of the matrix, written `SCENARIO/STEP+FAULT[/STEP+FAULT]`.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct MatrixCell {
    /// The observed request.
    pub scenario: CellScenario,
    /// The faults, one or two.
    pub points: Vec<FaultPoint>,
}

impl MatrixCell {
    /// Returns the cells with one fault.
    pub fn singles() -> Vec<Self> {
        let mut cells = Vec::new();
        for scenario in CellScenario::ALL {
            cells.extend(FaultPoint::all().into_iter().map(|point| Self {
                scenario: *scenario,
                points: vec![point],
            }));
        }
        cells
    }

    /// Returns the cells of a scenario with two faults, at the same step or at different ones.
    pub fn pairs(scenario: CellScenario) -> Vec<Self> {
        let points = FaultPoint::all();
        let mut cells = Vec::new();
        for (at, first) in points.iter().enumerate() {
            cells.extend(points[at..].iter().map(|second| Self {
                scenario,
                points: vec![*first, *second],
            }));
        }
        cells
    }
}

impl fmt::Display for MatrixCell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.scenario)?;
        self.points
            .iter()
            .try_for_each(|point| write!(f, "/{point}"))
    }
}

impl FromStr for MatrixCell {
    type Err = CellError;

    fn from_str(text: &str) -> Result<Self, CellError> {
        let mut parts = text.split('/');
        let scenario = parts.next().unwrap_or_default().parse()?;
        let points = parts.map(str::parse).collect::<Result<_, _>>()?;
        Ok(Self { scenario, points })
    }
}
