//! Determines the steps of the observed request to which an input or output belongs.

use hollywheel_node::{AttemptEvent, NodeEvent, NodeInput, NodeOutput, ReplyPart};
use hollywheel_store::{StoreOp, StoreRequest};
use hollywheel_types::{RequestId, TokenIndex};

use super::run::{BACKGROUND, FaultScene};
use crate::cell::{CellFault, CellScenario, CellStep};

const MIDDLE_TOKEN: TokenIndex = TokenIndex(2);

impl CellScenario {
    /// Returns the stages in order.
    pub const fn stages(self) -> &'static [&'static str] {
        match self {
            Self::Lookup => &["encode"],
            Self::Question => &["encode", "draft"],
            Self::Payment | Self::Issued | Self::Forwarded => &["pay"],
            Self::Booking => &["encode", "pay", "notify"],
        }
    }

    /// Returns the stage to which the step `dispatch` refers.
    pub const fn main_stage(self) -> &'static str {
        match self {
            Self::Lookup => "encode",
            Self::Question => "draft",
            Self::Payment | Self::Booking | Self::Issued | Self::Forwarded => "pay",
        }
    }

    /// Returns whether requests have a key.
    pub const fn has_key(self) -> bool {
        !matches!(self, Self::Lookup | Self::Question)
    }
}

const fn is_observed(request: RequestId) -> bool {
    request.0 != BACKGROUND
}

impl FaultScene {
    /// Returns the faults that are injected at this step and marks them as injected.
    pub(super) fn due_faults(&mut self, steps: &[CellStep]) -> Vec<CellFault> {
        let mut due = Vec::new();
        for planned in &mut self.plan {
            let point = planned.point;
            let fits = !planned.done && steps.contains(&point.step);
            if fits && !due.contains(&point.fault) {
                planned.done = true;
                due.push(point.fault);
            }
        }
        due
    }

    pub(super) fn input_steps(&self, input: &NodeInput) -> Vec<CellStep> {
        match input {
            NodeInput::Request(request) if is_observed(request.request) => {
                vec![CellStep::Receive]
            }
            NodeInput::Store { .. } | NodeInput::Forwarded { .. } => vec![CellStep::ClaimAnswer],
            NodeInput::Config(set) if set.version.0 > 1 => vec![CellStep::ConfigChange],
            NodeInput::Drain(_) => vec![CellStep::Drain],
            NodeInput::Attempt { nonce, event } => {
                let call = self
                    .open_calls
                    .iter()
                    .find(|(_, call)| call.nonce == *nonce);
                let Some((_, call)) = call.filter(|(_, call)| is_observed(call.request)) else {
                    return Vec::new();
                };
                self.answer_steps(call.stage.as_str(), event)
            }
            _ => Vec::new(),
        }
    }

    fn answer_steps(&self, stage: &str, event: &AttemptEvent) -> Vec<CellStep> {
        let stages = self.scenario.stages();
        let first = stages.first() == Some(&stage);
        let last = stages.last() == Some(&stage);
        let mut steps = Vec::new();
        let (begins, middle, ends) = match event {
            AttemptEvent::Token { index, .. } => (index.0 == 0, *index == MIDDLE_TOKEN, false),
            AttemptEvent::Answer { .. } => (first, !first && !last, last),
            AttemptEvent::StreamEnd { .. } => (false, false, last),
            _ => (false, false, false),
        };
        if begins {
            steps.push(CellStep::FirstByte);
        }
        if middle {
            steps.push(CellStep::MidStream);
        }
        if ends {
            steps.push(CellStep::LastByte);
        }
        steps
    }

    pub(super) fn output_steps(&self, output: &NodeOutput) -> Vec<CellStep> {
        let main = self.scenario.main_stage();
        match output {
            NodeOutput::Event(NodeEvent::Admitted { request }) if is_observed(*request) => {
                vec![CellStep::Admit]
            }
            NodeOutput::Event(NodeEvent::Sent { request, stage, .. })
                if is_observed(*request) && stage.as_str() == main =>
            {
                vec![CellStep::Pick]
            }
            NodeOutput::Dispatch(call)
                if is_observed(call.request) && call.stage.as_str() == main =>
            {
                vec![CellStep::Dispatch]
            }
            NodeOutput::Store { request, .. } => write_steps(request),
            NodeOutput::Forward { .. } => vec![CellStep::ClaimWrite],
            NodeOutput::Reply { request, part } if is_observed(*request) => match part {
                ReplyPart::Token { .. } => Vec::new(),
                ReplyPart::Complete { .. } | ReplyPart::Refused(_) => vec![CellStep::Reply],
            },
            _ => Vec::new(),
        }
    }
}

fn write_steps(request: &StoreRequest) -> Vec<CellStep> {
    let StoreRequest::Txn { ops, .. } = request else {
        return Vec::new();
    };
    let writes = |state: &str| {
        ops.iter().any(|op| match op {
            StoreOp::Insert { value, .. } | StoreOp::Put { value, .. } => value["state"] == state,
            StoreOp::Delete { .. } => false,
        })
    };
    let mut steps = Vec::new();
    if writes("open") {
        steps.push(CellStep::ClaimWrite);
    }
    if writes("settled") || writes("released") {
        steps.push(CellStep::ResultWrite);
    }
    steps
}
