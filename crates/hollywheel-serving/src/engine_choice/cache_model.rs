//! What one host knows about the prompt parts that an engine has cached.

use std::time::Duration;

use hollywheel_types::MonoTime;

use crate::placement::PromptPart;

/// The maximum number of parts in the record of one engine, which bounds the record of 90 engines to
/// about 140 KB.
const MAX_PARTS: usize = 64;
/// The time after which a part no longer counts as cached unless it was used again. The requests of
/// other hosts, which this host does not see, evict it.
const PART_LIFETIME: Duration = Duration::from_secs(10);

/// Holds one cached part.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    id: u64,
    used_at: MonoTime,
}

/// Records the parts of own requests that an engine has probably cached, least recently used first.
#[derive(Clone, Debug, Default)]
pub(super) struct CacheModel {
    parts: Vec<CachedPart>,
}

impl CacheModel {
    /// Records that a request with these shared parts was sent to the engine.
    pub(super) fn note_parts(&mut self, now: MonoTime, shared: &[PromptPart]) {
        let shared = &shared[..shared.len().min(MAX_PARTS)];
        self.parts
            .retain(|known| shared.iter().all(|part| part.id != known.id));
        let excess = (self.parts.len() + shared.len()).saturating_sub(MAX_PARTS);
        self.parts.drain(..excess);
        self.parts.extend(shared.iter().map(|part| CachedPart {
            id: part.id,
            used_at: now,
        }));
    }

    /// Removes every part, as after a restart of the engine.
    pub(super) fn clear(&mut self) {
        self.parts.clear();
    }

    /// Returns the tokens at the start of a prompt that are cached: a part counts only if all parts
    /// before it are cached too.
    pub(super) fn cached_tokens(&self, now: MonoTime, shared: &[PromptPart]) -> u32 {
        if self.parts.is_empty() {
            return 0;
        }
        shared
            .iter()
            .take_while(|part| {
                let known = self.parts.iter().rev().find(|known| known.id == part.id);
                known.is_some_and(|known| now.since(known.used_at) < PART_LIFETIME)
            })
            .fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// Returns whether a part was recorded that no longer counts as cached.
    pub(super) fn is_outdated(&self, now: MonoTime, part: u64) -> bool {
        let known = self.parts.iter().find(|known| known.id == part);
        known.is_some_and(|known| now.since(known.used_at) >= PART_LIFETIME)
    }
}
