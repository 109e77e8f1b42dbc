//! Tests of when the coordinator makes and drops plans, without a network: the
//! tests pass statuses and counts to the coordinator and check its plan and
//! directive.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex},
};

use cowsliproad_kernel::{clock::Millis, gossip::LoadSubscription};
use cowsliproad_mapswitch::order::{
    ArmOrderStatus, CoordinatorArmingNotice, DesiredState, Epoch, RankReport,
    Version,
};
use cowsliproad_rank::{
    lead::{CoordinatorParameters, GroupCoordinator},
    wire::{RankStatus, SelectionCountIncrease},
};
use slog::{Drain, KV, Key, Logger, Never, OwnedKVList, Record, o};

const RANK_COUNT: u16 = 4;
const EXPERTS_PER_SET: usize = 16;

/// A group whose coordinator receives the status of every rank at once.
struct TestGroup {
    coordinator: GroupCoordinator,
    reports_by_rank: Vec<RankReport>,
    events: Arc<Mutex<Vec<Event>>>,
    /// Whether statuses list the experts of their rank.
    statuses_list_experts: bool,
    max_new_experts_per_rank: u16,
    now: Millis,
}

/// A logged event: its name, and its values by key.
type Event = (String, BTreeMap<Key, String>);

/// Records the events that the coordinator logs.
struct EventRecorder(Arc<Mutex<Vec<Event>>>);

impl Drain for EventRecorder {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, _: &OwnedKVList) -> Result<(), Never> {
        let mut values = ValueRecorder::default();
        let recorded = record.kv().serialize(record, &mut values);
        recorded.expect("values that can be written");
        let mut events = self.0.lock().expect("no panic");
        events.push((record.msg().to_string(), values.0));
        Ok(())
    }
}

/// Records the values of an event as text.
#[derive(Default)]
struct ValueRecorder(BTreeMap<Key, String>);

impl slog::Serializer for ValueRecorder {
    fn emit_arguments(
        &mut self,
        key: Key,
        value: &fmt::Arguments,
    ) -> slog::Result {
        self.0.insert(key, value.to_string());
        Ok(())
    }
}

impl TestGroup {
    fn new() -> TestGroup {
        TestGroup::with_expert_move_cost(0.03)
    }

    fn with_expert_move_cost(expert_move_cost: f64) -> TestGroup {
        let start = CoordinatorParameters {
            fencing_number: 1,
            coordinator_rank: 0,
            predecessor_vm_and_fencing_number: None,
        };
        let events = Arc::default();
        let log = Logger::root(EventRecorder(Arc::clone(&events)), o!());
        let coordinator = GroupCoordinator::new(start, expert_move_cost, log);
        let report = |rank| RankReport::new(Epoch(1), rank, RANK_COUNT);
        let reports_by_rank = (0..RANK_COUNT).map(report).collect();
        TestGroup {
            coordinator,
            reports_by_rank,
            events,
            statuses_list_experts: true,
            max_new_experts_per_rank: 2,
            now: Millis(10_000),
        }
    }

    /// Passes the counts and the status of every rank to the coordinator. One
    /// expert is selected far more often than all others.
    fn pass_statuses_to_coordinator(&mut self, popular_expert: usize) {
        let mut increase_units_by_expert = vec![10; EXPERTS_PER_SET];
        increase_units_by_expert[popular_expert] = 250;
        self.pass_counts_and_statuses_to_coordinator(increase_units_by_expert);
    }

    fn pass_counts_and_statuses_to_coordinator(
        &mut self,
        increase_units_by_expert: Vec<u8>,
    ) {
        self.now = self.now + Millis(60);
        for rank in 0..RANK_COUNT {
            let increase_units_by_expert = increase_units_by_expert.clone();
            self.coordinator.add_selection_count_increase(
                SelectionCountIncrease {
                    selections_per_increase_unit: 100,
                    increase_units_by_expert,
                },
                EXPERTS_PER_SET,
            );
            let report = &mut self.reports_by_rank[usize::from(rank)];
            report.latest_begun_pass += 1;
            let status = self.rank_status(rank);
            self.coordinator.merge_rank_status(status, self.now);
        }
        let shape = LoadSubscription {
            targets: Vec::new(),
            target_list_id: 1,
            layer_set_count: 1,
            experts_per_layer_set: EXPERTS_PER_SET as u16,
            expert_slots_per_layer_set: 8,
            max_experts_added_to_rank_per_layer_set: self
                .max_new_experts_per_rank,
            log_era: Default::default(),
            expert_copy_ms: 400,
        };
        self.coordinator.advance_map_switch(Some(&shape), self.now);
    }

    fn rank_status(&self, rank: u16) -> RankStatus {
        let report = self.reports_by_rank[usize::from(rank)].clone();
        let experts_of_rank =
            (0..EXPERTS_PER_SET as u16).filter(|it| it % RANK_COUNT == rank);
        RankStatus {
            agent_address: ([127, 0, 0, 1 + rank as u8], 1).into(),
            max_known_fencing_number: 1,
            held_plan_version: None,
            map_version_and_experts_by_layer_set: self
                .statuses_list_experts
                .then(|| (Version(0), vec![experts_of_rank.collect()])),
            slowdown_factor: 1.0,
            arm_order_status: ArmOrderStatus::Answered,
            coordinator_arming_notice_receipt:
                CoordinatorArmingNotice::NotReceived,
            engine_report: report,
        }
    }

