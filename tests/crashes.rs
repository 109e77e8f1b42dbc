//! Explores how crash-inducing and harmless requests interact on the ranks of
//! a small lock-step group: which requests run together, which of them have
//! begun to answer when the group crashes, and when suspensions expire.
//!
//! Checks the guarantees of the suspension. A crash-inducing request crashes
//! the group at most three times: once, again after 30 s, and a last time
//! after another 60 s. A request that some target has survived is not
//! suspended for a crash of the requests beside it, and is refused only after
//! as many crashes as a proven request is allowed.

use std::collections::BTreeSet;

use cowsliproad::{
    admission::quarantine::{
        ENDS, End, Ledger, PROVEN_ENDS, SUSPENSION_TTL, Verdict, Work,
    },
    kernel::clock::Millis,
};

/// How long the group takes to form again after a crash.
const FORMING_TIME: Millis = Millis(3_000);

/// How long a run without a crash takes.
const RUN_TIME: Millis = Millis(500);

const START: Millis = Millis(1_000_000);

/// A set of requests, as a bit mask over their numbers.
type RequestSet = u32;

/// An event in the group.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// Some requests run on one rank. If the rank crashes, the requests in
    /// `begun` had begun to answer before the crash.
    Run { requests: RequestSet, begun: RequestSet },
    /// No request runs until the next suspension expires.
    Wait,
}

/// The state of a group after some actions.
struct GroupState {
    /// The crash-inducing requests.
    crash_inducing: RequestSet,
    /// The number of requests.
    request_count: u32,
    ledger: Ledger,
    now: Millis,
    crashes: u64,
    /// The times of the crashes in which each request ran.
    crash_times: Vec<Vec<Millis>>,
    /// The requests that some target has survived.
    survived: RequestSet,
}

/// The part of a state that determines which actions may follow.
type StateKey = (Vec<(Verdict, usize)>, RequestSet);

impl GroupState {
    fn new(request_count: u32, crash_inducing: RequestSet) -> GroupState {
        GroupState {
            crash_inducing,
            request_count,
            ledger: Ledger::new(),
            now: START,
            crashes: 0,
            crash_times: vec![Vec::new(); request_count as usize],
            survived: 0,
        }
    }

    /// Returns the state to which some actions lead.
    fn replay(
        request_count: u32,
        crash_inducing: RequestSet,
        actions: &[Action],
    ) -> GroupState {
        let mut state = GroupState::new(request_count, crash_inducing);
        actions.iter().for_each(|it| state.apply(*it));
        state
    }

    fn work(number: u32) -> Work {
        Work::new(&[&number.to_be_bytes()])
    }

    fn verdict(&self, number: u32) -> Verdict {
        self.ledger.verdict(GroupState::work(number), self.now)
    }

    /// Returns the numbers of the requests in a set.
    fn numbers_in(
        &self,
        set: RequestSet,
    ) -> impl Iterator<Item = u32> + use<> {
        (0..self.request_count).filter(move |it| set >> it & 1 == 1)
    }

    /// Returns the requests that may run.
    fn runnable(&self) -> RequestSet {
        let runnable = |it: &u32| self.verdict(*it) == Verdict::Free;
        (0..self.request_count)
            .filter(runnable)
            .fold(0, |set, it| set | 1 << it)
    }

    /// Returns the actions that are possible in this state.
    fn actions(&self) -> Vec<Action> {
        let runnable = self.runnable();
        let mut actions = Vec::new();
        for requests in
            (1..1 << self.request_count).filter(|it| it & !runnable == 0)
        {
            let harmless = requests & !self.crash_inducing;
            let crashes = requests & self.crash_inducing != 0;
            let subsets =
                (0..1 << self.request_count).filter(|it| it & !harmless == 0);
            let begun = subsets.filter(|it| crashes || *it == 0);
            actions.extend(begun.map(|begun| Action::Run { requests, begun }));
        }
        if self.next_expiry().is_some() {
            actions.push(Action::Wait);
        }
        actions
    }

