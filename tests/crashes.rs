//! Every way in which requests that crash their target and others meet on the
//! ranks of one lock-step group, in small: which run together, which of them
//! had begun to answer at a crash, and who waits for a suspension to end.
//!
//! Checked is what the suspension promises: a request crashes the group once,
//! again after 30 s, a last time after 60 s more; what some target outlived is
//! not suspended for what it ran beside, and refused only after as many ends as
//! proven work takes.

use std::collections::BTreeSet;

use cowsliproad::{
    admission::quarantine::{
        CRASH_THRESHOLD, CrashId, CrashLedger, QuarantineVerdict,
        SURVIVED_CRASH_THRESHOLD, SUSPENSION_TTL, WorkDigest,
    },
    kernel::clock::Millis,
};

/// How long the group takes to form again.
const FORMING: Millis = Millis(3_000);

/// How long a run takes that crashes nothing.
const RUN: Millis = Millis(500);

const START: Millis = Millis(1_000_000);

/// Works by their places in bit masks.
type Mask = u32;

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// These run on one rank, and these of them have begun to answer before it
    /// crashes, if it does.
    Run { works: Mask, begun: Mask },
    /// Nothing runs until a suspension ends.
    Wait,
}

/// A group after some actions.
struct World {
    poison: Mask,
    count: u32,
    ledger: CrashLedger,
    now: Millis,
    crashes: u64,
    /// When each work was in a crash.
    crashed: Vec<Vec<Millis>>,
    outlived: Mask,
}

/// What of a world decides what may follow.
type Key = (Vec<(QuarantineVerdict, usize)>, Mask);

impl World {
    fn new(count: u32, poison: Mask) -> World {
        World {
            poison,
            count,
            ledger: CrashLedger::new(),
            now: START,
            crashes: 0,
            crashed: vec![Vec::new(); count as usize],
            outlived: 0,
        }
    }

    /// The world that some actions lead to.
    fn replay(count: u32, poison: Mask, actions: &[Action]) -> World {
        let mut world = World::new(count, poison);
        actions.iter().for_each(|it| world.act(*it));
        world
    }

    fn work(number: u32) -> WorkDigest {
        WorkDigest::new(&[&number.to_be_bytes()])
    }

    fn verdict(&self, number: u32) -> QuarantineVerdict {
        self.ledger.verdict(World::work(number), self.now)
    }

    fn members(&self, mask: Mask) -> impl Iterator<Item = u32> + use<> {
        (0..self.count).filter(move |it| mask >> it & 1 == 1)
    }

    fn free(&self) -> Mask {
        let free = |it: &u32| self.verdict(*it) == QuarantineVerdict::Allowed;
        (0..self.count).filter(free).fold(0, |mask, it| mask | 1 << it)
    }

    fn actions(&self) -> Vec<Action> {
        let free = self.free();
        let mut actions = Vec::new();
        for works in (1..1 << self.count).filter(|it| it & !free == 0) {
            let innocent = works & !self.poison;
            let crashes = works & self.poison != 0;
            let masks = (0..1 << self.count).filter(|it| it & !innocent == 0);
            let begun = masks.filter(|it| crashes || *it == 0);
            actions.extend(begun.map(|begun| Action::Run { works, begun }));
        }
        if self.next_end().is_some() {
            actions.push(Action::Wait);
        }
        actions
    }

    /// How long the suspension lasts that ends first.
    fn next_end(&self) -> Option<Millis> {
        let left = |it| match self.verdict(it) {
            QuarantineVerdict::Suspended(left) => Some(left),
            QuarantineVerdict::Allowed | QuarantineVerdict::Refused(_) => None,
        };
        (0..self.count).filter_map(left).min()
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Wait => {
                let left = self.next_end().unwrap_or_default();
                self.now = self.now + left;
            }
            Action::Run { works, .. } if works & self.poison == 0 => {
                for number in self.members(works) {
                    self.ledger.record_survival(World::work(number), self.now);
                }
                self.outlived |= works;
                self.now = self.now + RUN;
            }
            Action::Run { works, begun } => {
                let end = CrashId::new("i-1", self.crashes);
                self.crashes += 1;
                for number in self.members(works) {
                    let work = World::work(number);
                    self.ledger.record_crash(work, end, self.now);
                    if begun >> number & 1 == 0 {
                        self.ledger.suspend_request(work, self.now);
                    }
                    self.crashed[number as usize].push(self.now);
                }
                self.now = self.now + FORMING;
            }
        }
    }

    fn check(&self, actions: &[Action]) {
        for number in self.members(self.poison) {
            let times = &self.crashed[number as usize];
            assert!(times.len() <= CRASH_THRESHOLD, "{actions:?}");
            for (gap, pair) in times.windows(2).enumerate() {
                let least = Millis(SUSPENSION_TTL.0 << gap);
                assert!(pair[1].since(pair[0]) >= least, "{actions:?}");
            }
        }
        for number in self.members(self.outlived) {
            let ends = self.ledger.crash_count(World::work(number));
            let is_refused = ends >= SURVIVED_CRASH_THRESHOLD;
            let is_free = self.verdict(number) == QuarantineVerdict::Allowed;
            assert!(is_free != is_refused, "{number}: {actions:?}");
        }
    }

    fn key(&self) -> Key {
        let works = (0..self.count).map(|it| {
            (self.verdict(it), self.ledger.crash_count(World::work(it)))
        });
        (works.collect(), self.outlived)
    }
}

/// Explores all worlds up to a number of actions. Returns how many there are
/// and the most crashes of one.
fn explore(count: u32, poison: Mask, depth: usize) -> (usize, u64) {
    let (mut seen, mut most) = (BTreeSet::new(), 0);
    let mut paths: Vec<Vec<Action>> = vec![Vec::new()];
    for _ in 0..=depth {
        let mut next = Vec::new();
        for path in paths {
            let world = World::replay(count, poison, &path);
            world.check(&path);
            most = most.max(world.crashes);
            if !seen.insert(format!("{:?}", world.key())) {
                continue;
            }
            next.extend(world.actions().into_iter().map(|it| {
                let mut longer = path.clone();
                longer.push(it);
                longer
            }));
        }
        paths = next;
    }
    (seen.len(), most)
}

#[test]
fn a_request_crashes_its_group_three_times_at_most_and_seldom() {
    for (count, poison, depth) in
        [(2, 0b01, 12), (3, 0b001, 12), (3, 0b011, 14)]
    {
        let (worlds, crashes) = explore(count, poison, depth);
        let poisonous = poison.count_ones() as u64;
        println!(
            "{count} works, {poisonous} crash: {worlds} worlds, {crashes}"
        );
        assert!(crashes <= poisonous * CRASH_THRESHOLD as u64);
    }
}
