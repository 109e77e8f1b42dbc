//! The coordinator of a group: its view of all ranks, its plans for better
//! expert maps and its directives to the agents.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use cowsliproad_kernel::{clock::Millis, gossip::LoadSubscription};
use cowsliproad_mapswitch::order::{
    Coordinator, CoordinatorConfig, Directive, ExpertsByLayerAndRank,
    GroupState, MissingRanks, ObeyedCoordinator, Order, RankSnapshot,
    SwitchEvent, Version, due_hold_order,
};
use cowsliproad_placement::{
    bound,
    demand::{CumulativeCounts, DemandEstimator},
    growth::CountGrowth,
    live,
    map::{Map, Shape, ideal_step_time},
};
use slog::{Logger, debug, info};

use crate::{
    plan::{MapPlan, PlanUpdate},
    wire::{RankStatus, SelectionCountIncrease},
};

/// The age above which the coordinator ignores a rank's report.
const MAX_RANK_REPORT_AGE: Millis = Millis(900);

/// The silence after which an agent may be frozen or gone, so that the
/// coordinator calls the agent's engine itself. Slightly longer than the
/// status interval while no switch is in progress.
const AGENT_SILENCE_TIMEOUT: Millis = Millis(600);

/// The interval at which the total selection counts are sampled.
const SELECTION_COUNT_SAMPLE_INTERVAL: Millis = Millis(50);

/// The minimum interval between two searches for a better map.
const MIN_MAP_SEARCH_INTERVAL: Millis = Millis(50);

/// The interval at which a coordinator logs that its searches find no better
/// map. The first such search after a change of the map is logged at once.
const FRUITLESS_SEARCH_LOG_INTERVAL: Millis = Millis(5_000);

/// The coordinator of a group, with its view of the ranks.
#[derive(Debug)]
pub struct GroupCoordinator {
    switch_coordinator: Coordinator,
    /// The VM of the previous coordinator, and that coordinator's fencing
    /// number.
    predecessor_vm_and_fencing_number: Option<(IpAddr, u64)>,
    statuses_by_rank: BTreeMap<u16, (RankStatus, Millis)>,
    /// How often the requests of all ranks selected each expert, since this
    /// coordinator started.
    total_selection_counts: CumulativeCounts,
    demand_estimator: DemandEstimator,
    last_sample_time: Millis,
    last_map_search_time: Millis,
    /// The step time under the map in use relative to perfect balance, as of
    /// the last search for a better map.
    expert_map_skew: Option<f64>,
    /// When a search without a better map was last logged; `None` since the
    /// last plan.
    fruitless_search_logged_at: Option<Millis>,
    current_plan: Option<MapPlan>,
    /// The plan that preceded the current plan.
    previous_plan: Option<MapPlan>,
    /// The plan whose map is in use, if this coordinator made the plan.
    plan_in_use: Option<MapPlan>,
    expert_move_cost: f64,
    /// Whether this coordinator must not start another switch of maps.
    must_not_start_switch: bool,
    log: Logger,
}

/// The initial values of a new coordinator.
#[derive(Clone, Copy, Debug)]
pub struct CoordinatorParameters {
    /// The new coordinator's fencing number.
    pub fencing_number: u64,
    /// The rank of the new coordinator's own engine.
    pub coordinator_rank: u16,
    /// The VM of the previous coordinator, and that coordinator's fencing
    /// number.
    pub predecessor_vm_and_fencing_number: Option<(IpAddr, u64)>,
}

