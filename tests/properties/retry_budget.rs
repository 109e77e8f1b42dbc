//! The retry budget that all entries share, while entries end, start, leave,
//! join and don't know one another.

use std::net::{Ipv4Addr, SocketAddr};

use cowsliproad::{
    admission::{
        shared_budget::{Owner, SharedBudget, Start},
        window::{RetryShare, RetryWindow, RetryWindowConfig, Spending},
    },
    kernel::{Name, clock::Millis, gossip::RetryReport},
};
use cowsliproad_bench::experiment::retry_budget::{
    DISRUPTIONS, Disruption, Policy, play,
};
use proptest::prelude::*;

const RATIO: f64 = 0.2;
const EXTRA: f64 = 40.0;
const WINDOW: Millis = Millis(10_000);
const ENTRIES: usize = 4;

/// How long entries meet before anything is sent.
const MEETING: Millis = Millis(1_000);

/// Entries whose messages arrive at once, or not at all across a cut.
struct Fleet {
    service: Name,
    entries: Vec<Option<Entry>>,
    /// The entry that no message reaches.
    cut: Option<usize>,
    next_incarnation: u64,
}

struct Entry {
    budget: SharedBudget,
    started_at: Millis,
}

impl Fleet {
    fn start() -> Fleet {
        let entries = Vec::new();
        let service = "plain".into();
        let mut fleet =
            Fleet { service, entries, cut: None, next_incarnation: 0 };
        for _ in 0..ENTRIES {
            fleet.join(Start::First, Millis(0));
        }
        for place in 0..ENTRIES {
            fleet.report(place, MEETING);
        }
        fleet
    }

    fn new_entry(&mut self, place: usize, start: Start, now: Millis) -> Entry {
        self.next_incarnation += 1;
        let address =
            SocketAddr::from((Ipv4Addr::new(10, 0, 0, place as u8), 1));
        let incarnation = self.next_incarnation;
        let owner = Owner { address, incarnation, start };
        let config = RetryWindowConfig::new(RATIO, EXTRA, WINDOW);
        let mut budget = SharedBudget::new(owner, config);
        budget.set_min_entry_count(2);
        Entry { budget, started_at: now }
    }

    fn join(&mut self, start: Start, now: Millis) {
        let place = self.entries.len();
        let entry = self.new_entry(place, start, now);
        self.entries.push(Some(entry));
        self.report(place, now);
    }

    /// Kills an entry, which another process follows at its address.
    fn restart(&mut self, place: usize, now: Millis) {
        if self.entries[place].is_some() {
            let entry = self.new_entry(place, Start::Later, now);
            self.entries[place] = Some(entry);
            self.report(place, now);
        }
    }

    /// All entries report what is due, as their timers have them do.
    fn report_all(&mut self, now: Millis) {
        for place in 0..self.entries.len() {
            self.report(place, now);
        }
    }

    fn report(&mut self, place: usize, now: Millis) {
        let Some(entry) = &mut self.entries[place] else { return };
        let own_now = now - entry.started_at;
        let report = entry.budget.update(Millis(2_100), own_now);
        if let Some(report) = report {
            self.deliver(place, report, now);
        }
    }

    fn deliver(&mut self, from: usize, report: RetryReport, now: Millis) {
        for to in 0..self.entries.len() {
            if to == from || self.cut == Some(to) || self.cut == Some(from) {
                continue;
            }
            let Some(entry) = &mut self.entries[to] else { continue };
            let own_now = now - entry.started_at;
            let answer = entry.budget.merge_report(report.clone(), own_now);
            let (Some(answer), Some(sender)) =
                (answer, &mut self.entries[from])
            else {
                continue;
            };
            let own_now = now - sender.started_at;
            sender.budget.merge_history(&answer, own_now);
        }
    }

    /// Whether an entry took a request, and whether it spends a retry.
    fn request(&mut self, place: usize, now: Millis) -> bool {
        let service = self.service.clone();
        let Some(entry) = &mut self.entries[place] else { return false };
        let own_now = now - entry.started_at;
        entry.budget.record_request(&service, own_now);
        true
    }

    fn retry(&mut self, place: usize, now: Millis) -> bool {
        let service = self.service.clone();
        let Some(entry) = &mut self.entries[place] else { return false };
        let own_now = now - entry.started_at;
        let decision = entry.budget.try_spend_retry(&service, own_now);
        if let Some(report) = decision.report {
            self.deliver(place, report, now);
        }
        decision.spending != Spending::Denied
    }
}

/// Counts of times within windows that end at a time.
fn count(times: &[Millis], end: Millis) -> f64 {
    let within = |at: &&Millis| **at <= end && end.since(**at) < WINDOW;
    times.iter().filter(within).count() as f64
}

