//! How many streams a group may run before its passes last too long.
//!
//! A policy that is only tried here. It serves more in this model, and on
//! played days it served no more than letting all run: there a shift is over
//! in two thirds of a second, and whoever waited for room meanwhile was late
//! in place of those that ran.
//!
//! All ranks of a group go from pass to pass together, and each stream gets
//! an event a pass. A pass that lasts longer than the pause that callers
//! bear makes every stream late, so beyond some number of streams one more
//! serves nobody: with passes of 160 ms where 120 are borne, twelve streams a
//! rank are all late, and seven in passes of 118 ms are all on time.
//!
//! The pass is known from the engine's figures up to a factor: how unevenly
//! the experts are loaded, what is being copied and read, how fast the ranks
//! are. The factor shows in the passes that were seen. It is taken to hold
//! for the next ones too, so what follows is how many streams fit.
//!
//! Entries can't count what others run at this moment, but each knows its
//! own. So each keeps to its part: it may run as many times what it ran as
//! the group may of what the group ran. All that see the same passes so grow
//! and shrink together, whatever share of the callers each has, and nobody
//! has to be asked.

use std::collections::VecDeque;

use cowsliproad_kernel::clock::Millis;

/// What an engine's figures say of a pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pass {
    /// Steps in a pass.
    pub steps: f64,
    /// A step without streams, in milliseconds.
    pub step_ms: f64,
    /// What a stream adds to a step, in milliseconds.
    pub stream_ms: f64,
}

impl Pass {
    /// The time of a pass of an even group, in milliseconds.
    pub fn even_ms(&self, streams: f64) -> f64 {
        self.steps * (self.step_ms + self.stream_ms * streams)
    }

    /// How many times as long as even a pass was that was seen.
    pub fn factor(&self, streams: f64, seen_ms: f64) -> f64 {
        seen_ms / self.even_ms(streams).max(f64::MIN_POSITIVE)
    }

    /// The most streams a rank for which passes last `bound_ms` at most,
    /// where they last `factor` times as long as even. It may be below zero.
    pub fn most(&self, factor: f64, bound_ms: f64) -> f64 {
        let even = bound_ms / factor.max(f64::MIN_POSITIVE) / self.steps;
        (even - self.step_ms) / self.stream_ms.max(f64::MIN_POSITIVE)
    }
}

/// How much longer than even the passes of a group last, now and at worst in
/// the last seconds.
///
/// A shift of demand doubles the time of a pass from one to the next, and
/// streams that run stay for two seconds: a group that is full when it comes
/// makes all of them late, whatever is refused then. So the group is kept at
/// what it could bear if the worst of the last seconds came again.
#[derive(Clone, Debug, Default)]
pub struct Strain {
    /// Factors and when they were seen, each higher than all after it.
    seen: VecDeque<(Millis, f64)>,
    now: f64,
}

/// How long the worst is remembered. Demand that shifts does so every few
/// seconds.
const MEMORY: Millis = Millis(8_000);

impl Strain {
    /// Nothing seen.
    pub fn new() -> Strain {
        Strain::default()
    }

    /// Takes in how long a pass lasts.
    pub fn note(&mut self, factor: f64, now: Millis) {
        self.now = factor;
        while self.seen.back().is_some_and(|it| it.1 <= factor) {
            self.seen.pop_back();
        }
        self.seen.push_back((now, factor));
        while self.seen.front().is_some_and(|it| now.since(it.0) > MEMORY) {
            self.seen.pop_front();
        }
    }

    /// The factor now, and the worst of the last seconds.
    pub fn factors(&self) -> (f64, f64) {
        let worst = self.seen.front().map_or(self.now, |it| it.1);
        (self.now, worst)
    }
}

/// What an entry knows of a group when it decides.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Streams at a rank, the mean of what all ranks last said.
    pub streams: f64,
    /// How many times as long as even passes last now, and at worst lately.
    pub factors: (f64, f64),
    /// Its ranks.
    pub ranks: f64,
    /// Streams that a rank takes at most.
    pub slots: f64,
    /// The own streams when that was so.
    pub own: f64,
    /// Entries that send to it, this one included.
    pub entries: f64,
}

/// The most streams a rank that a group is let run, so that its passes stay
/// within a bound.
pub fn most(pass: &Pass, view: &View, bound_ms: f64) -> f64 {
    let (now, worst) = view.factors;
    // Fear alone leaves half of the slots empty at most.
    let feared = pass.most(worst, bound_ms).max(view.slots * FEARED);
    let most = pass.most(now, bound_ms).min(feared);
    most.clamp(LEAST, view.slots + QUEUED)
}

/// How many streams an entry may run at a group of which each rank runs
/// `most`: its part of the room by what it ran, and an even share of it at
/// least, so that one that has just started gets some.
pub fn room(view: &View, most: f64) -> f64 {
    let share = most * view.ranks / view.entries.max(1.0);
    share.max(view.own * most / view.streams.max(LEAST))
}

/// Streams a rank that are always let run: passes of one stream are nearly
/// as long as those of none.
const LEAST: f64 = 1.0;

/// Streams that may wait at a rank, so that a slot that falls free is taken
/// at once and not after the next report.
const QUEUED: f64 = 1.0;

/// The share of the slots that is used whatever is feared.
const FEARED: f64 = 0.7;