impl GroupCoordinator {
    /// Creates a coordinator that has received no status yet.
    pub fn new(
        start: CoordinatorParameters,
        expert_move_cost: f64,
        log: Logger,
    ) -> GroupCoordinator {
        GroupCoordinator {
            switch_coordinator: Coordinator::new(
                CoordinatorConfig::new(),
                start.fencing_number,
                start.coordinator_rank,
            ),
            predecessor_vm_and_fencing_number: start
                .predecessor_vm_and_fencing_number,
            statuses_by_rank: BTreeMap::new(),
            total_selection_counts: CumulativeCounts::new(),
            demand_estimator: DemandEstimator::new(),
            last_sample_time: Millis(0),
            last_map_search_time: Millis(0),
            expert_map_skew: None,
            fruitless_search_logged_at: None,
            current_plan: None,
            previous_plan: None,
            plan_in_use: None,
            expert_move_cost,
            must_not_start_switch: false,
            log,
        }
    }

    /// Returns the coordinator's fencing number.
    pub fn fencing_number(&self) -> u64 {
        self.switch_coordinator.fencing_number()
    }

    /// Returns the directive that the coordinator sends to all agents.
    pub fn current_directive(&self) -> Directive {
        self.switch_coordinator.directive()
    }

    /// Returns the plan that the agents have to prepare or switch to.
    pub fn current_plan(&self) -> Option<&MapPlan> {
        self.current_plan.as_ref()
    }

    /// Returns the step time of the group under the map in use, in percent of
    /// the step time under perfect balance; `None` before the first search for
    /// a better map.
    pub fn expert_map_skew_percent(&self) -> Option<u32> {
        self.expert_map_skew.map(|it| (it * 100.0).round() as u32)
    }

    /// Returns the agents from which the coordinator has a status.
    pub fn reporting_agent_addresses(
        &self,
    ) -> impl Iterator<Item = SocketAddr> {
        self.statuses_by_rank.values().map(|it| it.0.agent_address)
    }

    /// Returns the updates that send the current plan to the agents without
    /// this plan, each update with its recipients. Agents that have the
    /// previous plan receive only the differences.
    pub fn plan_updates_with_recipients(
        &self,
    ) -> Vec<(PlanUpdate, Vec<SocketAddr>)> {
        let Some(plan) = &self.current_plan else { return Vec::new() };
        let version = Some(plan.map_version);
        let lacks =
            |it: &&(RankStatus, Millis)| it.0.held_plan_version != version;
        let before = self.previous_plan.as_ref();
        let knows = |it: &&(RankStatus, Millis)| {
            before.is_some_and(|before| {
                it.0.held_plan_version == Some(before.map_version)
            })
        };
        let lacking = self.statuses_by_rank.values().filter(lacks);
        let (knowing, others): (Vec<_>, Vec<_>) = lacking.partition(knows);
        let agents = |ranks: Vec<&(RankStatus, Millis)>| {
            ranks.into_iter().map(|it| it.0.agent_address).collect()
        };
        let difference_updates = before.map(|it| {
            (PlanUpdate::with_differences(it, plan), agents(knowing))
        });
        let whole_update = (PlanUpdate::with_whole_map(plan), agents(others));
        difference_updates.into_iter().chain([whole_update]).collect()
    }

    /// Returns whether the agent on a VM has sent no status for some time.
    pub fn is_agent_silent(&self, vm_address: IpAddr, now: Millis) -> bool {
        let statuses = self
            .statuses_by_rank
            .values()
            .filter(|it| it.0.agent_address.ip() == vm_address);
        statuses
            .map(|it| now.since(it.1))
            .all(|age| age > AGENT_SILENCE_TIMEOUT)
    }

    /// Prevents the coordinator from starting another switch of maps.
    pub fn prevent_further_map_switches(&mut self) {
        self.must_not_start_switch = true;
    }

    /// Merges a rank's status into the coordinator's view of the group.
    pub fn merge_rank_status(&mut self, mut status: RankStatus, now: Millis) {
        let rank = status.engine_report.rank;
        if let Some((known, _)) = self.statuses_by_rank.get_mut(&rank) {
            let newer =
                known.engine_report.epoch <= status.engine_report.epoch;
            if !newer {
                return;
            }
            // A status that the coordinator read from the engine itself has no
            // expert lists.
            status.map_version_and_experts_by_layer_set = status
                .map_version_and_experts_by_layer_set
                .or(known.map_version_and_experts_by_layer_set.take());
        }
        self.statuses_by_rank.insert(rank, (status, now));
    }