proptest! {
    #![proptest_config(super::config(256))]

    /// Guards against retries that are spent again by the process that follows
    /// another one, by entries that join, and by those that don't know one
    /// another.
    #[test]
    fn entries_that_end_and_start_keep_the_budget_together(
        seed in prop::collection::vec(
            (0_u64..400, 0_usize..12, 0_u8..60),
            600,
        ),
    ) {
        let mut fleet = Fleet::start();
        let mut now = MEETING;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (pause, place, kind) in seed {
            now = now + Millis(pause / 4);
            fleet.report_all(now);
            let place = place % fleet.entries.len();
            match kind {
                0 | 1 => fleet.restart(place, now),
                2 => {
                    for place in 0..fleet.entries.len() - 1 {
                        fleet.restart(place, now);
                    }
                }
                3 if fleet.entries.len() < 12 => {
                    fleet.join(Start::Later, now);
                }
                4 if place >= ENTRIES => fleet.entries[place] = None,
                5 => fleet.cut = Some(place),
                6 => fleet.cut = None,
                7..20 => if fleet.request(place, now) {
                    requests.push(now);
                },
                _ => if fleet.retry(place, now) {
                    retries.push(now);
                },
            }
        }
        for end in &retries {
            // The requests of the window, the one before, or the one half a
            // window before, whichever has most.
            let ends = [*end, *end - Millis(WINDOW.0 / 2), *end - WINDOW];
            let asked = ends.map(|it| count(&requests, it));
            let asked = asked.into_iter().fold(0.0, f64::max);
            prop_assert!(count(&retries, *end) <= RATIO * asked + EXTRA + 1.0);
        }
    }
}

/// Guards against a fixed part that is shared among those in touch only, while
/// an entry that is cut off serves on.
#[test]
fn entries_that_are_cut_off_share_the_budget() {
    let mut fleet = Fleet::start();
    fleet.cut = Some(3);
    let mut now = MEETING;
    for _ in 0..40 {
        now = now + Millis(500);
        fleet.report_all(now);
    }
    let places = (0..ENTRIES).flat_map(|it| std::iter::repeat_n(it, 40));
    let spent = places.filter(|it| fleet.retry(*it, now)).count();
    assert!(spent as f64 <= EXTRA, "{spent} of {EXTRA}");
}

/// Guards against windows over the budget in fleets whose entries restart, join
/// and leave, and against a budget that is left unused without them.
#[test]
fn fleets_keep_the_budget_and_use_it() {
    for entries in [7, 31] {
        for disruption in DISRUPTIONS {
            let score = play(entries, Policy::Inherit, disruption, 1);
            let least = match disruption {
                Disruption::None => 0.85,
                Disruption::Release => 0.7,
                Disruption::KillAll
                | Disruption::KillMost
                | Disruption::Siege => 0.0,
            };
            assert!(score.worst <= 1.0, "{entries} {disruption:?} {score:?}");
            assert!(score.used >= least, "{entries} {disruption:?} {score:?}");
        }
        let forgotten = play(entries, Policy::Forget, Disruption::KillAll, 1);
        assert!(
            forgotten.worst > 1.5,
            "the load shows nothing: {forgotten:?}"
        );
    }
}

/// Guards against retries that wait for a connection: counted as spent when
/// they were allowed, they would leave the window before they arrive.
#[test]
fn a_retry_counts_from_when_it_is_sent() {
    let config = RetryWindowConfig::new(RATIO, EXTRA, WINDOW);
    let mut window = RetryWindow::new(config);
    let share = RetryShare::equal(1);
    let spend_all = |window: &mut RetryWindow, now: Millis| {
        let mut spent = 0;
        while window.try_spend_retry(&share, now) != Spending::Denied {
            spent += 1;
        }
        spent
    };
    let (allowed_at, sent_at) = (Millis(1_000), Millis(9_000));
    let spent = spend_all(&mut window, allowed_at);
    for _ in 0..spent {
        window.postpone_retry(allowed_at, sent_at);
    }
    assert_eq!(spend_all(&mut window, Millis(18_000)), 0);
    assert_eq!(spend_all(&mut window, Millis(19_200)), spent);
}

/// Guards against callers that move from an entry that has spent its part to
/// others, where their requests earn the same retries again.
#[test]
fn callers_that_move_earn_no_retry_twice() {
    let mut fleet = Fleet::start();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut now = MEETING;
    let play = |fleet: &mut Fleet, place: usize, wants: usize, now: Millis| {
        fleet.report_all(now);
        let took = fleet.request(place, now);
        let spent = (0..wants).filter(|_| fleet.retry(place, now)).count();
        (took, spent)
    };
    // The first two entries have all callers and spend at the end of a window;
    // then they end, and their callers move to the others.
    for step in 0..1_000_u64 {
        now = now + Millis(20);
        let moved = step >= 500;
        if step == 500 {
            fleet.entries[0] = None;
            fleet.entries[1] = None;
        }
        let place = (step % 2) as usize + if moved { 2 } else { 0 };
        let wants = if step >= 480 { 20 } else { 0 };
        let (took, spent) = play(&mut fleet, place, wants, now);
        requests.extend(took.then_some(now));
        retries.extend(std::iter::repeat_n(now, spent));
    }
    for end in &retries {
        let ends = [*end, *end - Millis(WINDOW.0 / 2), *end - WINDOW];
        let asked = ends.map(|it| count(&requests, it));
        let asked = asked.into_iter().fold(0.0, f64::max);
        let spent = count(&retries, *end);
        assert!(spent <= RATIO * asked + EXTRA + 1.0, "{spent} at {end}");
    }
}

/// Guards against an entry that joins and takes callers of entries that have
/// just spent their parts.
#[test]
fn an_entry_that_joins_beside_spent_budgets_keeps_them() {
    let score = play(7, Policy::Inherit, Disruption::Siege, 27);
    assert!(score.worst <= 1.0, "{score:?}");
}

/// Guards against reserves of the fixed part that processes take while they
/// know few of the entries that share it.
#[test]
fn a_large_fleet_keeps_the_budget() {
    for disruption in [Disruption::KillAll, Disruption::Siege] {
        let score = play(720, Policy::Inherit, disruption, 1);
        assert!(score.worst <= 1.0, "{disruption:?} {score:?}");
    }
}
