//! Table of the requests in progress, with indexes by attempt, timer and pool.

use hollywheel_types::{AttemptNonce, MonoTime, PoolId, RequestClass, RequestId, SortedMap};

use crate::run::{RequestRun, RunPhase};

/// Sort key of requests that wait for a server: class first, then arrival time.
type WaitKey = (RequestClass, MonoTime, RequestId);

#[derive(Debug)]
struct RunSlot {
    run: RequestRun,
    wake: MonoTime,
    waiting_pool: Option<PoolId>,
}

/// Requests in progress, indexed by identifier, attempt, timer and awaited pool.
#[derive(Debug, Default)]
pub(crate) struct RunTable {
    slots: SortedMap<RequestId, Box<RunSlot>>,
    attempts: SortedMap<AttemptNonce, RequestId>,
    timers: SortedMap<(MonoTime, RequestId), ()>,
    waiting: SortedMap<WaitKey, PoolId>,
}

impl RunTable {
    pub(crate) const fn len(&self) -> usize {
        self.slots.len()
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.slots.contains_key(&id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestRun> {
        self.slots.get(&id).map(|slot| &slot.run)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestRun> {
        self.slots.get_mut(&id).map(|slot| &mut slot.run)
    }

    pub(crate) fn ids(&self) -> Vec<RequestId> {
        self.slots.keys().copied().collect()
    }

    pub(crate) fn queued(&self) -> Vec<RequestId> {
        self.slots
            .iter()
            .filter(|(_, slot)| slot.run.phase == RunPhase::Queued)
            .map(|(id, _)| *id)
            .collect()
    }

    pub(crate) fn insert(&mut self, run: RequestRun) {
        let id = run.request.request;
        let wake = run.next_wake();
        self.timers.insert((wake, id), ());
        let slot = RunSlot {
            run,
            wake,
            waiting_pool: None,
        };
        self.slots.insert(id, Box::new(slot));
        self.update_indexes(id);
    }

    /// Updates the timer and pool indexes after a request changed.
    pub(crate) fn update_indexes(&mut self, id: RequestId) {
        let Some(slot) = self.slots.get_mut(&id) else {
            return;
        };
        let wake = slot.run.next_wake();
        if wake != slot.wake {
            self.timers.remove(&(slot.wake, id));
            self.timers.insert((wake, id), ());
            slot.wake = wake;
        }
        let awaiting_server = matches!(slot.run.phase, RunPhase::AwaitingServer { .. });
        let waiting_pool = awaiting_server.then(|| slot.run.stage().pool.clone());
        if waiting_pool == slot.waiting_pool {
            return;
        }
        let key = (slot.run.class, slot.run.received, id);
        match &waiting_pool {
            Some(pool) => {
                self.waiting.insert(key, pool.clone());
            }
            None => {
                self.waiting.remove(&key);
            }
        }
        slot.waiting_pool = waiting_pool;
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestRun> {
        let slot = self.slots.remove(&id)?;
        self.timers.remove(&(slot.wake, id));
        let key = (slot.run.class, slot.run.received, id);
        self.waiting.remove(&key);
        for attempt in &slot.run.progress.attempts {
            self.attempts.remove(&attempt.nonce);
        }
        Some(slot.run)
    }

    pub(crate) fn add_attempt(&mut self, nonce: AttemptNonce, id: RequestId) {
        self.attempts.insert(nonce, id);
    }

    pub(crate) fn remove_attempt(&mut self, nonce: AttemptNonce) {
        self.attempts.remove(&nonce);
    }

    pub(crate) fn find_by_attempt(&self, nonce: AttemptNonce) -> Option<RequestId> {
        self.attempts.get(&nonce).copied()
    }

    /// Returns the request with the earliest timer if that timer is due.
    pub(crate) fn first_due(&self, now: MonoTime) -> Option<RequestId> {
        let (wake, id) = self.timers.keys().next()?;
        (*wake <= now).then_some(*id)
    }

    pub(crate) fn next_wake(&self) -> Option<MonoTime> {
        self.timers.keys().next().map(|(wake, _)| *wake)
    }

    /// Lists up to `limit` requests that wait for a server of a pool, by class and
    /// arrival time.
    pub(crate) fn waiting_for(&self, pool: &PoolId, limit: usize) -> Vec<RequestId> {
        self.waiting
            .iter()
            .filter(|(_, waiting_pool)| *waiting_pool == pool)
            .map(|((_, _, id), _)| *id)
            .take(limit)
            .collect()
    }
}
