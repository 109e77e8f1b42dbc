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
    kernel::position::{LogEra, LogPosition},
    mapswitch::order::fence,
};

const AGENT_COUNT: usize = 2;

/// The maximum number of calls by both agents that append a record.
const MAX_APPEND_CALLS: u8 = 4;

const MAX_LOG_ROLLBACKS: u64 = 2;

/// Derives a fencing number from a record's position and the log's era that
/// the agent knew before its call; `None` if the agent must not use the
/// record.
type FencingNumberRule = fn(LogPosition, LogEra) -> Option<u64>;

/// An unanswered call that appends a record to the log.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum AppendCall {
    Sent { known_era: u64 },
    Executed { known_era: u64, offset: u64, record_sequence: u8 },
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Agent {
    known_era: u64,
    append_call: Option<AppendCall>,
    /// The agent's fencing number, with the sequence number (the place in the
    /// order of execution) of the log record that gave the number.
    fencing_number: Option<(u64, u8)>,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct SystemState {
    era: u64,
    log_length: u64,
    /// The number of records appended so far, including records lost in
    /// rollbacks; also the sequence number of the last record.
    appended_records: u8,
    append_calls_made: u8,
    agents: [Agent; AGENT_COUNT],
    /// All assigned fencing numbers, each with the sequence number of the log
    /// record that gave the number.
    assigned_numbers: Vec<(u64, u8)>,
    /// The highest fencing number that the engine has seen, and the highest
    /// sequence number of the records of coordinators whose order it accepted.
    engine_highest_seen: (u64, u8),
    /// Whether a rule was broken: a fencing number was assigned twice or out of
    /// order, or the engine obeyed a coordinator after it had obeyed a later
    /// one.
    is_violated: bool,
}

impl SystemState {
    fn next_states(&self, rule: FencingNumberRule) -> Vec<SystemState> {
        let mut next_states = Vec::new();
        let mut add_next_state = |event: &dyn Fn(&mut SystemState)| {
            let mut state = self.clone();
            event(&mut state);
            next_states.push(state);
        };
        if self.era < MAX_LOG_ROLLBACKS {
            for log_length in 0..=self.log_length {
                add_next_state(&|it| {
                    it.era += 1;
                    it.log_length = log_length;
                });
            }
        }
        for (index, agent) in self.agents.iter().enumerate() {
            add_next_state(&|it| it.agents[index].known_era = it.era);
            add_next_state(&|it| it.agents[index] = Agent::default());
            if let Some((fencing_number, record_sequence)) =
                agent.fencing_number
            {
                add_next_state(&|it| {
                    it.execute_order(fencing_number, record_sequence)
                });
            }
            match agent.append_call {
                None if self.append_calls_made < MAX_APPEND_CALLS => {
                    add_next_state(&|it| {
                        it.append_calls_made += 1;
                        let known_era = it.agents[index].known_era;
                        it.agents[index].append_call =
                            Some(AppendCall::Sent { known_era });
                    })
                }
                None => {}
                Some(AppendCall::Sent { known_era }) => {
                    add_next_state(&|it| {
                        it.appended_records += 1;
                        let (offset, record_sequence) =
                            (it.log_length, it.appended_records);
                        let call = AppendCall::Executed {
                            known_era,
                            offset,
                            record_sequence,
                        };
                        it.agents[index].append_call = Some(call);
                        it.log_length += 1;
                    })
                }
                Some(AppendCall::Executed {
                    known_era,
                    offset,
                    record_sequence,
                }) => add_next_state(&|it| {
                    let record = LogPosition::new(LogEra(it.era), offset);
                    let agent = &mut it.agents[index];
                    agent.append_call = None;
                    agent.known_era = it.era;
                    if let Some(fencing_number) =
                        rule(record, LogEra(known_era))
                    {
                        agent.fencing_number =
                            Some((fencing_number, record_sequence));
                        it.assign_fencing_number(
                            fencing_number,
                            record_sequence,
                        );
                    }
                }),
            }
        }
        next_states
    }

    fn assign_fencing_number(
        &mut self,
        fencing_number: u64,
        record_sequence: u8,
    ) {
        let is_out_of_order = |it: &(u64, u8)| {
            (it.0 < fencing_number) != (it.1 < record_sequence)
        };
        self.is_violated |= self.assigned_numbers.iter().any(is_out_of_order);
        self.assigned_numbers.push((fencing_number, record_sequence));
        self.assigned_numbers.sort_unstable();
    }

    fn execute_order(&mut self, fencing_number: u64, record_sequence: u8) {
        let (fence, latest_record_sequence) = self.engine_highest_seen;
        if fencing_number < fence {
            return;
        }
        self.is_violated |= record_sequence < latest_record_sequence;
        self.engine_highest_seen =
            (fencing_number, record_sequence.max(latest_record_sequence));
    }
}

/// Explores the states that are reachable with a rule. Returns whether a state
/// violates the invariant on fencing numbers, and the number of states visited
/// until then.
fn find_violation(rule: FencingNumberRule) -> (bool, usize) {
    let initial = SystemState::default();
    let mut visited = HashSet::from([initial.clone()]);
    let mut unexplored = VecDeque::from([initial]);
    while let Some(state) = unexplored.pop_front() {
        for next in state.next_states(rule) {
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

/// Guards against two coordinators that get the same fencing number because
/// the log was rolled back in between.
#[test]
fn no_fencing_number_is_assigned_twice() {
    let (is_violated, states) = find_violation(|record, known_era| {
        fence::is_position_unique(record, known_era)
            .then(|| fence::fencing_number(record))?
    });
    assert!(!is_violated);
    assert!(states > 10_000, "{states}");
}

/// Checks that the exploration detects duplicate fencing numbers: without the
/// log's era, a record offset is assigned again after a rollback.
#[test]
fn offset_alone_as_fencing_number_is_assigned_twice() {
    assert!(find_violation(|record, _| Some(record.offset + 1)).0);
}

#[test]
fn numbers_are_reused_if_the_era_is_read_after_the_call() {
    assert!(find_violation(|record, _| fence::fencing_number(record)).0);
}

#[test]
fn exhausted_fencing_numbers_are_none() {
    let position = |era, offset| LogPosition::new(LogEra(era), offset);
    assert_eq!(fence::fencing_number(position(0, 0)), Some(1));
    assert!(
        fence::fencing_number(position(1, 0))
            > fence::fencing_number(position(0, 1_000_000))
    );
    assert_eq!(fence::fencing_number(position(0, u64::MAX)), None);
    assert_eq!(fence::fencing_number(position(u64::MAX, 0)), None);
    assert_eq!(fence::fencing_number(position(0, 1 << 24)), None);
}
