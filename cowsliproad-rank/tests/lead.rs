//! When a coordinator plans, without a network: reports and counts are given
//! to it, and its word is what is looked at.

use cowsliproad_kernel::{clock::Millis, gossip::Subscribe};
use cowsliproad_mapswitch::order::{
    Aim, ArmOrderStatus, Epoch, Report, SealStatus, Version,
};
use cowsliproad_rank::{
    lead::{CoordinatorStart, GroupCoordinator},
    wire::{RankStatus, SelectionGrowth},
};
use slog::{Discard, Logger, o};

const RANKS: u16 = 4;
const EXPERTS: usize = 16;

/// A group whose agents all see what happens at once.
struct Group {
    coordinator: GroupCoordinator,
    reports: Vec<Report>,
    now: Millis,
}

impl Group {
    fn new() -> Group {
        let start = CoordinatorStart {
            fencing_number: 1,
            own_rank: 0,
            predecessor_vm_and_fencing_number: None,
        };
        let coordinator =
            GroupCoordinator::new(start, 0.03, Logger::root(Discard, o!()));
        let report = |rank| Report::new(Epoch(1), rank, RANKS);
        let reports = (0..RANKS).map(report).collect();
        Group { coordinator, reports, now: Millis(10_000) }
    }

    /// Tells all there is to tell, with some counts that put one expert far
    /// before all others.
    fn advance_group(&mut self, popular_expert: usize) {
        self.now = self.now + Millis(60);
        for rank in 0..RANKS {
            let mut growth_in_units = vec![10; EXPERTS];
            growth_in_units[popular_expert] = 250;
            self.coordinator.add_selection_growth(
                SelectionGrowth {
                    selections_per_growth_unit: 100,
                    growth_in_units,
                },
                EXPERTS,
            );
            let report = &mut self.reports[usize::from(rank)];
            report.step += 1;
            let status = self.rank_status(rank);
            self.coordinator.merge_status(status, self.now);
        }
        let shape = Subscribe {
            targets: Vec::new(),
            list_id: 1,
            layer_sets: 1,
            experts_per_set: EXPERTS as u16,
            slots_per_set: 8,
            max_new_experts_per_set: 2,
            log_era: Default::default(),
            expert_copy_ms: 400,
        };
        self.coordinator.advance_switch(Some(&shape), self.now);
    }

    fn rank_status(&self, rank: u16) -> RankStatus {
        let report = self.reports[usize::from(rank)].clone();
        let experts_of_rank =
            (0..EXPERTS as u16).filter(|it| it % RANKS == rank);
        RankStatus {
            agent_address: ([127, 0, 0, 1 + rank as u8], 1).into(),
            max_known_fencing_number: 1,
            held_plan_version: None,
            map_version_and_experts_by_set: Some((
                Version(0),
                vec![experts_of_rank.collect()],
            )),
            slowdown_factor: 1.0,
            arm_order_status: ArmOrderStatus::Answered,
            coordinator_arming_notice: SealStatus::NotReceived,
            engine_report: report,
        }
    }

    /// The ranks that are to have an expert by the plan in force.
    fn planned_rank_count(&self, expert: u16) -> usize {
        let Some(plan) = self.coordinator.current_plan() else { return 0 };
        let ranks = plan.experts[0].iter();
        ranks.filter(|it| it.contains(&expert)).count()
    }
}

#[test]
fn a_plan_is_dropped_once_the_demand_has_moved_on() {
    let mut group = Group::new();
    while group.coordinator.current_plan().is_none() {
        group.advance_group(0);
    }
    assert!(group.planned_rank_count(0) > 1);
    // The copies for it have not come yet.
    for _ in 0..4 {
        group.advance_group(5);
    }
    assert!(group.planned_rank_count(5) > 1, "the old plan is waited for");
    let aim = group.coordinator.directive().aim;
    assert!(matches!(aim, Aim::Prepared(_)), "{aim:?}");
}

#[test]
fn a_plan_that_ranks_arm_for_is_carried_through() {
    let mut group = Group::new();
    while group.coordinator.current_plan().is_none() {
        group.advance_group(0);
    }
    let version = group.coordinator.current_plan().map(|it| it.map_version);
    for report in &mut group.reports {
        report.prepared = version;
    }
    for _ in 0..6 {
        group.advance_group(5);
    }
    assert_eq!(
        group.coordinator.current_plan().map(|it| it.map_version),
        version
    );
    let aim = group.coordinator.directive().aim;
    assert!(matches!(aim, Aim::Held { .. }), "{aim:?}");
}
