//! When a coordinator plans, without a network: reports and counts are given
//! to it, and its word is what is looked at.

use cowsliproad_kernel::{clock::Millis, gossip::LoadSubscription};
use cowsliproad_mapswitch::order::{
    ArmOrderStatus, CoordinatorArmingNotice, DesiredState, Epoch, Report,
    Version,
};
use cowsliproad_rank::{
    lead::{Lead, Start},
    wire::{Choices, Status},
};
use slog::{Discard, Logger, o};

const RANKS: u16 = 4;
const EXPERTS: usize = 16;

/// A group whose agents all see what happens at once.
struct Group {
    lead: Lead,
    reports: Vec<Report>,
    now: Millis,
}

impl Group {
    fn new() -> Group {
        let start = Start { fence: 1, rank: 0, predecessor: None };
        let lead = Lead::new(start, 0.03, Logger::root(Discard, o!()));
        let report = |rank| Report::new(Epoch(1), rank, RANKS);
        let reports = (0..RANKS).map(report).collect();
        Group { lead, reports, now: Millis(10_000) }
    }

    /// Tells all there is to tell, with some counts that put one expert far
    /// before all others.
    fn go_on(&mut self, liked: usize) {
        self.now = self.now + Millis(60);
        for rank in 0..RANKS {
            let mut units = vec![10; EXPERTS];
            units[liked] = 250;
            self.lead.count(Choices { scale: 100, units }, EXPERTS);
            let report = &mut self.reports[usize::from(rank)];
            report.step += 1;
            let status = self.status(rank);
            self.lead.take(status, self.now);
        }
        let shape = LoadSubscription {
            targets: Vec::new(),
            target_list_id: 1,
            layer_set_count: 1,
            experts_per_layer_set: EXPERTS as u16,
            expert_slots_per_layer_set: 8,
            max_new_experts_per_layer_set: 2,
            log_era: Default::default(),
            expert_copy_ms: 400,
        };
        self.lead.advance(Some(&shape), self.now);
    }

    fn status(&self, rank: u16) -> Status {
        let report = self.reports[usize::from(rank)].clone();
        let dealt = (0..EXPERTS as u16).filter(|it| it % RANKS == rank);
        Status {
            agent: ([127, 0, 0, 1 + rank as u8], 1).into(),
            fence: 1,
            plan: None,
            experts: Some((Version(0), vec![dealt.collect()])),
            pace: 1.0,
            arms: ArmOrderStatus::Answered,
            seal: CoordinatorArmingNotice::NotReceived,
            report,
        }
    }

    /// The ranks that are to have an expert by the plan in force.
    fn hosts(&self, expert: u16) -> usize {
        let Some(plan) = self.lead.plan() else { return 0 };
        let ranks = plan.experts[0].iter();
        ranks.filter(|it| it.contains(&expert)).count()
    }
}

#[test]
fn a_plan_is_dropped_once_the_demand_has_moved_on() {
    let mut group = Group::new();
    while group.lead.plan().is_none() {
        group.go_on(0);
    }
    assert!(group.hosts(0) > 1);
    // The copies for it have not come yet.
    for _ in 0..4 {
        group.go_on(5);
    }
    assert!(group.hosts(5) > 1, "the old plan is waited for");
    let aim = group.lead.directive().desired_state;
    assert!(matches!(aim, DesiredState::Prepared(_)), "{aim:?}");
}

#[test]
fn a_plan_that_ranks_arm_for_is_carried_through() {
    let mut group = Group::new();
    while group.lead.plan().is_none() {
        group.go_on(0);
    }
    let version = group.lead.plan().map(|it| it.version);
    for report in &mut group.reports {
        report.prepared = version;
    }
    for _ in 0..6 {
        group.go_on(5);
    }
    assert_eq!(group.lead.plan().map(|it| it.version), version);
    let aim = group.lead.directive().desired_state;
    assert!(matches!(aim, DesiredState::Held { .. }), "{aim:?}");
}
