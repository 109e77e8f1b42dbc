//! Whether a lock-step group takes requests, and when it will again.
//!
//! A group is closed in the formation in which a rank called it broken, and
//! opens in a later one. Its engines notice a crash only once they have waited
//! for the rank that is gone, so an agent's word that a rank's process is gone
//! halts the group at once. That word may be wrong: passes that go on, or
//! some time without a break, end the halt.
//!
//! The time that the group was closed last is the best guess at the next one.
//! It is no guess any more once it is over.

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
    /// When the group was first known to be closed, if it had been open.
    closed: Option<Millis>,
    /// For how long it was closed before it opened last.
    downtime: Option<Millis>,
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
        Formation { epoch, open, halt: None, closed: None, downtime: None }
    }

    /// Takes in what a rank says. A group that is open is so at all ranks, and
    /// stays broken for the rest of a formation. Returns whether that is new.
    pub fn learn(&mut self, epoch: u64, open: bool, now: Millis) -> bool {
        let broke = self.epoch == epoch && self.open && !open;
        if epoch <= self.epoch && !broke {
            return false;
        }
        let closed = self.closed_since(now);
        if open {
            let downtime = closed.map(|it| now.since(it));
            self.downtime = downtime.or(self.downtime);
            self.closed = None;
        } else {
            self.closed = closed.or(self.open.then_some(now));
        }
        (self.epoch, self.open, self.halt) = (epoch, open, None);
        true
    }

    /// Takes in that a rank's process is gone. Returns whether that halts the
    /// group.
    pub fn halt(&mut self, epoch: u64, now: Millis) -> bool {
        let halts = self.epoch == epoch && self.open && self.halt.is_none();
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
        self.open && self.halted(now).is_none()
    }

    /// When it is expected to take requests again; nothing if it does now, or
    /// if nobody can tell.
    pub fn expected_open(&self, now: Millis) -> Option<Millis> {
        let expected = self.closed_since(now)? + self.downtime?;
        (expected > now).then_some(expected)
    }

    /// For how long it was closed before it opened last, if that was seen.
    pub fn downtime(&self) -> Option<Millis> {
        self.downtime
    }

    fn closed_since(&self, now: Millis) -> Option<Millis> {
        self.closed.or(self.halted(now))
    }

    fn halted(&self, now: Millis) -> Option<Millis> {
        let halt = self.halt.filter(|it| now.since(it.at) < HALT_TTL);
        halt.map(|it| it.at)
    }
}
