//! Explores every reachable state of two agents that acquire fencing numbers.
//!
//! The agents append records to a log and derive numbers from the records'
//! positions. An append may be executed at any time after its call and
//! answered at any time after that. The log may be restored from a copy of any
//! length at any time, twice. Agents learn the log's era early, late or never,
//! and may restart without any knowledge. An agent with a number sends orders
//! at any later time. In every reachable state, no number is assigned twice,
//! and no engine that has accepted an order of a later coordinator accepts an
//! order of an earlier one.

use std::collections::{HashSet, VecDeque};

use cowsliproad::{
    kernel::position::{Era, Position},
    mapswitch::order::fence,
};

const AGENTS: usize = 2;

/// The maximum number of append calls of both agents together.
const MAX_CALLS: u8 = 4;

const MAX_ROLLBACKS: u64 = 2;

/// Derives a fencing number from a record's position and the era that the
/// agent knew before its call; `None` if the agent must not use the record.
type NumberRule = fn(Position, Era) -> Option<u64>;

/// An append call that has not been answered.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Call {
    Sent { known_era: u64 },
    Executed { known_era: u64, offset: u64, sequence: u8 },
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Agent {
    known_era: u64,
    call: Option<Call>,
    /// The agent's fencing number, and the sequence number of its record.
    number: Option<(u64, u8)>,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct SystemState {
    era: u64,
    log_length: u64,
    /// The number of records appended so far, including those lost in
    /// rollbacks.
    appended: u8,
    calls_made: u8,
    agents: [Agent; AGENTS],
    /// All fencing numbers assigned, with the sequence numbers of their
    /// records.
    numbers: Vec<(u64, u8)>,
    /// The highest fencing number that the engine has seen, and the highest
    /// record sequence number of a coordinator whose order it accepted.
    engine: (u64, u8),
    /// Whether the invariant has been violated.
    is_violated: bool,
}

impl SystemState {
    fn successors(&self, rule: NumberRule) -> Vec<SystemState> {
        let mut successors = Vec::new();
        let mut add_successor = |event: &dyn Fn(&mut SystemState)| {
            let mut state = self.clone();
            event(&mut state);
            successors.push(state);
        };
        if self.era < MAX_ROLLBACKS {
            for log_length in 0..=self.log_length {
                add_successor(&|it| {
                    it.era += 1;
                    it.log_length = log_length;
                });
            }
        }
        for (index, agent) in self.agents.iter().enumerate() {
            add_successor(&|it| it.agents[index].known_era = it.era);
            add_successor(&|it| it.agents[index] = Agent::default());
            if let Some((number, sequence)) = agent.number {
                add_successor(&|it| it.execute_order(number, sequence));
            }
            match agent.call {
                None if self.calls_made < MAX_CALLS => add_successor(&|it| {
                    it.calls_made += 1;
                    let known_era = it.agents[index].known_era;
                    it.agents[index].call = Some(Call::Sent { known_era });
                }),
                None => {}
                Some(Call::Sent { known_era }) => add_successor(&|it| {
                    it.appended += 1;
                    let (offset, sequence) = (it.log_length, it.appended);
                    let call = Call::Executed { known_era, offset, sequence };
                    it.agents[index].call = Some(call);
                    it.log_length += 1;
                }),
                Some(Call::Executed { known_era, offset, sequence }) => {
                    add_successor(&|it| {
                        let record = Position::new(Era(it.era), offset);
                        let agent = &mut it.agents[index];
                        agent.call = None;
                        agent.known_era = it.era;
                        if let Some(number) = rule(record, Era(known_era)) {
                            agent.number = Some((number, sequence));
                            it.assign_number(number, sequence);
                        }
                    })
                }
            }
        }
        successors
    }

    fn assign_number(&mut self, number: u64, sequence: u8) {
        let is_out_of_order =
            |it: &(u64, u8)| (it.0 < number) != (it.1 < sequence);
        self.is_violated |= self.numbers.iter().any(is_out_of_order);
        self.numbers.push((number, sequence));
        self.numbers.sort_unstable();
    }

    fn execute_order(&mut self, number: u64, sequence: u8) {
        let (fence, latest_sequence) = self.engine;
        if number < fence {
            return;
        }
        self.is_violated |= sequence < latest_sequence;
        self.engine = (number, sequence.max(latest_sequence));
    }
}

/// Returns whether a rule violates the invariant, and the number of states
/// explored.
fn explore(rule: NumberRule) -> (bool, usize) {
    let initial = SystemState::default();
    let mut visited = HashSet::from([initial.clone()]);
    let mut unexplored = VecDeque::from([initial]);
    while let Some(state) = unexplored.pop_front() {
        for next in state.successors(rule) {
            if next.is_violated {
                return (true, visited.len());
            }
            if visited.insert(next.clone()) {
                unexplored.push_back(next);
            }
        }
    }
    (false, visited.len())
}

/// Guards against two coordinators that get the same number across a rollback
/// of the log.
#[test]
fn no_fencing_number_is_assigned_twice() {
    let (is_violated, states) = explore(|record, known_era| {
        fence::is_unique(record, known_era)
            .then(|| fence::fencing_number(record))?
    });
    assert!(!is_violated);
    assert!(states > 10_000, "{states}");
}

/// Checks that the exploration detects duplicate numbers.
#[test]
fn offsets_alone_are_assigned_twice() {
    assert!(explore(|record, _| Some(record.offset + 1)).0);
}

#[test]
fn an_era_learned_after_the_call_is_not_enough() {
    assert!(explore(|record, _| fence::fencing_number(record)).0);
}

#[test]
fn exhausted_fencing_numbers_are_none() {
    let position = |era, offset| Position::new(Era(era), offset);
    assert_eq!(fence::fencing_number(position(0, 0)), Some(1));
    assert!(
        fence::fencing_number(position(1, 0))
            > fence::fencing_number(position(0, 1_000_000))
    );
    assert_eq!(fence::fencing_number(position(0, u64::MAX)), None);
    assert_eq!(fence::fencing_number(position(u64::MAX, 0)), None);
    assert_eq!(fence::fencing_number(position(0, 1 << 24)), None);
}
