//! Which targets are left out for a while, and when they are tried again.
//!
//! A target that fails [`Config::failures`] times in a row is ejected. The
//! back-off doubles with each ejection up to a bound and carries jitter, so
//! that entries don't return at the same moment. Our own guess is probed with
//! one request from half of its time on, and the first success ends it. A
//! stated retry-after is taken as it stands: it is not probed early (the
//! paper's provenance of cool-downs), and neither a success nor a failure of
//! an earlier attempt changes it.
//!
//! A target can look attractive because it fails fast and so is always
//! idle. Counting failures in a row, whatever their speed, takes it out.

use cowsliproad_kernel::clock::Millis;

use crate::cooldown::Cooldown;

/// Limits of ejection.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    failures: u32,
    first: Millis,
    most: Millis,
    percent: u32,
}

impl Config {
    /// The usual limits.
    pub fn new() -> Config {
        Config {
            failures: 3,
            first: Millis(500),
            most: Millis(30_000),
            percent: 50,
        }
    }

    /// Failures in a row until ejection.
    pub fn with_failures(self, failures: u32) -> Config {
        Config { failures, ..self }
    }

    /// The first and the longest back-off.
    pub fn with_back_off(self, first: Millis, most: Millis) -> Config {
        Config { first, most, ..self }
    }

    /// The share of targets that may be ejected, in percent.
    pub fn with_percent(self, percent: u32) -> Config {
        Config { percent, ..self }
    }

    /// Whether so many ejected targets are too many to be believed.
    pub fn is_too_many(&self, ejected: usize, count: usize) -> bool {
        ejected * 100 > count * self.percent as usize
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}

/// Whether a target may get an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admit {
    /// Like any other.
    Yes,
    /// One attempt, as a probe.
    Probe,
    /// Not now.
    No,
}

/// The health of one target as one entry sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    round: u32,
    ejection: Option<Ejection>,
    cooldown: Cooldown,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Millis,
    probe_at: Millis,
}

/// Rounds after which the back-off no longer doubles.
const MAX_ROUND: u32 = 16;

impl Health {
    /// A healthy target.
    pub fn new() -> Health {
        Health::default()
    }

    /// Whether an attempt may go there; a probe is counted as taken.
    pub fn admit(&mut self, now: Millis) -> Admit {
        if self.cooldown_end(now).is_some() {
            return Admit::No;
        }
        let Some(ejection) = &mut self.ejection else {
            return Admit::Yes;
        };
        if now < ejection.probe_at {
            return Admit::No;
        }
        ejection.probe_at = ejection.until.max(now + PROBE_GAP);
        Admit::Probe
    }

    /// What [`Health::admit`] would say, without taking a probe.
    pub fn peek(&self, now: Millis) -> Admit {
        match &self.ejection {
            _ if self.cooldown_end(now).is_some() => Admit::No,
            None => Admit::Yes,
            Some(ejection) if now < ejection.probe_at => Admit::No,
            Some(_) => Admit::Probe,
        }
    }

    /// Notes a whole answer.
    pub fn success(&mut self) {
        *self = Health { cooldown: self.cooldown, ..Health::default() };
    }

    /// Notes a failure; `jitter` is drawn from 0 to 99.
    pub fn failure(&mut self, config: &Config, now: Millis, jitter: u64) {
        self.failures += 1;
        let probing = self.ejection.is_some();
        if self.failures < config.failures && !probing {
            return;
        }
        let bench = config.first.0 << self.round.min(MAX_ROUND);
        let bench = bench.min(config.most.0);
        let bench = bench + bench * jitter / 200;
        self.round = (self.round + 1).min(MAX_ROUND);
        self.ejection = Some(Ejection {
            until: now + Millis(bench),
            probe_at: now + Millis(bench / 2),
        });
    }

    /// Notes for how long the target last asked to be left alone; zero for not
    /// at all.
    pub fn stated(&mut self, now: Millis, wait: Millis) {
        let was_stated = self.cooldown != Cooldown::default();
        self.cooldown = Cooldown::default();
        if self.cooldown.extend(wait, now) {
            let until = now + wait;
            self.ejection = Some(Ejection { until, probe_at: until });
        } else if was_stated {
            // A target that started again asked for nothing.
            self.ejection = None;
        }
    }

    /// When the time ends for which the target asked to be left alone.
    pub fn cooldown_end(&self, now: Millis) -> Option<Millis> {
        self.cooldown.end(now)
    }

    /// Whether the target is left out.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }
}

/// The shortest time between two probes.
const PROBE_GAP: Millis = Millis(200);
