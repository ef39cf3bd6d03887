//! Receipt and admission of requests.

use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::{ObjectSet, StageObject};
use hollywheel_policy::{AdmitDecision, AdmitRequest, RefuseReason, RequestEnd};
use hollywheel_types::{ExecutionVerdict, MonoTime, RequestClass, RequestId};

use crate::drain::{DrainState, OTHER_HOST_RETRY};
use crate::finish::push_refusal;
use crate::input::CallerRequest;
use crate::machine::NodeMachine;
use crate::output::{NodeEvent, NodeOutput, Refusal, RefusalReason};
use crate::run::{RequestRun, RunPhase, RunTimes, StageWork};

/// When a caller should ask again a host that is full.
const FULL_RETRY: Duration = Duration::from_secs(1);

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
        match self.check(now, &request) {
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

    /// Returns the class of the pipeline, the lowest if there is no such pipeline.
    fn class_of(&self, request: &CallerRequest) -> RequestClass {
        let pipeline = |set: &Arc<ObjectSet>| {
            let target = &set.pipeline(&request.pipeline)?.target;
            set.target(target).map(|target| target.class)
        };
        let class = self.config.as_ref().and_then(pipeline);
        class.unwrap_or(RequestClass::Batch)
    }

    fn check(&self, now: MonoTime, request: &CallerRequest) -> Result<RequestRun, Refusal> {
        if !matches!(self.drain, DrainState::Serving) {
            return Err(not_run(RefusalReason::Draining, Some(OTHER_HOST_RETRY)));
        }
        let Some(set) = &self.config else {
            return Err(not_run(RefusalReason::NotReady, Some(OTHER_HOST_RETRY)));
        };
        if self.runs.len() >= self.settings.max_requests {
            let reason = RefusalReason::Policy(RefuseReason::Overloaded);
            return Err(not_run(reason, Some(FULL_RETRY)));
        }
        let Some(run) = plan(now, set, request) else {
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
            // The policy freed a place for a request that has ended; it must not keep it.
            self.policy.request_ended(now, id, RequestEnd::Refused);
            return;
        };
        run.admitted = true;
        out.push(NodeOutput::Event(NodeEvent::Admitted { request: id }));
        if run.needs_claim() {
            run.phase = RunPhase::Claiming;
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

/// Finds the stages and the deadline; none if the pipeline is not there for the workspace.
fn plan(now: MonoTime, set: &Arc<ObjectSet>, request: &CallerRequest) -> Option<RequestRun> {
    let pipeline = set.pipeline(&request.pipeline)?;
    set.workspace(&request.workspace)?;
    let open = pipeline.workspaces.is_empty();
    if !open && !pipeline.workspaces.contains(&request.workspace) {
        return None;
    }
    let target = set.target(&pipeline.target)?;
    let stages: Option<Vec<StageObject>> = pipeline
        .stages
        .iter()
        .map(|stage| set.stage(stage).cloned())
        .collect();
    let stages = stages.filter(|stages| !stages.is_empty())?;
    let allowed = target.deadline();
    let span = request.timeout.map_or(allowed, |own| own.min(allowed));
    Some(RequestRun {
        set: Arc::clone(set),
        stages,
        class: target.class,
        received: now,
        deadline: now + span,
        phase: RunPhase::Queued,
        admitted: false,
        claimed: false,
        forwarded: None,
        unreached: false,
        has_caller: true,
        stage: 0,
        previous: String::new(),
        work: StageWork::default(),
        ended: ExecutionVerdict::NotRun,
        ended_effects: ExecutionVerdict::NotRun,
        sent: 0,
        times: RunTimes::default(),
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
