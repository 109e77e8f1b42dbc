//! Fencing numbers of coordinators, explored completely in a small scope.
//!
//! Two agents append records to a log and take numbers from their places. An
//! append may be executed at any time after its call and answered at any time
//! after that; the log may come back from a copy of any length at any point,
//! twice; agents learn of its era early, late or never, and may start again
//! knowing nothing. Whoever has a number gives orders at any later time. In
//! every world that can come of it, no number is had twice, and no engine
//! that has taken an order of a later coordinator takes one of an earlier.

use std::collections::{HashSet, VecDeque};

use cowsliproad::{
    kernel::position::{LogEra, LogPosition},
    mapswitch::order::fence,
};

const AGENTS: usize = 2;

/// Calls of both agents together.
const MAX_CALLS: u8 = 4;

const MAX_ROLLBACKS: u64 = 2;

/// The number that an agent takes from a record, if it takes one.
type Rule = fn(LogPosition, LogEra) -> Option<u64>;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Call {
    Sent { known: u64 },
    Executed { known: u64, offset: u64, turn: u8 },
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Agent {
    known: u64,
    call: Option<Call>,
    /// Its number, and the turn in which the record was appended.
    number: Option<(u64, u8)>,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct World {
    era: u64,
    length: u64,
    /// Records that were appended so far, those that are gone included.
    turns: u8,
    calls: u8,
    agents: [Agent; AGENTS],
    /// All numbers that were taken, with their turns.
    numbers: Vec<(u64, u8)>,
    /// The highest number that the engine has seen, and the latest turn that
    /// it took an order of.
    engine: (u64, u8),
    is_broken: bool,
}

impl World {
    fn followers(&self, rule: Rule) -> Vec<World> {
        let mut followers = Vec::new();
        let mut next = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            followers.push(world);
        };
        if self.era < MAX_ROLLBACKS {
            for length in 0..=self.length {
                next(&|it| {
                    it.era += 1;
                    it.length = length;
                });
            }
        }
        for (at, agent) in self.agents.iter().enumerate() {
            next(&|it| it.agents[at].known = it.era);
            next(&|it| it.agents[at] = Agent::default());
            if let Some((number, turn)) = agent.number {
                next(&|it| it.order(number, turn));
            }
            match agent.call {
                None if self.calls < MAX_CALLS => next(&|it| {
                    it.calls += 1;
                    let known = it.agents[at].known;
                    it.agents[at].call = Some(Call::Sent { known });
                }),
                None => {}
                Some(Call::Sent { known }) => next(&|it| {
                    it.turns += 1;
                    let (offset, turn) = (it.length, it.turns);
                    let call = Call::Executed { known, offset, turn };
                    it.agents[at].call = Some(call);
                    it.length += 1;
                }),
                Some(Call::Executed { known, offset, turn }) => next(&|it| {
                    let record = LogPosition::new(LogEra(it.era), offset);
                    let agent = &mut it.agents[at];
                    agent.call = None;
                    agent.known = it.era;
                    if let Some(number) = rule(record, LogEra(known)) {
                        agent.number = Some((number, turn));
                        it.take(number, turn);
                    }
                }),
            }
        }
        followers
    }

    fn take(&mut self, number: u64, turn: u8) {
        let contradicts = |it: &(u64, u8)| (it.0 < number) != (it.1 < turn);
        self.is_broken |= self.numbers.iter().any(contradicts);
        self.numbers.push((number, turn));
        self.numbers.sort_unstable();
    }

    fn order(&mut self, number: u64, turn: u8) {
        let (fence, latest) = self.engine;
        if number < fence {
            return;
        }
        self.is_broken |= turn < latest;
        self.engine = (number, turn.max(latest));
    }
}

/// Whether a rule breaks, and the worlds that were looked at.
fn explore(rule: Rule) -> (bool, usize) {
    let first = World::default();
    let mut seen = HashSet::from([first.clone()]);
    let mut due = VecDeque::from([first]);
    while let Some(world) = due.pop_front() {
        for next in world.followers(rule) {
            if next.is_broken {
                return (true, seen.len());
            }
            if seen.insert(next.clone()) {
                due.push_back(next);
            }
        }
    }
    (false, seen.len())
}

/// Guards against two coordinators with one number over a rollback.
#[test]
fn no_number_is_had_twice() {
    let (is_broken, worlds) = explore(|record, known| {
        fence::is_unique(record, known).then(|| fence::number(record))?
    });
    assert!(!is_broken);
    assert!(worlds > 10_000, "{worlds}");
}

/// The exploration finds what it is for.
#[test]
fn offsets_alone_are_had_twice() {
    assert!(explore(|record, _| Some(record.offset + 1)).0);
}

#[test]
fn an_era_that_was_unknown_before_the_call_is_not_enough() {
    assert!(explore(|record, _| fence::number(record)).0);
}

#[test]
fn numbers_that_ran_out_are_none() {
    let at = |era, offset| LogPosition::new(LogEra(era), offset);
    assert_eq!(fence::number(at(0, 0)), Some(1));
    assert!(fence::number(at(1, 0)) > fence::number(at(0, 1_000_000)));
    assert_eq!(fence::number(at(0, u64::MAX)), None);
    assert_eq!(fence::number(at(u64::MAX, 0)), None);
    assert_eq!(fence::number(at(0, 1 << 24)), None);
}
