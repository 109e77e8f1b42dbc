//! Explores every reachable state of a small group that switches expert maps.
//!
//! The group has three members. One scenario has two competing proposals, one
//! of which is from a stale coordinator; the other has one proposal, a crash
//! and a new generation. Messages stay in the network and may be delivered at
//! any time, any number of times or never, which covers loss, delay,
//! duplicates, reordering and pauses.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use cowsliproad::mapswitch::{
    Generation, Member, MemberAction, Proposal, Version, VoteMessage,
    WeightsStatus,
};

/// The number of steps that a member runs in one generation.
const STEPS_PER_GENERATION: u64 = 2;

/// The bound on the number of states in a scenario; a larger scenario would
/// take too long.
const MAX_STATES: usize = 600_000;

const OLD_MAP: Version = Version(0);
const FIRST_GENERATION: Generation = Generation(1);
const SECOND_GENERATION: Generation = Generation(2);

/// The current coordinator's proposal, then a paused, stale coordinator's
/// proposal.
const PROPOSALS: [Proposal; 2] = [
    Proposal {
        generation: FIRST_GENERATION,
        base: OLD_MAP,
        version: Version(1),
        boundary: 1,
    },
    Proposal {
        generation: FIRST_GENERATION,
        base: OLD_MAP,
        version: Version(2),
        boundary: 1,
    },
];

/// Which proposals are made and which faults occur in an exploration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scenario {
    /// Two competing proposals, and weights that load late.
    TwoProposals,
    /// One proposal, a crash and a new generation.
    CrashAndNewGeneration,
}

/// The state of the group and of the network between its members.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SystemState {
    /// The members by rank; `None` for a member that crashed.
    members: Vec<Option<Member>>,
    network: BTreeSet<VoteMessage>,
    /// The map with which each step of a generation was run.
    used_maps: BTreeMap<(Generation, u64), Version>,
}

impl SystemState {
    fn new(scenario: Scenario) -> SystemState {
        let count = match scenario {
            Scenario::TwoProposals => 2,
            Scenario::CrashAndNewGeneration => 1,
        };
        let proposals = PROPOSALS.into_iter().take(count);
        let member =
            |rank| Some(Member::new(rank, 3, FIRST_GENERATION, OLD_MAP));
        SystemState {
            members: (0..3).map(member).collect(),
            network: proposals.map(VoteMessage::VoteRequest).collect(),
            used_maps: BTreeMap::new(),
        }
    }

    /// Returns all states that one event in this state can lead to.
    fn next_states(&self, scenario: Scenario) -> Vec<SystemState> {
        let mut next_states = Vec::new();
        for rank in 0..self.members.len() {
            if self.members[rank].is_none() {
                continue;
            }
            next_states.extend(self.run_step(rank));
            if scenario == Scenario::CrashAndNewGeneration {
                next_states.extend(self.crash_member(rank));
                next_states.extend(self.join_next_generation(rank));
            }
            for message in &self.network {
                next_states.extend(self.deliver_message(
                    rank,
                    *message,
                    WeightsStatus::Loaded,
                ));
                let may_load_late = scenario == Scenario::TwoProposals
                    && matches!(message, VoteMessage::VoteRequest(_));
                if may_load_late {
                    let missing = WeightsStatus::Missing;
                    next_states
                        .extend(self.deliver_message(rank, *message, missing));
                }
            }
        }
        next_states
    }

    fn run_step(&self, rank: usize) -> Option<SystemState> {
        let mut next = self.clone();
        let member = next.members[rank].as_mut()?;
        if member.next_step_number() >= STEPS_PER_GENERATION {
            return None;
        }
        let step = (member.generation(), member.next_step_number());
        let map = member.run_step_and_get_map()?;
        let first_map = *next.used_maps.entry(step).or_insert(map);
        assert_eq!(first_map, map, "two maps in step {step:?}: {self:?}");
        Some(next)
    }

    fn crash_member(&self, rank: usize) -> Option<SystemState> {
        if self.members.iter().any(Option::is_none) {
            return None;
        }
        let mut next = self.clone();
        next.members[rank] = None;
        Some(next)
    }

    fn join_next_generation(&self, rank: usize) -> Option<SystemState> {
        let mut next = self.clone();
        let member = next.members[rank].as_mut()?;
        if member.generation() == SECOND_GENERATION {
            return None;
        }
        member.join_generation(SECOND_GENERATION, OLD_MAP);
        Some(next)
    }

