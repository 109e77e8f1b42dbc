//! Cooldowns: the times for which targets asked not to be sent requests.
//!
//! A target that rejects a request may state when it takes requests again
//! (retry-after). The cooldown lasts until then: a success of an earlier
//! request doesn't end it, a shorter time that is stated later doesn't shorten
//! it, and a target that drops out of the log and returns is the same process
//! and keeps its cooldown. The cooldown ends with the process: a process that
//! starts later under the same name has none.

use std::collections::HashMap;

use cowsliproad_kernel::{Name, clock::Millis};

use crate::fleet::{StartTime, Target};

/// The largest number of stored cooldowns, at some 60 bytes each.
const MAX_COOLDOWNS: usize = 16_384;

/// The cooldown of one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cooldown {
    until: Millis,
}

impl Cooldown {
    /// Applies a stated retry-after time. Returns whether the cooldown now
    /// lasts longer.
    pub fn extend(&mut self, retry_after: Millis, now: Millis) -> bool {
        let until = now + retry_after;
        let extends = retry_after.0 > 0 && until > self.until;
        if extends {
            self.until = until;
        }
        extends
    }

    /// When the cooldown ends; `None` if it has ended.
    pub fn active_until(&self, now: Millis) -> Option<Millis> {
        (self.until > now).then_some(self.until)
    }

    /// The remaining time of the cooldown; zero if it has ended.
    pub fn remaining(&self, now: Millis) -> Millis {
        self.until.since(now)
    }
}

/// The cooldowns of all targets, each with the start time of its process.
#[derive(Clone, Debug, Default)]
pub struct Cooldowns {
    targets: HashMap<Name, (StartTime, Cooldown)>,
}

impl Cooldowns {
    /// A collection without cooldowns.
    pub fn new() -> Cooldowns {
        Cooldowns::default()
    }

    /// Applies the retry-after time that a target stated. Returns whether the
    /// target's cooldown now lasts longer.
    pub fn extend(
        &mut self,
        target: &Target,
        retry_after: Millis,
        now: Millis,
    ) -> bool {
        let new = (target.start, Cooldown::default());
        let stored = self.targets.entry(target.id.clone()).or_insert(new);
        if stored.0 > target.start {
            // A late response of an earlier process of this target.
            return false;
        }
        if stored.0 < target.start {
            *stored = new;
        }
        let extends = stored.1.extend(retry_after, now);
        if self.targets.len() > MAX_COOLDOWNS {
            self.evict_excess(now);
        }
        extends
    }

    /// When a target's cooldown ends; `None` if it has none.
    pub fn active_until(
        &self,
        target: &Target,
        now: Millis,
    ) -> Option<Millis> {
        let (start, cooldown) = self.targets.get(&target.id)?;
        (*start == target.start).then(|| cooldown.active_until(now))?
    }

    /// Whether no cooldowns are stored.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The number of targets with a cooldown that has not ended.
    pub fn active_count(&self, now: Millis) -> usize {
        let cooldowns = self.targets.values();
        cooldowns.filter(|it| it.1.active_until(now).is_some()).count()
    }

    /// Removes the cooldowns that have ended by `now`.
    pub fn remove_expired(&mut self, now: Millis) {
        self.targets.retain(|_, it| it.1.active_until(now).is_some());
    }

    fn evict_excess(&mut self, now: Millis) {
        self.remove_expired(now);
        if self.targets.len() > MAX_COOLDOWNS {
            let soonest = self.targets.iter().min_by_key(|it| it.1.1.until);
            if let Some(id) = soonest.map(|it| it.0.clone()) {
                self.targets.remove(&id);
            }
        }
    }
}