    /// Adds the increase of a rank's selection counts to the total counts of
    /// the group.
    pub fn add_selection_count_increase(
        &mut self,
        increase: SelectionCountIncrease,
        experts_per_set: usize,
    ) {
        let SelectionCountIncrease {
            selections_per_increase_unit: scale,
            increase_units_by_expert: units,
        } = increase;
        CountGrowth {
            counts_per_unit: scale,
            quantized_growth_by_layer_and_expert: units,
        }
        .add_to_counts(&mut self.total_selection_counts, experts_per_set);
    }

    /// Advances the switch of maps according to the reports of all ranks, and
    /// plans a better map if no switch is in progress.
    pub fn advance_map_switch(
        &mut self,
        service_shape: Option<&LoadSubscription>,
        now: Millis,
    ) {
        let snapshots = self.recent_rank_snapshots(now);
        let missing_ranks =
            self.ranks_without_recent_report(service_shape, now);
        let event = self.switch_coordinator.advance_switch(
            &snapshots,
            missing_ranks,
            now,
        );
        self.handle_map_switch_event(event);
        if missing_ranks != MissingRanks::None {
            return;
        }
        self.sample_selection_counts(now);
        self.abandon_outdated_plan();
        let is_open =
            |it: &RankSnapshot| it.report.group_state == GroupState::Open;
        let open = snapshots.iter().all(is_open);
        let due =
            now.since(self.last_map_search_time) >= MIN_MAP_SEARCH_INTERVAL;
        if let Some(service_shape) = service_shape
            && self.switch_coordinator.is_idle()
            && self.current_directive().epoch == snapshots[0].report.epoch
            && open
            && due
            && !self.must_not_start_switch
        {
            self.last_map_search_time = now;
            self.start_switch_to_better_map(service_shape, &snapshots, now);
        }
    }

    /// Returns snapshots of the ranks whose reports are recent.
    fn recent_rank_snapshots(&self, now: Millis) -> Vec<RankSnapshot> {
        let fresh = self
            .statuses_by_rank
            .values()
            .filter(|it| now.since(it.1) < MAX_RANK_REPORT_AGE);
        fresh.map(|it| self.rank_snapshot(&it.0)).collect()
    }

    /// Converts a rank's status into a snapshot. An agent that has not yet
    /// received a directive of this coordinator may still obey another one.
    fn rank_snapshot(&self, status: &RankStatus) -> RankSnapshot {
        let obeys = if status.max_known_fencing_number >= self.fencing_number()
        {
            ObeyedCoordinator::This
        } else {
            ObeyedCoordinator::Another
        };
        let (report, seal) = (
            status.engine_report.clone(),
            status.coordinator_arming_notice_receipt,
        );
        RankSnapshot {
            report,
            arm_order_status: status.arm_order_status,
            coordinator_arming_notice: seal,
            obeyed_coordinator: obeys,
        }
    }

    /// Returns which ranks of the group have no recent report.
    fn ranks_without_recent_report(
        &self,
        service_shape: Option<&LoadSubscription>,
        now: Millis,
    ) -> MissingRanks {
        let fresh =
            |it: &&(RankStatus, Millis)| now.since(it.1) < MAX_RANK_REPORT_AGE;
        let fresh: Vec<&RankStatus> = self
            .statuses_by_rank
            .values()
            .filter(fresh)
            .map(|it| &it.0)
            .collect();
        let ranks = fresh.first().map_or(0, |it| it.engine_report.ranks);
        if ranks > 0 && fresh.len() == usize::from(ranks) {
            return MissingRanks::None;
        }
        let Some((vm, fence)) = self.predecessor_vm_and_fencing_number else {
            return MissingRanks::Others;
        };
        let known = service_shape
            .is_some_and(|it| it.targets.iter().any(|it| it.ip() == vm));
        let only = fresh.len() + 1 == usize::from(ranks);
        if only && known && !fresh.iter().any(|it| it.agent_address.ip() == vm)
        {
            MissingRanks::Predecessor(fence)
        } else {
            MissingRanks::Others
        }
    }

