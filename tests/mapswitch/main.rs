//! The switch of expert maps, explored completely in a small scope.
//!
//! Three members, in two scopes: two competing proposals, as of a stale
//! coordinator; and one proposal with a crash and a new generation. Messages
//! stay in the network for ever and may be taken in at any time, any number
//! of times or never, which covers loss, delay, duplicates, reordering and
//! pauses.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use cowsliproad::mapswitch::{
    Generation, Member, Message, NextStep, Proposal, Version, Weights,
};

/// Steps that a member runs in a generation.
const LAST_STEP: u64 = 2;

/// More worlds than a scope has; a larger one would take too long.
const MAX_WORLDS: usize = 600_000;

const OLD: Version = Version(0);
const FIRST: Generation = Generation(1);
const SECOND: Generation = Generation(2);

/// The coordinator's proposal and one of a paused, stale coordinator.
const PROPOSALS: [Proposal; 2] = [
    Proposal {
        generation: FIRST,
        base: OLD,
        version: Version(1),
        boundary: 1,
    },
    Proposal {
        generation: FIRST,
        base: OLD,
        version: Version(2),
        boundary: 1,
    },
];

/// What may happen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    /// Two proposals and late weights.
    TwoProposals,
    /// One proposal, a crash and a new generation.
    CrashAndRenewal,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    /// The members that are alive.
    members: Vec<Option<Member>>,
    network: BTreeSet<Message>,
    /// The map that each step was run with.
    used: BTreeMap<(Generation, u64), Version>,
}

impl World {
    fn new(scope: Scope) -> World {
        let count = match scope {
            Scope::TwoProposals => 2,
            Scope::CrashAndRenewal => 1,
        };
        let proposals = PROPOSALS.into_iter().take(count);
        let member = |rank| Some(Member::new(rank, 3, FIRST, OLD));
        World {
            members: (0..3).map(member).collect(),
            network: proposals.map(Message::Ask).collect(),
            used: BTreeMap::new(),
        }
    }

    /// All worlds that one event leads to.
    fn successors(&self, scope: Scope) -> Vec<World> {
        let mut found = Vec::new();
        for rank in 0..self.members.len() {
            if self.members[rank].is_none() {
                continue;
            }
            found.extend(self.step(rank));
            if scope == Scope::CrashAndRenewal {
                found.extend(self.crash(rank));
                found.extend(self.renew(rank));
            }
            for message in &self.network {
                found.extend(self.deliver(rank, *message, Weights::Loaded));
                let late = scope == Scope::TwoProposals
                    && matches!(message, Message::Ask(_));
                if late {
                    let missing = Weights::Missing;
                    found.extend(self.deliver(rank, *message, missing));
                }
            }
        }
        found
    }

    fn step(&self, rank: usize) -> Option<World> {
        let mut next = self.clone();
        let member = next.members[rank].as_mut()?;
        if member.step() >= LAST_STEP {
            return None;
        }
        let place = (member.generation(), member.step());
        let map = member.run_step()?;
        let first = *next.used.entry(place).or_insert(map);
        assert_eq!(first, map, "two maps in step {place:?}: {self:?}");
        Some(next)
    }

    fn crash(&self, rank: usize) -> Option<World> {
        if self.members.iter().any(Option::is_none) {
            return None;
        }
        let mut next = self.clone();
        next.members[rank] = None;
        Some(next)
    }

    fn renew(&self, rank: usize) -> Option<World> {
        let mut next = self.clone();
        let member = next.members[rank].as_mut()?;
        if member.generation() == SECOND {
            return None;
        }
        member.join_generation(SECOND, OLD);
        Some(next)
    }

    fn deliver(
        &self,
        rank: usize,
        message: Message,
        weights: Weights,
    ) -> Option<World> {
        let mut next = self.clone();
        let member = next.members[rank].as_mut()?;
        next.network.extend(member.handle(message, weights));
        Some(next)
    }

    /// Delivers everything to everyone until nothing changes, then steps.
    fn run_fairly(mut self) -> World {
        loop {
            let before = self.clone();
            for rank in 0..self.members.len() {
                for message in self.network.clone() {
                    let next = self.deliver(rank, message, Weights::Loaded);
                    self = next.unwrap_or(self);
                }
                let next = self.step(rank);
                self = next.unwrap_or(self);
            }
            if self == before {
                return self;
            }
        }
    }
}

/// Every world that can be reached.
fn explore(scope: Scope) -> HashSet<World> {
    let mut seen = HashSet::from([World::new(scope)]);
    let mut open = VecDeque::from([World::new(scope)]);
    while let Some(world) = open.pop_front() {
        assert!(seen.len() < MAX_WORLDS, "the scope is too large");
        for next in world.successors(scope) {
            if seen.insert(next.clone()) {
                open.push_back(next);
            }
        }
    }
    seen
}

fn check(scope: Scope) {
    let worlds = explore(scope);
    eprintln!("{scope:?}: {} worlds", worlds.len());
    // A scope so small that it shows nothing would pass as well.
    assert!(worlds.len() > 5_000, "{} worlds", worlds.len());
    let committed = worlds
        .iter()
        .any(|world| world.used.values().any(|map| *map == Version(1)));
    assert!(committed, "no world uses the proposed map");
    for world in &worlds {
        let whole = world.members.iter().all(Option::is_some);
        let generations: HashSet<Generation> =
            world.members.iter().flatten().map(Member::generation).collect();
        if !whole || generations.len() > 1 {
            continue;
        }
        let end = world.clone().run_fairly();
        for member in end.members.iter().flatten() {
            assert_eq!(member.step(), LAST_STEP, "stuck: {world:?}");
        }
    }
}

#[test]
fn competing_proposals_mix_no_maps_and_leave_nobody_stuck() {
    check(Scope::TwoProposals);
}

#[test]
fn a_crash_and_a_new_generation_mix_no_maps() {
    check(Scope::CrashAndRenewal);
}

#[test]
fn a_crash_leaves_the_others_free_in_a_new_generation() {
    let mut world = World::new(Scope::CrashAndRenewal);
    let ask = Message::Ask(PROPOSALS[0]);
    for rank in 0..2 {
        world = world.deliver(rank, ask, Weights::Loaded).expect("alive");
        world = world.step(rank).expect("before the boundary");
    }
    world = world.crash(2).expect("the first crash");
    let held = world.clone().run_fairly();
    let member = held.members[0].as_ref().expect("alive");
    assert_eq!(member.next_step(), NextStep::Hold(PROPOSALS[0]));
    for rank in 0..2 {
        world = world.renew(rank).expect("alive");
    }
    let end = world.run_fairly();
    let member = end.members[0].as_ref().expect("alive");
    assert_eq!(member.step(), LAST_STEP);
}

#[test]
fn a_member_that_moved_on_takes_nothing_of_the_old_generation() {
    let mut member = Member::new(0, 3, FIRST, OLD);
    member.join_generation(SECOND, OLD);
    let ask = Message::Ask(PROPOSALS[0]);
    assert_eq!(member.handle(ask, Weights::Loaded), None);
    member.join_generation(FIRST, Version(9));
    assert_eq!(member.generation(), SECOND);
}