    /// Returns the time until the next suspension expires, if any.
    fn next_expiry(&self) -> Option<Millis> {
        let remaining = |it| match self.verdict(it) {
            Verdict::Suspended(remaining) => Some(remaining),
            Verdict::Free | Verdict::Refused(_) => None,
        };
        (0..self.request_count).filter_map(remaining).min()
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Wait => {
                let remaining = self.next_expiry().unwrap_or_default();
                self.now = self.now + remaining;
            }
            Action::Run { requests, .. }
                if requests & self.crash_inducing == 0 =>
            {
                for number in self.numbers_in(requests) {
                    self.ledger.outlived(GroupState::work(number), self.now);
                }
                self.survived |= requests;
                self.now = self.now + RUN_TIME;
            }
            Action::Run { requests, begun } => {
                let end = End::new("i-1", self.crashes);
                self.crashes += 1;
                for number in self.numbers_in(requests) {
                    let work = GroupState::work(number);
                    self.ledger.ended(work, end, self.now);
                    if begun >> number & 1 == 0 {
                        self.ledger.suspend(work, self.now);
                    }
                    self.crash_times[number as usize].push(self.now);
                }
                self.now = self.now + FORMING_TIME;
            }
        }
    }

    /// Checks the guarantees of the suspension after some actions.
    fn check(&self, actions: &[Action]) {
        for number in self.numbers_in(self.crash_inducing) {
            let times = &self.crash_times[number as usize];
            assert!(times.len() <= ENDS, "{actions:?}");
            for (index, pair) in times.windows(2).enumerate() {
                let min_gap = Millis(SUSPENSION_TTL.0 << index);
                assert!(pair[1].since(pair[0]) >= min_gap, "{actions:?}");
            }
        }
        for number in self.numbers_in(self.survived) {
            let ends = self.ledger.ends(GroupState::work(number));
            let is_refused = ends >= PROVEN_ENDS;
            let is_free = self.verdict(number) == Verdict::Free;
            assert!(is_free != is_refused, "{number}: {actions:?}");
        }
    }

    fn key(&self) -> StateKey {
        let requests = (0..self.request_count).map(|it| {
            (self.verdict(it), self.ledger.ends(GroupState::work(it)))
        });
        (requests.collect(), self.survived)
    }
}

/// Explores all states up to a number of actions. Returns the number of states
/// and the maximum number of crashes in any of them.
fn explore(
    request_count: u32,
    crash_inducing: RequestSet,
    depth: usize,
) -> (usize, u64) {
    let (mut visited, mut max_crashes) = (BTreeSet::new(), 0);
    let mut paths: Vec<Vec<Action>> = vec![Vec::new()];
    for _ in 0..=depth {
        let mut next = Vec::new();
        for path in paths {
            let state =
                GroupState::replay(request_count, crash_inducing, &path);
            state.check(&path);
            max_crashes = max_crashes.max(state.crashes);
            if !visited.insert(format!("{:?}", state.key())) {
                continue;
            }
            next.extend(state.actions().into_iter().map(|it| {
                let mut longer = path.clone();
                longer.push(it);
                longer
            }));
        }
        paths = next;
    }
    (visited.len(), max_crashes)
}

#[test]
fn a_request_crashes_its_group_at_most_three_times() {
    for (request_count, crash_inducing, depth) in
        [(2, 0b01, 12), (3, 0b001, 12), (3, 0b011, 14)]
    {
        let (states, crashes) = explore(request_count, crash_inducing, depth);
        let crash_inducing_count = crash_inducing.count_ones() as u64;
        println!(
            "{request_count} requests, {crash_inducing_count} crash-inducing: \
             {states} states, {crashes} crashes"
        );
        assert!(crashes <= crash_inducing_count * ENDS as u64);
    }
}
