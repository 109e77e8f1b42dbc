//! The coordinator of a group: what it knows of all ranks, when it plans, and
//! what it says.

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
use slog::{Logger, info};

use crate::{
    plan::{Plan, Sheet},
    wire::{Choices, Status},
};

/// A report older than this isn't planned or acted on.
const FRESH: Millis = Millis(900);

/// An agent that is silent for so long may be frozen or gone, and its engine
/// is asked from afar. It is a little more than agents need to report in
/// calm times.
const SILENT: Millis = Millis(600);

/// How often the counts are summed.
const SAMPLE_TIME: Millis = Millis(50);

/// The shortest time between two searches for a better map.
const PLAN_TIME: Millis = Millis(50);

/// A coordinator and its view of the group.
#[derive(Debug)]
pub struct Lead {
    coordinator: Coordinator,
    /// The VM of the one that led before, and its fencing number.
    predecessor: Option<(IpAddr, u64)>,
    ranks: BTreeMap<u16, (Status, Millis)>,
    /// What all ranks together counted since this one leads.
    total: CumulativeCounts,
    demand: DemandEstimator,
    sampled: Millis,
    planned: Millis,
    plan: Option<Plan>,
    /// The plan that was made before this one.
    before: Option<Plan>,
    /// The plan whose map is in use, if this one made it.
    used: Option<Plan>,
    price: f64,
    /// Whether it is to begin no further change.
    stopping: bool,
    log: Logger,
}

/// What a coordinator begins with.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Its fencing number.
    pub fence: u64,
    /// Its own rank.
    pub rank: u16,
    /// The VM of the one that led before, and its fencing number.
    pub predecessor: Option<(IpAddr, u64)>,
}

impl Lead {
    /// A coordinator that has heard nothing yet.
    pub fn new(start: Start, price: f64, log: Logger) -> Lead {
        Lead {
            coordinator: Coordinator::new(
                CoordinatorConfig::new(),
                start.fence,
                start.rank,
            ),
            predecessor: start.predecessor,
            ranks: BTreeMap::new(),
            total: CumulativeCounts::new(),
            demand: DemandEstimator::new(),
            sampled: Millis(0),
            planned: Millis(0),
            plan: None,
            before: None,
            used: None,
            price,
            stopping: false,
            log,
        }
    }

    /// Its fencing number.
    pub fn fence(&self) -> u64 {
        self.coordinator.fencing_number()
    }

    /// Its word to all.
    pub fn directive(&self) -> Directive {
        self.coordinator.directive()
    }

    /// The plan in force.
    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// The agents that it heard from.
    pub fn agents(&self) -> impl Iterator<Item = SocketAddr> {
        self.ranks.values().map(|it| it.0.agent)
    }

    /// The plan in force for the agents that lack it: those that have the one
    /// before need only what differs.
    pub fn sheets(&self) -> Vec<(Sheet, Vec<SocketAddr>)> {
        let Some(plan) = &self.plan else { return Vec::new() };
        let version = Some(plan.version);
        let lacks = |it: &&(Status, Millis)| it.0.plan != version;
        let before = self.before.as_ref();
        let knows = |it: &&(Status, Millis)| {
            before.is_some_and(|before| it.0.plan == Some(before.version))
        };
        let lacking = self.ranks.values().filter(lacks);
        let (knowing, others): (Vec<_>, Vec<_>) = lacking.partition(knows);
        let agents = |ranks: Vec<&(Status, Millis)>| {
            ranks.into_iter().map(|it| it.0.agent).collect()
        };
        let since = before.map(|it| (Sheet::since(it, plan), agents(knowing)));
        let whole = (Sheet::whole(plan), agents(others));
        since.into_iter().chain([whole]).collect()
    }

    /// Whether nothing was heard of a rank for some time, by its VM.
    pub fn is_silent(&self, vm: IpAddr, now: Millis) -> bool {
        let heard = self.ranks.values().filter(|it| it.0.agent.ip() == vm);
        heard.map(|it| now.since(it.1)).all(|age| age > SILENT)
    }

    /// Begins no further change.
    pub fn plan_no_more(&mut self) {
        self.stopping = true;
    }

    /// Takes a rank's status in.
    pub fn take(&mut self, mut status: Status, now: Millis) {
        let rank = status.report.rank;
        if let Some((known, _)) = self.ranks.get_mut(&rank) {
            let newer = known.report.epoch <= status.report.epoch;
            if !newer {
                return;
            }
            // A report from afar comes without lists.
            status.experts = status.experts.or(known.experts.take());
        }
        self.ranks.insert(rank, (status, now));
    }