    /// Returns the VM of the engine that has to hold the group, and the *hold*
    /// order to send to this engine.
    pub fn recipient_vm_and_hold_order(&self) -> Option<(IpAddr, Order)> {
        let directive = self.current_directive();
        self.statuses_by_rank.values().find_map(|(status, _)| {
            let order = due_hold_order(&directive, &status.engine_report)?;
            Some((status.agent_address.ip(), order))
        })
    }

    fn handle_map_switch_event(&mut self, event: SwitchEvent) {
        match event {
            SwitchEvent::None => {}
            SwitchEvent::Changed(version) => {
                info!(self.log, "map_changed"; "version" => version.0);
                self.plan_in_use = self.current_plan.clone();
            }
            SwitchEvent::Abandoned(version) => {
                info!(self.log, "plan_given_up"; "version" => version.0);
                self.drop_current_plan();
            }
            SwitchEvent::Resumed(version) => {
                info!(self.log, "change_taken_up"; "version" => version.0);
            }
            SwitchEvent::Cancelled(version) => {
                info!(self.log, "change_called_off"; "version" => version.0);
            }
            SwitchEvent::Reset(epoch) => {
                info!(self.log, "group_formed"; "epoch" => epoch.0);
                // The demand estimate stays: the demand for experts doesn't
                // change because a rank was away.
                self.drop_current_plan();
            }
        }
    }

    /// Abandons the current plan if demand has shifted since the plan was made
    /// and no rank has armed for it. The switch would wait for copies to a map
    /// that is out of date.
    fn abandon_outdated_plan(&mut self) {
        if self.demand_estimator.demand_shifted_at()
            < self.last_map_search_time
        {
            return;
        }
        if let Some(version) = self.switch_coordinator.abandon_plan() {
            info!(self.log, "plan_overtaken"; "version" => version.0);
            self.drop_current_plan();
        }
    }

    /// Drops the current plan. Agents may already have this plan, so the next
    /// plan is sent as the differences from this plan.
    fn drop_current_plan(&mut self) {
        self.previous_plan =
            self.current_plan.take().or(self.previous_plan.take());
    }

    fn sample_selection_counts(&mut self, now: Millis) {
        if now.since(self.last_sample_time) < SELECTION_COUNT_SAMPLE_INTERVAL {
            return;
        }
        self.last_sample_time = now;
        self.demand_estimator
            .record_counts(now, self.total_selection_counts.clone());
    }

