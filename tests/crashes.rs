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
        CRASH_THRESHOLD, CrashId, CrashLedger, QuarantineVerdict,
        SURVIVED_REQUEST_CRASH_THRESHOLD, SUSPENSION_TTL, WorkDigest,
    },
    kernel::clock::Millis,
};

/// How long the group takes to form again after a crash.
const GROUP_FORMING_TIME: Millis = Millis(3_000);

/// How long requests run that don't crash the group.
const RUN_TIME_OF_HARMLESS_REQUEST: Millis = Millis(500);

const START_TIME: Millis = Millis(1_000_000);

/// A set of requests, as a bit mask over the request numbers.
type RequestBitSet = u32;

/// An event in the explored group: a set of requests runs, or time passes until
/// a suspension expires.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// Some requests run on one rank. If the rank crashes, the requests in
    /// `answering` had begun to answer before the crash.
    Run { requests: RequestBitSet, answering: RequestBitSet },
    /// No request runs until the next suspension expires.
    Wait,
}

/// The state of a group after some actions.
struct ExploredState {
    /// The crash-inducing requests.
    crash_inducing: RequestBitSet,
    /// The number of requests.
    request_count: u32,
    ledger: CrashLedger,
    now: Millis,
    crash_count: u64,
    /// The times of the crashes in which each request ran.
    crash_times: Vec<Vec<Millis>>,
    /// The requests that some target has run without a crash.
    survived_requests: RequestBitSet,
}

/// The part of a group's state that determines which actions may follow: each
/// request's verdict and number of crashes, and the survived requests.
type StateKey = (Vec<(QuarantineVerdict, usize)>, RequestBitSet);

impl ExploredState {
    fn new(
        request_count: u32,
        crash_inducing: RequestBitSet,
    ) -> ExploredState {
        ExploredState {
            crash_inducing,
            request_count,
            ledger: CrashLedger::new(),
            now: START_TIME,
            crash_count: 0,
            crash_times: vec![Vec::new(); request_count as usize],
            survived_requests: 0,
        }
    }

    /// Returns the state of a new group after these actions.
    fn state_after_actions(
        request_count: u32,
        crash_inducing: RequestBitSet,
        actions: &[Action],
    ) -> ExploredState {
        let mut state = ExploredState::new(request_count, crash_inducing);
        actions.iter().for_each(|it| state.apply_action(*it));
        state
    }

    fn request_digest(request_number: u32) -> WorkDigest {
        WorkDigest::new(&[&request_number.to_be_bytes()])
    }

    fn quarantine_verdict(&self, request_number: u32) -> QuarantineVerdict {
        self.ledger
            .verdict(ExploredState::request_digest(request_number), self.now)
    }

    /// Returns the numbers of the requests in a set.
    fn request_numbers_of_set(
        &self,
        set: RequestBitSet,
    ) -> impl Iterator<Item = u32> + use<> {
        (0..self.request_count).filter(move |it| set >> it & 1 == 1)
    }

    /// Returns the requests that are neither suspended nor refused.
    fn runnable_requests(&self) -> RequestBitSet {
        let runnable_requests = |it: &u32| {
            self.quarantine_verdict(*it) == QuarantineVerdict::Allowed
        };
        (0..self.request_count)
            .filter(runnable_requests)
            .fold(0, |set, it| set | 1 << it)
    }

    /// Returns the actions that are possible in this state.
    fn possible_actions(&self) -> Vec<Action> {
        let runnable_requests = self.runnable_requests();
        let mut actions = Vec::new();
        for requests in (1..1 << self.request_count)
            .filter(|it| it & !runnable_requests == 0)
        {
            let harmless = requests & !self.crash_inducing;
            let crashes = requests & self.crash_inducing != 0;
            let subsets =
                (0..1 << self.request_count).filter(|it| it & !harmless == 0);
            let answering = subsets.filter(|it| crashes || *it == 0);
            actions.extend(
                answering.map(|answering| Action::Run { requests, answering }),
            );
        }
        if self.time_to_next_suspension_expiry().is_some() {
            actions.push(Action::Wait);
        }
        actions
    }