    fn deliver_message(
        &self,
        rank: usize,
        message: VoteMessage,
        weights: WeightsStatus,
    ) -> Option<SystemState> {
        let mut next = self.clone();
        let member = next.members[rank].as_mut()?;
        next.network.extend(member.handle_message(message, weights));
        Some(next)
    }

    /// Delivers every message to every member and runs the members' steps,
    /// until the state no longer changes.
    fn run_until_stable(mut self) -> SystemState {
        loop {
            let before = self.clone();
            for rank in 0..self.members.len() {
                for message in self.network.clone() {
                    let next = self.deliver_message(
                        rank,
                        message,
                        WeightsStatus::Loaded,
                    );
                    self = next.unwrap_or(self);
                }
                let next = self.run_step(rank);
                self = next.unwrap_or(self);
            }
            if self == before {
                return self;
            }
        }
    }
}

/// Returns every reachable state of a scenario.
fn reachable_states(scenario: Scenario) -> HashSet<SystemState> {
    let mut visited = HashSet::from([SystemState::new(scenario)]);
    let mut unexplored = VecDeque::from([SystemState::new(scenario)]);
    while let Some(state) = unexplored.pop_front() {
        assert!(
            visited.len() < MAX_STATES,
            "the scenario has too many states"
        );
        for next in state.next_states(scenario) {
            if visited.insert(next.clone()) {
                unexplored.push_back(next);
            }
        }
    }
    visited
}

/// Checks for all states of a scenario that no step uses two maps, that no
/// member is blocked if all members are alive and in one generation, and that
/// some state uses the proposed map.
fn check_scenario(scenario: Scenario) {
    let states = reachable_states(scenario);
    eprintln!("{scenario:?}: {} states", states.len());
    // A scenario with too few states would pass without showing anything.
    assert!(states.len() > 5_000, "{} states", states.len());
    let committed = states
        .iter()
        .any(|state| state.used_maps.values().any(|map| *map == Version(1)));
    assert!(committed, "no state uses the proposed map");
    for state in &states {
        let is_complete = state.members.iter().all(Option::is_some);
        let generations: HashSet<Generation> =
            state.members.iter().flatten().map(Member::generation).collect();
        if !is_complete || generations.len() > 1 {
            continue;
        }
        let end_state = state.clone().run_until_stable();
        for member in end_state.members.iter().flatten() {
            assert_eq!(
                member.next_step_number(),
                STEPS_PER_GENERATION,
                "a member is blocked: {state:?}"
            );
        }
    }
}

#[test]
fn competing_proposals_mix_no_maps_and_block_no_member() {
    check_scenario(Scenario::TwoProposals);
}

#[test]
fn a_crash_and_a_new_generation_mix_no_maps() {
    check_scenario(Scenario::CrashAndNewGeneration);
}

#[test]
fn a_new_generation_releases_members_held_by_a_crash() {
    let mut state = SystemState::new(Scenario::CrashAndNewGeneration);
    let ask = VoteMessage::VoteRequest(PROPOSALS[0]);
    for rank in 0..2 {
        state = state
            .deliver_message(rank, ask, WeightsStatus::Loaded)
            .expect("alive");
        state = state.run_step(rank).expect("before the boundary");
    }
    state = state.crash_member(2).expect("the first crash");
    let held_state = state.clone().run_until_stable();
    let member = held_state.members[0].as_ref().expect("alive");
    assert_eq!(member.next_action(), MemberAction::Hold(PROPOSALS[0]));
    for rank in 0..2 {
        state = state.join_next_generation(rank).expect("alive");
    }
    let end_state = state.run_until_stable();
    let member = end_state.members[0].as_ref().expect("alive");
    assert_eq!(member.next_step_number(), STEPS_PER_GENERATION);
}

#[test]
fn a_member_ignores_messages_of_an_older_generation() {
    let mut member = Member::new(0, 3, FIRST_GENERATION, OLD_MAP);
    member.join_generation(SECOND_GENERATION, OLD_MAP);
    let ask = VoteMessage::VoteRequest(PROPOSALS[0]);
    assert_eq!(member.handle_message(ask, WeightsStatus::Loaded), None);
    member.join_generation(FIRST_GENERATION, Version(9));
    assert_eq!(member.generation(), SECOND_GENERATION);
}
