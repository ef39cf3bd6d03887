//! Admission queue, divided into lanes by class and pipeline.

use hollywheel_types::{MonoTime, PipelineId, RequestClass, RequestId, SortedMap, WorkspaceId};

/// A request queued for admission.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: RequestId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) pipeline: PipelineId,
    pub(crate) class: RequestClass,
    /// The start tag in the virtual time of fair queueing.
    pub(crate) start_tag: f64,
    /// The cost charged to the workspace, in milliseconds of backend time.
    pub(crate) cost_ms: f64,
    /// The time at which it is rejected if it has not started.
    pub(crate) expires_at: MonoTime,
}

/// Identifies a lane: the queued requests of one class for one pipeline.
pub(crate) type LaneKey = (RequestClass, PipelineId);

/// Queued requests by class and pipeline; each lane is sorted by start tag.
#[derive(Clone, Debug, Default)]
pub(crate) struct LaneTable {
    lanes: SortedMap<LaneKey, Vec<WaitingRequest>>,
    /// The number of requests in all lanes.
    len: usize,
}

impl LaneTable {
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn insert(&mut self, waiting: WaitingRequest) {
        let key = (waiting.class, waiting.pipeline.clone());
        let lane = self.lanes.get_or_insert_with(key, Vec::new);
        let index = lane.partition_point(|entry| entry.start_tag <= waiting.start_tag);
        lane.insert(index, waiting);
        self.len += 1;
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<WaitingRequest> {
        let waiting = self.remove_where(|entry| entry.request == request).pop();
        self.remove_empty_lanes();
        waiting
    }

    pub(crate) fn contains(&self, request: RequestId) -> bool {
        let mut entries = self.lanes.values().flatten();
        entries.any(|entry| entry.request == request)
    }

    /// Removes and returns the requests that have expired.
    pub(crate) fn expire(&mut self, now: MonoTime) -> Vec<WaitingRequest> {
        let expired = self.remove_where(|entry| entry.expires_at <= now);
        self.remove_empty_lanes();
        expired
    }

    fn remove_where(&mut self, matches: impl Fn(&WaitingRequest) -> bool) -> Vec<WaitingRequest> {
        let mut removed = Vec::new();
        for lane in self.lanes.values_mut() {
            removed.extend(lane.extract_if(.., |entry| matches(entry)));
        }
        self.len -= removed.len();
        removed
    }

    fn remove_empty_lanes(&mut self) {
        self.lanes.retain(|_, lane| !lane.is_empty());
    }

    /// Returns the earliest time at which a request expires.
    pub(crate) fn next_expiry(&self) -> Option<MonoTime> {
        let entries = self.lanes.values().flatten();
        entries.map(|entry| entry.expires_at).min()
    }

    /// Lists the pipelines with a lane in the class, ordered by the lowest start tag of the lane.
    pub(crate) fn pipelines_by_tag(&self, class: RequestClass) -> Vec<PipelineId> {
        let mut heads: Vec<(f64, &PipelineId)> = self
            .lanes
            .iter()
            .filter(|((lane, _), _)| *lane == class)
            .filter_map(|((_, pipeline), lane)| Some((lane.first()?.start_tag, pipeline)))
            .collect();
        heads.sort_by(|a, b| a.0.total_cmp(&b.0));
        heads.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Removes and returns the first request of a lane.
    pub(crate) fn pop(&mut self, key: &LaneKey) -> Option<WaitingRequest> {
        let lane = self.lanes.get_mut(key)?;
        if lane.is_empty() {
            return None;
        }
        let first = lane.remove(0);
        self.len -= 1;
        if lane.is_empty() {
            self.lanes.remove(key);
        }
        Some(first)
    }

    /// Removes and returns the last request of the lowest class, unless a new request with the
    /// given class and start tag would come after it.
    pub(crate) fn evict_for(
        &mut self,
        class: RequestClass,
        start_tag: f64,
    ) -> Option<WaitingRequest> {
        let last = |lane: &Vec<WaitingRequest>| lane.last().map_or(f64::MIN, |last| last.start_tag);
        let (key, lane) = self
            .lanes
            .iter_mut()
            .max_by(|a, b| a.0.0.cmp(&b.0.0).then(last(a.1).total_cmp(&last(b.1))))?;
        if (key.0, last(lane)) <= (class, start_tag) {
            return None;
        }
        let evicted = lane.pop();
        self.len -= 1;
        self.remove_empty_lanes();
        evicted
    }

    /// Returns the requests of a lane, sorted by start tag.
    pub(crate) fn entries(&self, key: &LaneKey) -> &[WaitingRequest] {
        self.lanes.get(key).map_or(&[], Vec::as_slice)
    }

    /// Counts the requests of a lane with a start tag up to the given one.
    pub(crate) fn count_before(&self, key: &LaneKey, start_tag: f64) -> usize {
        let lane = self.lanes.get(key);
        lane.map_or(0, |lane| {
            lane.partition_point(|entry| entry.start_tag <= start_tag)
        })
    }

    /// Returns the number of requests of each lane.
    pub(crate) fn lane_lengths(&self) -> impl Iterator<Item = (&LaneKey, usize)> {
        self.lanes.iter().map(|(key, lane)| (key, lane.len()))
    }

    /// Returns the number of requests of each class.
    pub(crate) fn class_lengths(&self) -> [usize; 4] {
        let mut lengths = [0; 4];
        for ((class, _), length) in self.lane_lengths() {
            lengths[class.index()] += length;
        }
        lengths
    }
}