    /// Returns the time until the next suspension expires, if any.
    fn time_to_next_suspension_expiry(&self) -> Option<Millis> {
        let remaining = |it| match self.quarantine_verdict(it) {
            QuarantineVerdict::Suspended(remaining) => Some(remaining),
            QuarantineVerdict::Allowed | QuarantineVerdict::Refused(_) => None,
        };
        (0..self.request_count).filter_map(remaining).min()
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Wait => {
                let remaining =
                    self.time_to_next_suspension_expiry().unwrap_or_default();
                self.now = self.now + remaining;
            }
            Action::Run { requests, .. }
                if requests & self.crash_inducing == 0 =>
            {
                for request_number in self.request_numbers_of_set(requests) {
                    self.ledger.record_survived_request(
                        ExploredState::request_digest(request_number),
                        self.now,
                    );
                }
                self.survived_requests |= requests;
                self.now = self.now + RUN_TIME_OF_HARMLESS_REQUEST;
            }
            Action::Run { requests, answering } => {
                let end = CrashId::new("i-1", self.crash_count);
                self.crash_count += 1;
                for request_number in self.request_numbers_of_set(requests) {
                    let work = ExploredState::request_digest(request_number);
                    self.ledger.record_crash(work, end, self.now);
                    if answering >> request_number & 1 == 0 {
                        self.ledger.suspend_request(work, self.now);
                    }
                    self.crash_times[request_number as usize].push(self.now);
                }
                self.now = self.now + GROUP_FORMING_TIME;
            }
        }
    }

    /// Checks the guarantees of the suspension of crash-inducing requests in
    /// the state after these actions.
    fn check_guarantees(&self, actions: &[Action]) {
        for request_number in self.request_numbers_of_set(self.crash_inducing)
        {
            let times = &self.crash_times[request_number as usize];
            assert!(times.len() <= CRASH_THRESHOLD, "{actions:?}");
            for (index, pair) in times.windows(2).enumerate() {
                let min_gap = Millis(SUSPENSION_TTL.0 << index);
                assert!(pair[1].since(pair[0]) >= min_gap, "{actions:?}");
            }
        }
        for request_number in
            self.request_numbers_of_set(self.survived_requests)
        {
            let ends = self
                .ledger
                .crash_count(ExploredState::request_digest(request_number));
            let is_refused = ends >= SURVIVED_REQUEST_CRASH_THRESHOLD;
            let is_free = self.quarantine_verdict(request_number)
                == QuarantineVerdict::Allowed;
            assert!(is_free != is_refused, "{request_number}: {actions:?}");
        }
    }

    fn exploration_key(&self) -> StateKey {
        let requests = (0..self.request_count).map(|it| {
            (
                self.quarantine_verdict(it),
                self.ledger.crash_count(ExploredState::request_digest(it)),
            )
        });
        (requests.collect(), self.survived_requests)
    }
}

/// Explores all states of a group after at most `max_actions` actions. Returns
/// the number of states and the maximum number of crashes in any state.
fn explore_states(
    request_count: u32,
    crash_inducing: RequestBitSet,
    max_actions: usize,
) -> (usize, u64) {
    let (mut visited, mut max_crashes) = (BTreeSet::new(), 0);
    let mut paths: Vec<Vec<Action>> = vec![Vec::new()];
    for _ in 0..=max_actions {
        let mut next = Vec::new();
        for path in paths {
            let state = ExploredState::state_after_actions(
                request_count,
                crash_inducing,
                &path,
            );
            state.check_guarantees(&path);
            max_crashes = max_crashes.max(state.crash_count);
            if !visited.insert(format!("{:?}", state.exploration_key())) {
                continue;
            }
            next.extend(state.possible_actions().into_iter().map(|it| {
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
    for (request_count, crash_inducing, max_actions) in
        [(2, 0b01, 12), (3, 0b001, 12), (3, 0b011, 14)]
    {
        let (states, crashes) =
            explore_states(request_count, crash_inducing, max_actions);
        let crash_inducing_count = crash_inducing.count_ones() as u64;
        println!(
            "{request_count} requests, {crash_inducing_count} crash-inducing: \
             {states} states, {crashes} crashes"
        );
        assert!(crashes <= crash_inducing_count * CRASH_THRESHOLD as u64);
    }
}