    /// Searches for a better map, and starts a switch if there is one.
    fn start_switch_to_better_map(
        &mut self,
        service_shape: &LoadSubscription,
        snapshots: &[RankSnapshot],
        now: Millis,
    ) {
        let Some(loads) = self.demand_estimator.current_loads() else {
            return;
        };
        let shape_of_map = Shape {
            rank_count: snapshots.len(),
            expert_count: usize::from(service_shape.experts_per_layer_set),
            layer_count: usize::from(service_shape.layer_set_count),
            slots_per_rank: usize::from(
                service_shape.expert_slots_per_layer_set,
            ),
        };
        let Some(present) = self.assemble_map_in_use(shape_of_map, snapshots)
        else {
            if self.is_search_log_due(now) {
                let versions: Vec<u64> =
                    snapshots.iter().map(|it| it.report.map.0).collect();
                info!(self.log, "map_unknown"; "versions" => ?versions);
            }
            return;
        };
        let speeds =
            self.statuses_by_rank.values().map(relative_rank_speed).collect();
        let inputs =
            SearchInputs { shape: shape_of_map, present, loads, speeds };
        let limits = SearchLimits::new(service_shape, self.expert_move_cost);
        let search = inputs.search(limits.config());
        let skew = search.present_step_time_ratio_to_ideal;
        self.expert_map_skew = Some(skew);
        let best = search.best().clone();
        let Some(plan) = search.into_plan() else {
            self.log_fruitless_search(&inputs, limits, skew, &best, now);
            return;
        };
        self.fruitless_search_logged_at = None;
        let map_version = self.switch_coordinator.begin_plan(snapshots, now);
        let pass =
            snapshots.iter().map(|it| it.report.latest_begun_pass).max();
        info!(self.log, "map_planned"; "version" => map_version.0,
            "skew" => format!("{skew:.3}"),
            "expected" => format!("{:.3}",
                plan.planned_step_time_ratio_to_ideal),
            "bound" => format!("{:.3}", inputs.bound()),
            "slowest" => inputs.slowest_speed(),
            "copies" => plan.move_count,
            "step" => pass,
            "counted" => inputs.counted(),
            "counted_ms" => self.counting_duration_ms());
        let directive = self.current_directive();
        let last = self.current_plan.replace(MapPlan {
            fencing_number: directive.fencing_number,
            group_epoch: directive.epoch,
            map_version,
            experts: Arc::new(plan.map.experts_by_layer_and_rank()),
        });
        self.previous_plan = last.or(self.previous_plan.take());
    }

    /// Returns whether a search without a better map is to be logged now.
    fn is_search_log_due(&mut self, now: Millis) -> bool {
        let is_due = self.fruitless_search_logged_at.is_none_or(|last_time| {
            now.since(last_time) >= FRUITLESS_SEARCH_LOG_INTERVAL
        });
        if is_due {
            self.fruitless_search_logged_at = Some(now);
        }
        is_due
    }

    /// Logs that a search led to no plan, with what tells the reasons apart:
    /// the best map that it found, and what searches without the cost of
    /// copies, without the limits of new experts and without both find.
    fn log_fruitless_search(
        &mut self,
        inputs: &SearchInputs,
        limits: SearchLimits,
        skew: f64,
        best: &live::LivePlan,
        now: Millis,
    ) {
        if !self.is_search_log_due(now) {
            return;
        }
        let best_skew = |limits: SearchLimits| {
            let search = inputs.search(limits.config());
            format!("{:.3}", search.best().planned_step_time_ratio_to_ideal)
        };
        info!(self.log, "no_better_map"; "skew" => format!("{skew:.3}"),
            "found" =>
                format!("{:.3}", best.planned_step_time_ratio_to_ideal),
            "copies" => best.move_count,
            "without_cost" => best_skew(limits.without_cost()),
            "without_limits" => best_skew(limits.without_limits()),
            "without_both" =>
                best_skew(limits.without_cost().without_limits()),
            "bound" => format!("{:.3}", inputs.bound()),
            "slowest" => inputs.slowest_speed(),
            "counted" => inputs.counted(),
            "counted_ms" => self.counting_duration_ms());
        debug!(self.log, "map_in_use";
            "experts" => ?inputs.present.experts_by_layer_and_rank(),
            "loads" => ?inputs.loads);
    }

    fn counting_duration_ms(&self) -> Option<u64> {
        self.demand_estimator.counting_duration().map(|it| it.0)
    }

    /// Returns the map in use, assembled from the expert lists of all ranks.
    fn assemble_map_in_use(
        &self,
        shape: Shape,
        snapshots: &[RankSnapshot],
    ) -> Option<Map> {
        let version: Version = snapshots.first()?.report.map;
        if let Some(plan) = &self.plan_in_use
            && plan.map_version == version
            && snapshots.iter().all(|it| it.report.map == version)
        {
            return Map::from_experts(shape, &plan.experts);
        }
        let mut experts: ExpertsByLayerAndRank =
            vec![vec![Vec::new(); shape.rank_count]; shape.layer_count];
        for (status, _) in self.statuses_by_rank.values() {
            let (listed, sets) =
                status.map_version_and_experts_by_layer_set.as_ref()?;
            if *listed != version || status.engine_report.map != version {
                return None;
            }
            let rank = usize::from(status.engine_report.rank);
            for (set, held) in sets.iter().enumerate() {
                *experts.get_mut(set)?.get_mut(rank)? = held.clone();
            }
        }
        Map::from_experts(shape, &experts)
    }
}

