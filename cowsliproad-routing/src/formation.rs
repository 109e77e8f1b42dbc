//! Whether a lock-step group takes requests.
//!
//! A group is closed in the formation in which a rank called it broken, and
//! opens in a later one. Its engines notice a crash only once they have waited
//! for the rank that is gone, so an agent's word that a rank's process is gone
//! halts the group at once. That word may be wrong: passes that go on, or
//! some time without a break, end the halt.

use cowsliproad_kernel::clock::Millis;

/// By then the engines of a group that waits for a rank have said so. An idle
/// group begins no passes that could tell.
const HALT_TTL: Millis = Millis(2_500);

/// What a report may have taken on its way: one that came sooner after a
/// rank's end may be from before it.
const REPORT_LATENCY: Millis = Millis(100);

/// Passes that ranks may report in turn though no new one has begun: the one
/// under way when a rank ended.
const HALTING_STEPS: u64 = 1;

/// What is known of a group's newest formation.
#[derive(Clone, Copy, Debug)]
pub struct Formation {
    epoch: u64,
    open: bool,
    /// Whether it waits for a rank whose process is gone.
    halt: Option<Halt>,
}

#[derive(Clone, Copy, Debug)]
struct Halt {
    at: Millis,
    /// The pass that a rank reported first after that.
    step: Option<u64>,
}

impl Formation {
    /// The first that is heard of a group.
    pub fn new(epoch: u64, open: bool) -> Formation {
        Formation { epoch, open, halt: None }
    }

    /// Takes in what a rank says. A group that is open is so at all ranks, and
    /// stays broken for the rest of a formation. Returns whether that is new.
    pub fn learn(&mut self, epoch: u64, open: bool) -> bool {
        let broke = self.epoch == epoch && self.open && !open;
        if epoch <= self.epoch && !broke {
            return false;
        }
        (self.epoch, self.open, self.halt) = (epoch, open, None);
        true
    }

    /// Takes in that a rank's process is gone. Returns whether that halts the
    /// group.
    pub fn halt(&mut self, epoch: u64, now: Millis) -> bool {
        let halts = self.epoch == epoch && self.is_open(now);
        if halts {
            self.halt = Some(Halt { at: now, step: None });
        }
        halts
    }

    /// Takes in the pass that a rank is at. Returns whether a halted group goes
    /// on.
    pub fn step(&mut self, epoch: u64, step: u64, now: Millis) -> bool {
        let halt = self.halt.as_mut().filter(|_| self.epoch == epoch);
        let halt = halt.filter(|it| now.since(it.at) >= REPORT_LATENCY);
        let Some(halt) = halt else { return false };
        let first = *halt.step.get_or_insert(step);
        let goes_on = step > first + HALTING_STEPS;
        if goes_on {
            self.halt = None;
        }
        goes_on
    }

    /// Whether the group takes requests.
    pub fn is_open(&self, now: Millis) -> bool {
        let halted = |it: Halt| now.since(it.at) < HALT_TTL;
        self.open && !self.halt.is_some_and(halted)
    }
}