    fn count_events(&self, name: &str) -> usize {
        let events = self.events.lock().expect("no panic");
        events.iter().filter(|it| it.0 == name).count()
    }

    /// Returns the values of a search that led to no plan: the skew of the map
    /// in use, what the search found, and what searches without cost, limits
    /// and both found.
    fn fruitless_search_skews(&self) -> [f64; 5] {
        let events = self.events.lock().expect("no panic");
        let (_, values) = events
            .iter()
            .find(|it| it.0 == "no_better_map")
            .expect("a search without a plan");
        ["skew", "found", "without_cost", "without_limits", "without_both"]
            .map(|key| values[key].parse().expect("a number"))
    }

    /// Returns the number of ranks that hold an expert under the current plan.
    fn planned_rank_count(&self, expert: u16) -> usize {
        let Some(plan) = self.coordinator.current_plan() else { return 0 };
        let ranks = plan.experts[0].iter();
        ranks.filter(|it| it.contains(&expert)).count()
    }
}

#[test]
fn plan_is_dropped_when_demand_shifts() {
    let mut group = TestGroup::new();
    while group.coordinator.current_plan().is_none() {
        group.pass_statuses_to_coordinator(0);
    }
    assert!(group.planned_rank_count(0) > 1);
    // The ranks have not copied the experts of the first plan yet.
    for _ in 0..4 {
        group.pass_statuses_to_coordinator(5);
    }
    assert!(
        group.planned_rank_count(5) > 1,
        "the outdated plan is still in force"
    );
    let aim = group.coordinator.current_directive().desired_state;
    assert!(matches!(aim, DesiredState::Prepared(_)), "{aim:?}");
}

#[test]
fn plan_is_kept_once_ranks_arm() {
    let mut group = TestGroup::new();
    while group.coordinator.current_plan().is_none() {
        group.pass_statuses_to_coordinator(0);
    }
    let version = group.coordinator.current_plan().map(|it| it.map_version);
    for report in &mut group.reports_by_rank {
        report.prepared_map_version = version;
    }
    for _ in 0..6 {
        group.pass_statuses_to_coordinator(5);
    }
    assert_eq!(
        group.coordinator.current_plan().map(|it| it.map_version),
        version
    );
    let aim = group.coordinator.current_directive().desired_state;
    assert!(matches!(aim, DesiredState::Held { .. }), "{aim:?}");
}

/// Guards against an operator who can't see that a coordinator searches for a
/// better map and finds none.
#[test]
fn searches_without_a_better_map_are_logged_now_and_then() {
    let mut group = TestGroup::new();
    assert_eq!(group.coordinator.expert_map_skew_percent(), None);
    // Six seconds of an even demand, with a search every 60 ms.
    for _ in 0..100 {
        group.pass_counts_and_statuses_to_coordinator(vec![
            100;
            EXPERTS_PER_SET
        ]);
    }
    assert_eq!(group.count_events("map_planned"), 0);
    assert_eq!(group.count_events("no_better_map"), 2);
    assert_eq!(group.coordinator.expert_map_skew_percent(), Some(100));
}

/// Guards against an operator who can't see that a coordinator doesn't search,
/// as it doesn't know the map in use.
#[test]
fn a_map_that_is_not_known_is_logged_now_and_then() {
    let mut group = TestGroup::new();
    group.statuses_list_experts = false;
    for _ in 0..100 {
        group.pass_statuses_to_coordinator(0);
    }
    assert_eq!(group.count_events("map_planned"), 0);
    assert_eq!(group.count_events("map_unknown"), 2);
}

/// Guards against an operator who can't tell a map that the cost of copies
/// keeps from one that the limit of new experts keeps, and both from a search
/// that finds nothing better.
#[test]
fn reasons_of_searches_without_a_plan_are_told_apart() {
    let even = vec![100; EXPERTS_PER_SET];
    let mut uneven = even.clone();
    uneven[0] = 250;
    let mut costly = TestGroup::with_expert_move_cost(1.0);
    let mut limited = TestGroup::new();
    limited.max_new_experts_per_rank = 0;
    let mut balanced = TestGroup::new();
    for _ in 0..4 {
        costly.pass_counts_and_statuses_to_coordinator(uneven.clone());
        limited.pass_counts_and_statuses_to_coordinator(uneven.clone());
        balanced.pass_counts_and_statuses_to_coordinator(even.clone());
    }
    let [skew, found, without_cost, without_limits, without_both] =
        costly.fruitless_search_skews();
    assert!(found == skew && without_limits == skew);
    assert!(without_cost < 0.9 * skew && without_both < 0.9 * skew);
    let [skew, found, without_cost, without_limits, without_both] =
        limited.fruitless_search_skews();
    assert!(found == skew && without_cost == skew);
    assert!(without_limits < 0.9 * skew && without_both < 0.9 * skew);
    assert_eq!(balanced.fruitless_search_skews(), [1.0; 5]);
}
