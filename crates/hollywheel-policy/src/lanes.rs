//! Requests that wait for admission.

use hollywheel_types::{MonoTime, PipelineId, RequestClass, RequestId, SortedMap, WorkspaceId};

/// Holds one request that waits.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: RequestId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) pipeline: PipelineId,
    pub(crate) class: RequestClass,
    /// The start tag in virtual time.
    pub(crate) tag: f64,
    /// The cost charged to the workspace, in milliseconds of backend time.
    pub(crate) cost: f64,
    /// The point at which it is refused if it has not started.
    pub(crate) give_up: MonoTime,
}

/// Names a lane: the requests of one class for one pipeline.
pub(crate) type LaneKey = (RequestClass, PipelineId);

/// Holds waiting requests by class and pipeline, each lane in fair order.
#[derive(Clone, Debug, Default)]
pub(crate) struct LaneTable {
    lanes: SortedMap<LaneKey, Vec<WaitingRequest>>,
    len: usize,
}

impl LaneTable {
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn insert(&mut self, waiting: WaitingRequest) {
        let key = (waiting.class, waiting.pipeline.clone());
        let lane = self.lanes.get_or_insert_with(key, Vec::new);
        let at = lane.partition_point(|entry| entry.tag <= waiting.tag);
        lane.insert(at, waiting);
        self.len += 1;
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<WaitingRequest> {
        let waiting = self.remove_where(|entry| entry.request == request).pop();
        self.drop_empty();
        waiting
    }

    pub(crate) fn contains(&self, request: RequestId) -> bool {
        let mut entries = self.lanes.values().flatten();
        entries.any(|entry| entry.request == request)
    }

    /// Removes the requests whose time is over.
    pub(crate) fn expire(&mut self, now: MonoTime) -> Vec<WaitingRequest> {
        let expired = self.remove_where(|entry| entry.give_up <= now);
        self.drop_empty();
        expired
    }

    fn remove_where(&mut self, test: impl Fn(&WaitingRequest) -> bool) -> Vec<WaitingRequest> {
        let mut removed = Vec::new();
        for lane in self.lanes.values_mut() {
            removed.extend(lane.extract_if(.., |entry| test(entry)));
        }
        self.len -= removed.len();
        removed
    }

    fn drop_empty(&mut self) {
        self.lanes.retain(|_, lane| !lane.is_empty());
    }

    /// Returns the next point at which a request gives up.
    pub(crate) fn next_expiry(&self) -> Option<MonoTime> {
        let entries = self.lanes.values().flatten();
        entries.map(|entry| entry.give_up).min()
    }

    /// Lists the lanes of a class, the one with the lowest start tag first.
    pub(crate) fn lanes_of(&self, class: RequestClass) -> Vec<PipelineId> {
        let mut heads: Vec<(f64, &PipelineId)> = self
            .lanes
            .iter()
            .filter(|((lane, _), _)| *lane == class)
            .filter_map(|((_, pipeline), lane)| Some((lane.first()?.tag, pipeline)))
            .collect();
        heads.sort_by(|a, b| a.0.total_cmp(&b.0));
        heads.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Removes the first request of a lane.
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

    /// Removes the last request of the lowest class if it yields to a newcomer.
    pub(crate) fn evict_for(&mut self, class: RequestClass, tag: f64) -> Option<WaitingRequest> {
        let last = |lane: &Vec<WaitingRequest>| lane.last().map_or(f64::MIN, |entry| entry.tag);
        let (key, lane) = self
            .lanes
            .iter_mut()
            .max_by(|a, b| a.0.0.cmp(&b.0.0).then(last(a.1).total_cmp(&last(b.1))))?;
        if (key.0, last(lane)) <= (class, tag) {
            return None;
        }
        let evicted = lane.pop();
        self.len -= 1;
        self.drop_empty();
        evicted
    }

    /// Returns the requests of a lane in their order.
    pub(crate) fn entries(&self, key: &LaneKey) -> &[WaitingRequest] {
        self.lanes.get(key).map_or(&[], Vec::as_slice)
    }

    /// Counts the requests of a lane up to a start tag.
    pub(crate) fn count_before(&self, key: &LaneKey, tag: f64) -> usize {
        let lane = self.lanes.get(key);
        lane.map_or(0, |lane| lane.partition_point(|entry| entry.tag <= tag))
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