    /// Takes what a rank counted in.
    pub fn count(&mut self, choices: Choices, experts: usize) {
        let Choices { scale, units } = choices;
        CountGrowth { counts_per_unit: scale, growth_in_units: units }
            .add_to_counts(&mut self.total, experts);
    }

    /// Goes on by what all ranks report now.
    pub fn advance(&mut self, shape: Option<&LoadSubscription>, now: Millis) {
        let snapshots = self.snapshots(now);
        let absent = self.absent(shape, now);
        let event = self.coordinator.advance_switch(&snapshots, absent, now);
        self.note(event);
        if absent != MissingRanks::None {
            return;
        }
        self.sample(now);
        self.drop_overtaken();
        let is_open =
            |it: &RankSnapshot| it.report.standing == GroupState::Open;
        let open = snapshots.iter().all(is_open);
        let due = now.since(self.planned) >= PLAN_TIME;
        if let Some(shape) = shape
            && self.coordinator.is_idle()
            && self.directive().epoch == snapshots[0].report.epoch
            && open
            && due
            && !self.stopping
        {
            self.planned = now;
            self.consider(shape, &snapshots, now);
        }
    }

    /// What is known freshly of the ranks.
    fn snapshots(&self, now: Millis) -> Vec<RankSnapshot> {
        let fresh = self.ranks.values().filter(|it| now.since(it.1) < FRESH);
        fresh.map(|it| self.snapshot(&it.0)).collect()
    }

    /// What a status says. An agent that has not heard of this coordinator
    /// may yet do what another told it.
    fn snapshot(&self, status: &Status) -> RankSnapshot {
        let obeys = if status.fence >= self.fence() {
            ObeyedCoordinator::This
        } else {
            ObeyedCoordinator::Another
        };
        let (report, seal) = (status.report.clone(), status.seal);
        RankSnapshot {
            report,
            arm_order_status: status.arms,
            coordinator_arming_notice: seal,
            obeyed_coordinator: obeys,
        }
    }

    /// Who of the group is missing among them.
    fn absent(
        &self,
        shape: Option<&LoadSubscription>,
        now: Millis,
    ) -> MissingRanks {
        let fresh = |it: &&(Status, Millis)| now.since(it.1) < FRESH;
        let fresh: Vec<&Status> =
            self.ranks.values().filter(fresh).map(|it| &it.0).collect();
        let ranks = fresh.first().map_or(0, |it| it.report.ranks);
        if ranks > 0 && fresh.len() == usize::from(ranks) {
            return MissingRanks::None;
        }
        let Some((vm, fence)) = self.predecessor else {
            return MissingRanks::Others;
        };
        let known =
            shape.is_some_and(|it| it.targets.iter().any(|it| it.ip() == vm));
        let only = fresh.len() + 1 == usize::from(ranks);
        if only && known && !fresh.iter().any(|it| it.agent.ip() == vm) {
            MissingRanks::Predecessor(fence)
        } else {
            MissingRanks::Others
        }
    }

    /// The engine that is to hold the group, and what to order there.
    pub fn hold(&self) -> Option<(IpAddr, Order)> {
        let word = self.directive();
        self.ranks.values().find_map(|(status, _)| {
            let order = due_hold_order(&word, &status.report)?;
            Some((status.agent.ip(), order))
        })
    }

    fn note(&mut self, event: SwitchEvent) {
        match event {
            SwitchEvent::None => {}
            SwitchEvent::Changed(version) => {
                info!(self.log, "map_changed"; "version" => version.0);
                self.used = self.plan.clone();
            }
            SwitchEvent::Abandoned(version) => {
                info!(self.log, "plan_given_up"; "version" => version.0);
                self.drop_plan();
            }
            SwitchEvent::Resumed(version) => {
                info!(self.log, "change_taken_up"; "version" => version.0);
            }
            SwitchEvent::Cancelled(version) => {
                info!(self.log, "change_called_off"; "version" => version.0);
            }
            SwitchEvent::Reset(epoch) => {
                info!(self.log, "group_formed"; "epoch" => epoch.0);
                // What is liked doesn't change because a rank was away.
                self.drop_plan();
            }
        }
    }

    /// Drops a plan whose demand has shifted since, while no rank has armed
    /// for it. Its copies would be waited for, and its map be out of date when
    /// it comes.
    fn drop_overtaken(&mut self) {
        if self.demand.demand_shifted_at() < self.planned {
            return;
        }
        if let Some(version) = self.coordinator.abandon_plan() {
            info!(self.log, "plan_overtaken"; "version" => version.0);
            self.drop_plan();
        }
    }

