//! Ejects targets that fail repeatedly and decides when they are probed.
//!
//! A target that fails `EjectionConfig::failures_to_eject` times in a row is
//! ejected. The backoff doubles with each ejection up to a bound and carries
//! jitter, so that entry processes don't return to the target at the same
//! moment. Such a backoff is an estimate: after half of its time the target is
//! probed with one request, and the first success ends the ejection. A
//! retry-after time that the target states itself is followed exactly: the
//! target is not probed early, and neither a success nor a failure of an
//! earlier attempt changes the time.
//!
//! A target that fails fast is always idle and so looks attractive. Counting
//! consecutive failures, whatever their speed, ejects it.

use cowsliproad_kernel::clock::Millis;

use crate::cooldown::Cooldown;

/// The settings by which targets that fail repeatedly are ejected: failure
/// threshold, backoff and the largest share of ejected targets.
#[derive(Clone, Copy, Debug)]
pub struct EjectionConfig {
    failures_to_eject: u32,
    initial_backoff: Millis,
    max_backoff: Millis,
    max_ejected_percent: u32,
}

impl EjectionConfig {
    /// The default settings of ejection.
    pub fn new() -> EjectionConfig {
        EjectionConfig {
            failures_to_eject: 3,
            initial_backoff: Millis(500),
            max_backoff: Millis(30_000),
            max_ejected_percent: 50,
        }
    }

    /// Sets the number of consecutive failures that eject a target.
    pub fn with_failures_to_eject(
        self,
        failures_to_eject: u32,
    ) -> EjectionConfig {
        EjectionConfig { failures_to_eject, ..self }
    }

    /// Sets the first and the longest backoff of an ejected target.
    pub fn with_ejection_backoff(
        self,
        initial_backoff: Millis,
        max_backoff: Millis,
    ) -> EjectionConfig {
        EjectionConfig { initial_backoff, max_backoff, ..self }
    }

    /// Sets the largest share of targets that may be ejected, in percent.
    pub fn with_max_ejected_percent(
        self,
        max_ejected_percent: u32,
    ) -> EjectionConfig {
        EjectionConfig { max_ejected_percent, ..self }
    }

    /// Whether more targets are ejected than the largest share allows. So many
    /// ejections are not credible, and callers of this function ignore them.
    pub fn exceeds_ejection_limit(
        &self,
        ejected_targets: usize,
        total_targets: usize,
    ) -> bool {
        ejected_targets * 100
            > total_targets * self.max_ejected_percent as usize
    }
}

impl Default for EjectionConfig {
    fn default() -> EjectionConfig {
        EjectionConfig::new()
    }
}

/// Whether an attempt may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptAdmission {
    /// Attempts may be sent to the target without a limit.
    Allow,
    /// One attempt may be sent to the ejected target, as a probe.
    Probe,
    /// No attempt may be sent to the target for now.
    Deny,
}

/// The health of one target, as one entry process sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    consecutive_failures: u32,
    backoff_exponent: u32,
    ejection: Option<Ejection>,
    cooldown: Cooldown,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    ends_at: Millis,
    next_probe_at: Millis,
}

/// The number of ejections after which the backoff no longer doubles.
const MAX_BACKOFF_EXPONENT: u32 = 16;

impl TargetHealth {
    /// The health of a target without failures or a cooldown.
    pub fn new() -> TargetHealth {
        TargetHealth::default()
    }

    /// Decides whether an attempt may be sent to the target. An admitted probe
    /// is counted as sent.
    pub fn admit_attempt(&mut self, now: Millis) -> AttemptAdmission {
        if self.cooldown_end(now).is_some() {
            return AttemptAdmission::Deny;
        }
        let Some(ejection) = &mut self.ejection else {
            return AttemptAdmission::Allow;
        };
        if now < ejection.next_probe_at {
            return AttemptAdmission::Deny;
        }
        ejection.next_probe_at =
            ejection.ends_at.max(now + MIN_PROBE_INTERVAL);
        AttemptAdmission::Probe
    }

    /// The result that [`TargetHealth::admit_attempt`] would have, without
    /// counting a probe as sent.
    pub fn peek_admission(&self, now: Millis) -> AttemptAdmission {
        match &self.ejection {
            _ if self.cooldown_end(now).is_some() => AttemptAdmission::Deny,
            None => AttemptAdmission::Allow,
            Some(ejection) if now < ejection.next_probe_at => {
                AttemptAdmission::Deny
            }
            Some(_) => AttemptAdmission::Probe,
        }
    }

    /// Records a complete response of the target, which ends an ejection but
    /// not a cooldown.
    pub fn record_success(&mut self) {
        *self = TargetHealth {
            cooldown: self.cooldown,
            ..TargetHealth::default()
        };
    }

    /// Records a failed attempt, which may eject the target. `jitter` is a
    /// random number from 0 to 99; the backoff is lengthened by half as many
    /// percent.
    pub fn record_failure(
        &mut self,
        config: &EjectionConfig,
        now: Millis,
        jitter: u64,
    ) {
        self.consecutive_failures += 1;
        let probing = self.ejection.is_some();
        if self.consecutive_failures < config.failures_to_eject && !probing {
            return;
        }
        let backoff_ms = config.initial_backoff.0
            << self.backoff_exponent.min(MAX_BACKOFF_EXPONENT);
        let backoff_ms = backoff_ms.min(config.max_backoff.0);
        let backoff_ms = backoff_ms + backoff_ms * jitter / 200;
        self.backoff_exponent =
            (self.backoff_exponent + 1).min(MAX_BACKOFF_EXPONENT);
        self.ejection = Some(Ejection {
            ends_at: now + Millis(backoff_ms),
            next_probe_at: now + Millis(backoff_ms / 2),
        });
    }

    /// Records the retry-after time that the target last stated; zero if the
    /// target stated none.
    pub fn set_retry_after(&mut self, now: Millis, retry_after: Millis) {
        let had_cooldown = self.cooldown != Cooldown::default();
        self.cooldown = Cooldown::default();
        if self.cooldown.apply_retry_after(retry_after, now) {
            let ends_at = now + retry_after;
            self.ejection = Some(Ejection { ends_at, next_probe_at: ends_at });
        } else if had_cooldown {
            // A restarted target states no time; the cooldown of the earlier
            // process ends.
            self.ejection = None;
        }
    }

    /// When the cooldown of the target ends; `None` if the target has no
    /// cooldown.
    pub fn cooldown_end(&self, now: Millis) -> Option<Millis> {
        self.cooldown.cooldown_end(now)
    }

    /// Whether the target is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }
}

/// The shortest time between two probes of an ejected target.
const MIN_PROBE_INTERVAL: Millis = Millis(200);