/// The inputs of a search for a better map.
struct SearchInputs {
    shape: Shape,
    present: Map,
    loads: Vec<Vec<f64>>,
    speeds: Vec<f64>,
}

impl SearchInputs {
    fn search(&self, config: live::LivePlanConfig) -> live::LiveSearch {
        let SearchInputs { shape, present, loads, speeds } = self;
        live::search(*shape, config, present, loads, speeds)
    }

    /// Returns a lower bound on the step time over all maps, relative to
    /// perfect balance.
    fn bound(&self) -> f64 {
        bound::min_step_time(self.shape, &self.loads, &self.speeds)
            / ideal_step_time(&self.loads, &self.speeds)
    }

    fn slowest_speed(&self) -> f64 {
        self.speeds.iter().copied().fold(1.0, f64::min)
    }

    /// Returns how often requests selected experts in the time over which the
    /// demand was counted.
    fn counted(&self) -> f64 {
        self.loads.iter().flatten().sum()
    }
}

/// What keeps a search from maps that would be better balanced.
#[derive(Clone, Copy)]
struct SearchLimits {
    max_new_experts_per_rank_and_layer: usize,
    max_new_experts_per_rank: usize,
    copy_cost: f64,
}

impl SearchLimits {
    fn new(service_shape: &LoadSubscription, copy_cost: f64) -> SearchLimits {
        SearchLimits {
            max_new_experts_per_rank_and_layer: usize::from(
                service_shape.max_experts_added_to_rank_per_layer_set,
            ),
            max_new_experts_per_rank: max_new_experts_per_rank(Millis(
                service_shape.expert_copy_ms,
            )),
            copy_cost,
        }
    }

    fn without_cost(self) -> SearchLimits {
        SearchLimits { copy_cost: 0.0, ..self }
    }

    fn without_limits(self) -> SearchLimits {
        SearchLimits {
            max_new_experts_per_rank_and_layer: usize::MAX,
            max_new_experts_per_rank: usize::MAX,
            ..self
        }
    }

    fn config(self) -> live::LivePlanConfig {
        live::LivePlanConfig::new(self.max_new_experts_per_rank_and_layer)
            .with_max_new_experts_per_rank(self.max_new_experts_per_rank)
            .with_copy_cost(self.copy_cost)
    }
}

/// Returns how many new experts a map may assign to a rank: as many as are
/// copied in the time that the rest of a switch takes, but at least one.
fn max_new_experts_per_rank(expert_copy_duration: Millis) -> usize {
    let most = MAP_SWITCH_DURATION_WITHOUT_COPIES
        .0
        .checked_div(expert_copy_duration.0);
    most.map_or(usize::MAX, |it| it.max(1) as usize)
}

/// The duration of a map switch without the copies of experts. A map may assign
/// to a rank as many new experts as are copied in this time, but at least one.
/// At 76 ms a copy, these are two: in groups of 24 ranks under heavy load, two
/// copies give 0.77, one 0.76, three 0.75 and five 0.71.
const MAP_SWITCH_DURATION_WITHOUT_COPIES: Millis = Millis(180);

/// Returns a rank's speed relative to its normal speed.
fn relative_rank_speed(status_and_time: &(RankStatus, Millis)) -> f64 {
    1.0 / f64::from(status_and_time.0.slowdown_factor)
        .max(MIN_RELATIVE_WORK_DURATION)
}

/// The lower bound of the duration of an engine's work relative to normal: no
/// engine counts as more than twice as fast as normal.
const MIN_RELATIVE_WORK_DURATION: f64 = 0.5;