    /// Drops the plan in force. Agents may have it already, so the next one
    /// is told by what differs from it.
    fn drop_plan(&mut self) {
        self.before = self.plan.take().or(self.before.take());
    }

    fn sample(&mut self, now: Millis) {
        if now.since(self.sampled) < SAMPLE_TIME {
            return;
        }
        self.sampled = now;
        self.demand.record_counts(now, self.total.clone());
    }

    /// Begins a better map if there is one.
    fn consider(
        &mut self,
        shape: &LoadSubscription,
        snapshots: &[RankSnapshot],
        now: Millis,
    ) {
        let Some(loads) = self.demand.current_loads() else { return };
        let shape_of_map = Shape {
            rank_count: snapshots.len(),
            expert_count: usize::from(shape.experts_per_layer_set),
            layer_count: usize::from(shape.layer_set_count),
            slots_per_rank: usize::from(shape.expert_slots_per_layer_set),
        };
        let Some(present) = self.present(shape_of_map, snapshots) else {
            return;
        };
        let config = live::LivePlanConfig::new(usize::from(
            shape.max_new_experts_per_layer_set,
        ))
        .with_max_new_experts_per_rank(burst(Millis(shape.expert_copy_ms)))
        .with_copy_cost(self.price);
        let speeds: Vec<f64> = self.ranks.values().map(speed).collect();
        let plan = live::plan(shape_of_map, config, &present, &loads, &speeds);
        let Some(plan) = plan else {
            return;
        };
        let version = self.coordinator.begin_plan(snapshots, now);
        let ideal = ideal_step_time(&loads, &speeds);
        let bound =
            bound::min_step_time(shape_of_map, &loads, &speeds) / ideal;
        info!(self.log, "map_planned"; "version" => version.0,
            "skew" => format!("{:.3}", plan.present_step_time_ratio_to_ideal),
            "expected" => format!("{:.3}", plan.planned_step_time_ratio_to_ideal),
            "bound" => format!("{bound:.3}"),
            "slowest" => speeds.iter().copied().fold(1.0, f64::min),
            "copies" => plan.move_count, "step" => snapshots[0].report.step,
            "counted" => loads.iter().flatten().sum::<f64>());
        let directive = self.directive();
        let last = self.plan.replace(Plan {
            fence: directive.fencing_number,
            epoch: directive.epoch,
            version,
            experts: Arc::new(plan.map.experts_by_layer_and_rank()),
        });
        self.before = last.or(self.before.take());
    }

    /// The map in use, put together from what each rank has.
    fn present(
        &self,
        shape: Shape,
        snapshots: &[RankSnapshot],
    ) -> Option<Map> {
        let version: Version = snapshots.first()?.report.map;
        if let Some(plan) = &self.used
            && plan.version == version
            && snapshots.iter().all(|it| it.report.map == version)
        {
            return Map::from_experts(shape, &plan.experts);
        }
        let mut experts: ExpertsByLayerAndRank =
            vec![vec![Vec::new(); shape.rank_count]; shape.layer_count];
        for (status, _) in self.ranks.values() {
            let (listed, sets) = status.experts.as_ref()?;
            if *listed != version || status.report.map != version {
                return None;
            }
            let rank = usize::from(status.report.rank);
            for (set, held) in sets.iter().enumerate() {
                *experts.get_mut(set)?.get_mut(rank)? = held.clone();
            }
        }
        Map::from_experts(shape, &experts)
    }
}

/// Experts that a map may bring anew to a rank: as many as are copied in the
/// time that the rest of a change takes, and one at least.
fn burst(copy_time: Millis) -> usize {
    let most = CHANGE_TIME.0.checked_div(copy_time.0);
    most.map_or(usize::MAX, |it| it.max(1) as usize)
}

/// What a change of map takes beside its copies: words, orders and the passes
/// up to its boundary. With copies of 76 ms in groups of 24, heavy days were
/// worth 0.71 at five copies a rank, 0.75 at three, 0.77 at two and 0.76 at
/// one.
const CHANGE_TIME: Millis = Millis(180);

/// How fast a rank works, beside the usual.
fn speed(rank: &(Status, Millis)) -> f64 {
    1.0 / f64::from(rank.0.pace).max(MIN_PACE)
}

/// An engine isn't taken to be faster than this.
const MIN_PACE: f64 = 0.5;
