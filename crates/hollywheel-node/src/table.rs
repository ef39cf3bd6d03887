//! The requests in progress and their indexes.

use hollywheel_types::{AttemptNonce, MonoTime, PoolId, RequestClass, RequestId, SortedMap};

use crate::run::{RequestRun, RunPhase};

/// Orders requests that wait for a server: by class, then by arrival.
type WaitKey = (RequestClass, MonoTime, RequestId);

#[derive(Debug)]
struct RunSlot {
    run: RequestRun,
    wake: MonoTime,
    waiting: Option<PoolId>,
}

/// Holds the requests in progress, found by id, by attempt, by timer and by pool.
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
        let wake = run.wake();
        self.timers.insert((wake, id), ());
        let slot = RunSlot {
            run,
            wake,
            waiting: None,
        };
        self.slots.insert(id, Box::new(slot));
        self.rearm(id);
    }

    /// Brings the indexes up to date after a request changed.
    pub(crate) fn rearm(&mut self, id: RequestId) {
        let Some(slot) = self.slots.get_mut(&id) else {
            return;
        };
        let wake = slot.run.wake();
        if wake != slot.wake {
            self.timers.remove(&(slot.wake, id));
            self.timers.insert((wake, id), ());
            slot.wake = wake;
        }
        let picking = matches!(slot.run.phase, RunPhase::Picking { .. });
        let waiting = picking.then(|| slot.run.stage().pool.clone());
        if waiting == slot.waiting {
            return;
        }
        let key = (slot.run.class, slot.run.received, id);
        match &waiting {
            Some(pool) => {
                self.waiting.insert(key, pool.clone());
            }
            None => {
                self.waiting.remove(&key);
            }
        }
        slot.waiting = waiting;
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestRun> {
        let slot = self.slots.remove(&id)?;
        self.timers.remove(&(slot.wake, id));
        let key = (slot.run.class, slot.run.received, id);
        self.waiting.remove(&key);
        for attempt in &slot.run.work.attempts {
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

    pub(crate) fn by_attempt(&self, nonce: AttemptNonce) -> Option<RequestId> {
        self.attempts.get(&nonce).copied()
    }

    /// Returns the first request whose timer is due.
    pub(crate) fn due(&self, now: MonoTime) -> Option<RequestId> {
        let (wake, id) = self.timers.keys().next()?;
        (*wake <= now).then_some(*id)
    }

    pub(crate) fn next_wake(&self) -> Option<MonoTime> {
        self.timers.keys().next().map(|(wake, _)| *wake)
    }

    /// Lists the first requests that wait for a server of a pool.
    pub(crate) fn waiting_for(&self, pool: &PoolId, most: usize) -> Vec<RequestId> {
        self.waiting
            .iter()
            .filter(|(_, waiting)| *waiting == pool)
            .map(|((_, _, id), _)| *id)
            .take(most)
            .collect()
    }
}
