//! How long targets are left alone because they asked for that.
//!
//! A target that turns a request away may state when it takes requests again.
//! That holds until the time is over: a success of an earlier request says
//! nothing against it, a shorter time that is stated later takes nothing back,
//! and a target that drops out of the log and returns is the same process. It
//! ends with that process: one that starts later under the same name asked for
//! nothing.

use std::collections::HashMap;

use cowsliproad_kernel::{Name, clock::Millis};

use crate::fleet::{Start, Target};

/// Targets that are kept, some 60 bytes each.
const MAX_TARGETS: usize = 16_384;

/// How long one target is left alone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cooldown {
    until: Millis,
}

impl Cooldown {
    /// Takes in a stated time. Returns whether the cooldown now lasts longer.
    pub fn extend(&mut self, wait: Millis, now: Millis) -> bool {
        let until = now + wait;
        let extends = wait.0 > 0 && until > self.until;
        if extends {
            self.until = until;
        }
        extends
    }

    /// When it ends, unless it is over.
    pub fn end(&self, now: Millis) -> Option<Millis> {
        (self.until > now).then_some(self.until)
    }

    /// How long it still lasts; zero if it is over.
    pub fn left(&self, now: Millis) -> Millis {
        self.until.since(now)
    }
}

/// The cooldowns of all targets.
#[derive(Clone, Debug, Default)]
pub struct Cooldowns {
    targets: HashMap<Name, (Start, Cooldown)>,
}

impl Cooldowns {
    /// No target has asked for anything.
    pub fn new() -> Cooldowns {
        Cooldowns::default()
    }

    /// Takes in what a target stated. Returns whether its cooldown now lasts
    /// longer.
    pub fn extend(
        &mut self,
        target: &Target,
        wait: Millis,
        now: Millis,
    ) -> bool {
        let new = (target.start, Cooldown::default());
        let known = self.targets.entry(target.id.clone()).or_insert(new);
        if known.0 > target.start {
            // A late answer of an earlier process.
            return false;
        }
        if known.0 < target.start {
            *known = new;
        }
        let extends = known.1.extend(wait, now);
        if self.targets.len() > MAX_TARGETS {
            self.evict(now);
        }
        extends
    }

    /// When a target's cooldown ends, unless it is over.
    pub fn end(&self, target: &Target, now: Millis) -> Option<Millis> {
        let (start, cooldown) = self.targets.get(&target.id)?;
        (*start == target.start).then(|| cooldown.end(now))?
    }

    /// Whether no target is known to be left alone.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Targets that are left alone.
    pub fn active(&self, now: Millis) -> usize {
        let cooldowns = self.targets.values();
        cooldowns.filter(|it| it.1.end(now).is_some()).count()
    }

    /// Forgets what was over at a moment.
    pub fn sweep(&mut self, now: Millis) {
        self.targets.retain(|_, it| it.1.end(now).is_some());
    }

    fn evict(&mut self, now: Millis) {
        self.sweep(now);
        if self.targets.len() > MAX_TARGETS {
            let soonest = self.targets.iter().min_by_key(|it| it.1.1.until);
            if let Some(id) = soonest.map(|it| it.0.clone()) {
                self.targets.remove(&id);
            }
        }
    }
}
