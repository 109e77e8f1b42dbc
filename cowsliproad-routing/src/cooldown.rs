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

use crate::fleet::{ProcessStartUnixMs, Target};

/// The largest number of stored cooldowns, at some 60 bytes each.
const MAX_COOLDOWNS: usize = 16_384;

/// The cooldown of one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cooldown {
    ends_at: Millis,
}

impl Cooldown {
    /// Applies the retry-after time that a target stated. Returns whether the
    /// cooldown now lasts longer.
    pub fn apply_retry_after(
        &mut self,
        retry_after: Millis,
        now: Millis,
    ) -> bool {
        let ends_at = now + retry_after;
        let extends = retry_after.0 > 0 && ends_at > self.ends_at;
        if extends {
            self.ends_at = ends_at;
        }
        extends
    }

    /// When the cooldown ends; `None` if the cooldown has ended.
    pub fn cooldown_end(&self, now: Millis) -> Option<Millis> {
        (self.ends_at > now).then_some(self.ends_at)
    }

    /// The remaining time of the cooldown; zero if the cooldown has ended.
    pub fn remaining_cooldown_time(&self, now: Millis) -> Millis {
        self.ends_at.since(now)
    }
}

/// The cooldowns of all targets, each with the start time of its process.
#[derive(Clone, Debug, Default)]
pub struct Cooldowns {
    by_target: HashMap<Name, (ProcessStartUnixMs, Cooldown)>,
}

impl Cooldowns {
    /// A collection without cooldowns.
    pub fn new() -> Cooldowns {
        Cooldowns::default()
    }

    /// Applies the retry-after time that a target stated. Returns whether the
    /// target's cooldown now lasts longer.
    pub fn apply_retry_after(
        &mut self,
        target: &Target,
        retry_after: Millis,
        now: Millis,
    ) -> bool {
        let new = (target.start, Cooldown::default());
        let stored = self.by_target.entry(target.id.clone()).or_insert(new);
        if stored.0 > target.start {
            // A late response of an earlier process of this target must not
            // change the cooldown of the later process.
            return false;
        }
        if stored.0 < target.start {
            *stored = new;
        }
        let extends = stored.1.apply_retry_after(retry_after, now);
        if self.by_target.len() > MAX_COOLDOWNS {
            self.evict_excess_cooldown(now);
        }
        extends
    }

    /// When a target's cooldown ends; `None` if the target has no cooldown.
    pub fn cooldown_end(
        &self,
        target: &Target,
        now: Millis,
    ) -> Option<Millis> {
        let (start, cooldown) = self.by_target.get(&target.id)?;
        (*start == target.start).then(|| cooldown.cooldown_end(now))?
    }

    /// Whether no cooldowns are stored.
    pub fn is_empty(&self) -> bool {
        self.by_target.is_empty()
    }

    /// The number of targets with a cooldown that has not ended.
    pub fn active_cooldown_count(&self, now: Millis) -> usize {
        let cooldowns = self.by_target.values();
        cooldowns.filter(|it| it.1.cooldown_end(now).is_some()).count()
    }

    /// Removes the cooldowns that have ended by the time `now`.
    pub fn remove_expired_cooldowns(&mut self, now: Millis) {
        self.by_target.retain(|_, it| it.1.cooldown_end(now).is_some());
    }

    fn evict_excess_cooldown(&mut self, now: Millis) {
        self.remove_expired_cooldowns(now);
        if self.by_target.len() > MAX_COOLDOWNS {
            let soonest =
                self.by_target.iter().min_by_key(|it| it.1.1.ends_at);
            if let Some(id) = soonest.map(|it| it.0.clone()) {
                self.by_target.remove(&id);
            }
        }
    }
}
