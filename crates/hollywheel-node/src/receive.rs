//! Validation and admission of requests.

use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::{ObjectSet, StageObject};
use hollywheel_policy::{AdmitDecision, AdmitRequest, RefuseReason, RequestEnd};
use hollywheel_types::{ExecutionVerdict, MonoTime, RequestClass, RequestId};

use crate::drain::{DrainState, OTHER_HOST_RETRY_AFTER};
use crate::finish::push_refusal;
use crate::input::CallerRequest;
use crate::machine::NodeMachine;
use crate::output::{NodeEvent, NodeOutput, Refusal, RefusalReason};
use crate::run::{RequestRun, RunPhase, RunTimings, StageProgress};

/// Retry delay for callers of a host with the maximum number of requests in progress.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

impl NodeMachine {
    pub(crate) fn receive(
        &mut self,
        now: MonoTime,
        request: CallerRequest,
        out: &mut Vec<NodeOutput>,
    ) {
        let id = request.request;
        if self.runs.contains(id) {
            return;
        }
        out.push(NodeOutput::Event(NodeEvent::Received { request: id }));
        match self.validate(now, &request) {
            Ok(run) => {
                let admission = admit_request(&run);
                self.runs.insert(run);
                self.admit(now, &admission, out);
            }
            Err(refusal) => {
                let class = self.class_of(&request);
                push_refusal(request, class, refusal, out);
            }
        }
    }

    /// Returns the class of the requested pipeline, or the lowest class for an unknown pipeline.
    fn class_of(&self, request: &CallerRequest) -> RequestClass {
        let class_in = |set: &Arc<ObjectSet>| {
            let target = &set.pipeline(&request.pipeline)?.target;
            set.target(target).map(|target| target.class)
        };
        let class = self.config.as_ref().and_then(class_in);
        class.unwrap_or(RequestClass::Batch)
    }

    fn validate(&self, now: MonoTime, request: &CallerRequest) -> Result<RequestRun, Refusal> {
        if !matches!(self.drain, DrainState::Serving) {
            return Err(not_run(
                RefusalReason::Draining,
                Some(OTHER_HOST_RETRY_AFTER),
            ));
        }
        let Some(set) = &self.config else {
            return Err(not_run(
                RefusalReason::NotReady,
                Some(OTHER_HOST_RETRY_AFTER),
            ));
        };
        if self.runs.len() >= self.settings.max_requests {
            let reason = RefusalReason::Policy(RefuseReason::Overloaded);
            return Err(not_run(reason, Some(FULL_RETRY_AFTER)));
        }
        let Some(run) = build_run(now, set, request) else {
            return Err(not_run(RefusalReason::NoPipeline, None));
        };
        if run.needs_claim() && request.idempotency_key.is_none() {
            return Err(not_run(RefusalReason::KeyMissing, None));
        }
        Ok(run)
    }

    fn admit(&mut self, now: MonoTime, request: &AdmitRequest, out: &mut Vec<NodeOutput>) {
        let id = request.request;
        match self.policy.admit(now, request) {
            AdmitDecision::Start => self.admitted(now, id, out),
            AdmitDecision::Wait => {}
            AdmitDecision::Refuse {
                reason,
                retry_after,
            } => self.not_admitted(now, id, reason, retry_after, out),
        }
    }

    pub(crate) fn admitted(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<NodeOutput>) {
        let Some(run) = self.runs.get_mut(id) else {
            // The request ended while it was queued; release its admission slot.
            self.policy.request_ended(now, id, RequestEnd::Refused);
            return;
        };
        run.admitted = true;
        out.push(NodeOutput::Event(NodeEvent::Admitted { request: id }));
        if run.needs_claim() {
            run.phase = RunPhase::AwaitingClaim;
            self.claim_or_forward(now, id, out);
        } else {
            self.begin_stage(now, id, out);
        }
    }

    pub(crate) fn not_admitted(
        &mut self,
        now: MonoTime,
        id: RequestId,
        reason: RefuseReason,
        retry_after: Duration,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.phase = RunPhase::NotAdmitted;
        self.refuse(
            now,
            id,
            RefusalReason::Policy(reason),
            Some(retry_after),
            out,
        );
    }
}

fn admit_request(run: &RequestRun) -> AdmitRequest {
    AdmitRequest {
        request: run.request.request,
        workspace: run.request.workspace.clone(),
        pipeline: run.request.pipeline.clone(),
        class: run.class,
        deadline: run.deadline,
    }
}

/// Resolves the stages and the deadline of a request. Returns `None` if the pipeline does not
/// exist or is not available to the workspace.
fn build_run(now: MonoTime, set: &Arc<ObjectSet>, request: &CallerRequest) -> Option<RequestRun> {
    let pipeline = set.pipeline(&request.pipeline)?;
    set.workspace(&request.workspace)?;
    let open_to_all = pipeline.workspaces.is_empty();
    if !open_to_all && !pipeline.workspaces.contains(&request.workspace) {
        return None;
    }
    let target = set.target(&pipeline.target)?;
    let stages: Option<Vec<StageObject>> = pipeline
        .stages
        .iter()
        .map(|stage| set.stage(stage).cloned())
        .collect();
    let stages = stages.filter(|stages| !stages.is_empty())?;
    let target_limit = target.deadline();
    let time_limit = request
        .timeout
        .map_or(target_limit, |requested| requested.min(target_limit));
    Some(RequestRun {
        objects: Arc::clone(set),
        stages,
        class: target.class,
        received: now,
        deadline: now + time_limit,
        phase: RunPhase::Queued,
        admitted: false,
        claimed: false,
        forward_ticket: None,
        issuer_unreached: false,
        has_caller: true,
        stage_index: 0,
        previous_output: String::new(),
        progress: StageProgress::default(),
        ended_verdict: ExecutionVerdict::NotRun,
        ended_effect_verdict: ExecutionVerdict::NotRun,
        attempts_sent: 0,
        timings: RunTimings::default(),
        request: request.clone(),
    })
}

const fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> Refusal {
    Refusal {
        verdict: ExecutionVerdict::NotRun,
        reason,
        retry_after,
    }
}
