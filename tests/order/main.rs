//! Explores every reachable state of a small group whose maps are switched by
//! orders.
//!
//! The group has three ranks with an agent each. An order may be lost, or
//! executed at any later time and any number of times. A coordinator's
//! directive may be received late, repeatedly or never, and a coordinator's
//! snapshot of a rank may be outdated. A coordinator's VM may freeze and wake
//! at any time, and a successor may take over at any time, even if the
//! coordinator is alive. In every reachable state, no pass begins with two
//! maps, and every hold can still be released.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use cowsliproad::{
    kernel::clock::Millis,
    mapswitch::order::{
        self, ArmOrderStatus, Coordinator, CoordinatorArmingNotice,
        CoordinatorConfig, DesiredState, Directive, Epoch, GroupState,
        MissingRanks, ObeyedCoordinator, Order, RankReport, RankSnapshot,
        VERSIONS_PER_COORDINATOR, Version,
    },
};

const RANK_COUNT: u16 = 3;
const EPOCH: Epoch = Epoch(1);

/// The ranks on the VMs of the first coordinator and of its successor.
const FIRST_COORDINATOR_RANK: u16 = 1;
const SUCCESSOR_COORDINATOR_RANK: u16 = 0;

/// The version of the first coordinator's first map.
const FIRST_MAP_VERSION: u64 = VERSIONS_PER_COORDINATOR;

/// The maximum number of states in a scenario; a larger scenario would take
/// too long.
const MAX_STATES: usize = 600_000;

/// The limits of the exploration of one scenario.
#[derive(Clone, Copy)]
struct Scenario {
    /// The number of passes that the group may begin.
    max_passes: u64,
    /// The number of orders that may go unanswered and be lost or executed
    /// late.
    max_unanswered_orders: usize,
    /// The number of plans that the first coordinator makes.
    max_plans: u64,
    takeover: Takeover,
    snapshot_age: SnapshotAge,
}

/// Whether a coordinator's snapshots may be outdated. Scenarios with both
/// outdated snapshots and a takeover have too many states.
#[derive(Clone, Copy, Eq, PartialEq)]
enum SnapshotAge {
    Any,
    Fresh,
}

/// Whether the first coordinator may freeze and a successor may take over.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Takeover {
    Never,
    Once,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Engine {
    map: u64,
    prepared_map: Option<u64>,
    newest_prepared_map: u64,
    armed_map_and_pass: Option<(u64, u64)>,
    held_pass: Option<u64>,
    fence: u64,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Agent {
    fence: u64,
    directive: Option<Directive>,
    /// The pass of the agent's last unanswered *arm* order, or 0.
    unanswered_arm_step: u64,
    /// The pass for which the agent has received the announcement that the
    /// coordinator's own rank arms.
    announced_coordinator_arming_step: Option<u64>,
}

/// A coordinator, with its last snapshot of each rank and the fencing number
/// that the rank's agent then obeyed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct CoordinatorView {
    coordinator: Coordinator,
    snapshots_by_rank: BTreeMap<u16, (RankSnapshot, u64)>,
}

/// An unanswered order to a rank's engine, which may be executed later.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct LateOrder {
    rank: u16,
    order: ComparableOrder,
    fence: u64,
}

/// An [`Order`] in a form that can be ordered and hashed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum ComparableOrder {
    Prepare(u64),
    Arm(u64, u64),
    Disarm(u64),
    Hold(u64),
    Go(u64),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SystemState {
    step: u64,
    has_mixed_maps: bool,
    engines: Vec<Engine>,
    agents: Vec<Agent>,
    coordinator_views: Vec<CoordinatorView>,
    /// Whether the first coordinator's VM is frozen.
    is_frozen: bool,
    /// Whether the first coordinator's VM has ever been frozen.
    has_frozen: bool,
    late_orders: BTreeSet<LateOrder>,
    unanswered_order_count: usize,
    plans_made: u64,
}

impl SystemState {
    fn new() -> SystemState {
        // All ranks start with the first map prepared. *Prepare* orders affect
        // no pass, so their delivery is not explored.
        let engine = Engine {
            map: 0,
            prepared_map: Some(FIRST_MAP_VERSION),
            newest_prepared_map: FIRST_MAP_VERSION,
            armed_map_and_pass: None,
            held_pass: None,
            fence: 0,
        };
        let (directive, announced_coordinator_arming_step) = (None, None);
        let agent = Agent {
            fence: 0,
            directive,
            unanswered_arm_step: 0,
            announced_coordinator_arming_step,
        };
        let mut first = new_coordinator_view(1, FIRST_COORDINATOR_RANK);
        let report = |rank| RankReport::new(EPOCH, rank, RANK_COUNT);
        let snapshot = |rank| RankSnapshot {
            report: report(rank),
            arm_order_status: ArmOrderStatus::Answered,
            coordinator_arming_notice: CoordinatorArmingNotice::NotReceived,
            obeyed_coordinator: ObeyedCoordinator::This,
        };
        let snapshots: Vec<RankSnapshot> =
            (0..RANK_COUNT).map(snapshot).collect();
        first.coordinator.advance_switch(
            &snapshots,
            MissingRanks::None,
            Millis(0),
        );
        first.coordinator.begin_plan(&snapshots, Millis(0));
        SystemState {
            step: 0,
            has_mixed_maps: false,
            engines: vec![engine; RANK_COUNT.into()],
            agents: vec![agent; RANK_COUNT.into()],
            coordinator_views: vec![first],
            is_frozen: false,
            has_frozen: false,
            late_orders: BTreeSet::new(),
            unanswered_order_count: 0,
            plans_made: 1,
        }
    }

    fn report(&self, rank: u16) -> RankReport {
        let engine = &self.engines[usize::from(rank)];
        RankReport {
            epoch: EPOCH,
            rank,
            ranks: RANK_COUNT,
            group_state: GroupState::Open,
            latest_begun_pass: self.step,
            map: Version(engine.map),
            prepared_map_version: engine.prepared_map.map(Version),
            armed_map_and_pass: engine
                .armed_map_and_pass
                .map(|(map, step)| (Version(map), step)),
            held_pass: engine.held_pass,
        }
    }

    fn arm_order_status(&self, rank: u16) -> ArmOrderStatus {
        let step = self.agents[usize::from(rank)].unanswered_arm_step;
        if step > self.step {
            ArmOrderStatus::InDoubt
        } else {
            ArmOrderStatus::Answered
        }
    }

    fn arming_notice(&self, rank: u16) -> CoordinatorArmingNotice {
        let announced_coordinator_arming_step =
            self.agents[usize::from(rank)].announced_coordinator_arming_step;
        announced_coordinator_arming_step.map_or(
            CoordinatorArmingNotice::NotReceived,
            CoordinatorArmingNotice::Received,
        )
    }

    fn is_unreachable(&self, rank: u16) -> bool {
        self.is_frozen && rank == FIRST_COORDINATOR_RANK
    }

    /// Returns all states that one event in this state can lead to.
    fn next_states(&self, scenario: &Scenario) -> Vec<SystemState> {
        let mut next_states = Vec::new();
        self.add_state_after_next_pass(scenario, &mut next_states);
        self.add_states_after_late_orders(&mut next_states);
        for rank in 0..RANK_COUNT {
            if self.is_unreachable(rank) {
                continue;
            }
            self.add_states_after_directive_receipt(rank, &mut next_states);
            self.add_states_after_next_order(rank, scenario, &mut next_states);
            if scenario.snapshot_age == SnapshotAge::Any {
                self.add_states_after_snapshot_receipt(rank, &mut next_states);
            }
        }
        for view_index in 0..self.coordinator_views.len() {
            if view_index == 0 && self.is_frozen {
                continue;
            }
            self.add_states_after_coordinator_run(
                view_index,
                scenario,
                &mut next_states,
            );
            self.add_states_after_due_hold_orders(
                view_index,
                scenario,
                &mut next_states,
            );
        }
        self.add_states_after_freeze_or_takeover(scenario, &mut next_states);
        next_states
    }

    fn add_state_after_next_pass(
        &self,
        scenario: &Scenario,
        next_states: &mut Vec<SystemState>,
    ) {
        let next = self.step + 1;
        let held = self.engines.iter().any(|it| it.held_pass == Some(next));
        if held || next > scenario.max_passes {
            return;
        }
        let mut state = self.clone();
        state.step = next;
        for engine in &mut state.engines {
            if let Some((map, step)) = engine.armed_map_and_pass
                && step == next
            {
                engine.map = map;
                engine.armed_map_and_pass = None;
                engine.prepared_map = None;
            }
        }
        let map = state.engines[0].map;
        state.has_mixed_maps = state.engines.iter().any(|it| it.map != map);
        // An order for a pass that has begun no longer has an effect.
        state.late_orders.retain(|it| match it.order {
            ComparableOrder::Arm(_, step)
            | ComparableOrder::Hold(step)
            | ComparableOrder::Go(step) => step > next,
            ComparableOrder::Prepare(_) | ComparableOrder::Disarm(_) => true,
        });
        next_states.push(state);
    }

    /// Adds the states in which one late order is executed, and the state in
    /// which all late orders have expired.
    fn add_states_after_late_orders(
        &self,
        next_states: &mut Vec<SystemState>,
    ) {
        if !self.late_orders.is_empty() {
            let mut state = self.clone();
            state.late_orders.clear();
            for agent in &mut state.agents {
                agent.unanswered_arm_step = 0;
            }
            next_states.push(state);
        }
        for late in &self.late_orders {
            let mut state = self.clone();
            state.execute_order(late.rank, late.order, late.fence);
            next_states.push(state);
        }
    }

    fn add_states_after_directive_receipt(
        &self,
        rank: u16,
        next_states: &mut Vec<SystemState>,
    ) {
        for view in &self.coordinator_views {
            let directive = view.coordinator.directive();
            let agent = &self.agents[usize::from(rank)];
            if directive.fencing_number < agent.fence {
                continue;
            }
            let mut state = self.clone();
            let agent = &mut state.agents[usize::from(rank)];
            agent.fence = directive.fencing_number;
            agent.announced_coordinator_arming_step =
                order::announced_coordinator_arming_step(&directive)
                    .or(agent.announced_coordinator_arming_step);
            // In this exploration, an agent acts only on directives to arm,
            // disarm or release.
            agent.directive = match directive.desired_state {
                DesiredState::Armed { .. }
                | DesiredState::Sealed { .. }
                | DesiredState::Disarmed
                | DesiredState::Released(_) => Some(directive),
                DesiredState::Rest
                | DesiredState::Prepared(_)
                | DesiredState::Held { .. } => None,
            };
            if state != *self {
                next_states.push(state);
            }
        }
    }

    fn add_states_after_next_order(
        &self,
        rank: u16,
        scenario: &Scenario,
        next_states: &mut Vec<SystemState>,
    ) {
        let agent = &self.agents[usize::from(rank)];
        let Some(directive) = agent.directive else { return };
        let experts = Arc::new(Vec::new());
        let plan = match directive.desired_state {
            DesiredState::Prepared(version) => Some((version, &experts)),
            _ => None,
        };
        let Some(order) =
            order::next_order(&directive, &self.report(rank), plan)
        else {
            return;
        };
        let order = comparable_order(&order);
        self.add_states_after_sent_order(
            rank,
            order,
            directive.fencing_number,
            scenario,
            next_states,
        );
    }

    /// Adds the state in which an order is executed and answered, and the
    /// state in which it goes unanswered and may be executed later.
    fn add_states_after_sent_order(
        &self,
        rank: u16,
        sent_order: ComparableOrder,
        fence: u64,
        scenario: &Scenario,
        next_states: &mut Vec<SystemState>,
    ) {
        let mut state = self.clone();
        state.execute_order(rank, sent_order, fence);
        next_states.push(state);
        if self.unanswered_order_count >= scenario.max_unanswered_orders {
            return;
        }
        let mut state = self.clone();
        state.unanswered_order_count += 1;
        state.late_orders.insert(LateOrder { rank, order: sent_order, fence });
        if let ComparableOrder::Arm(_, step) = sent_order {
            state.agents[usize::from(rank)].unanswered_arm_step = step;
        }
        next_states.push(state);
    }

    /// Adds the states in which one coordinator receives a rank's snapshot.
    fn add_states_after_snapshot_receipt(
        &self,
        rank: u16,
        next_states: &mut Vec<SystemState>,
    ) {
        let agent = &self.agents[usize::from(rank)];
        let snapshot = RankSnapshot {
            report: self.report(rank),
            arm_order_status: self.arm_order_status(rank),
            coordinator_arming_notice: self.arming_notice(rank),
            obeyed_coordinator: ObeyedCoordinator::Another,
        };
        for view_index in 0..self.coordinator_views.len() {
            if view_index == 0 && self.is_frozen {
                continue;
            }
            let reported = (snapshot.clone(), agent.fence);
            let previous = self.coordinator_views[view_index]
                .snapshots_by_rank
                .get(&rank);
            // Skip a snapshot that differs from the stored snapshot only in
            // its pass: the next changed snapshot updates the pass of all
            // stored snapshots.
            let is_unchanged = |it: &(RankSnapshot, u64)| {
                let mut old = it.clone();
                old.0.report.latest_begun_pass = self.step;
                old == reported
            };
            if previous.is_some_and(is_unchanged) {
                continue;
            }
            let mut state = self.clone();
            state.coordinator_views[view_index]
                .snapshots_by_rank
                .insert(rank, reported);
            for (snapshot, _) in state.coordinator_views[view_index]
                .snapshots_by_rank
                .values_mut()
            {
                snapshot.report.latest_begun_pass = self.step;
            }
            next_states.push(state);
        }
    }

    /// Adds the states in which a coordinator acts on its snapshots.
    fn add_states_after_coordinator_run(
        &self,
        view_index: usize,
        scenario: &Scenario,
        next_states: &mut Vec<SystemState>,
    ) {
        let snapshots = match scenario.snapshot_age {
            SnapshotAge::Any => self.coordinator_views[view_index].snapshots(),
            SnapshotAge::Fresh => self.current_snapshots(view_index),
        };
        let is_complete = snapshots.len() == usize::from(RANK_COUNT);
        if is_complete {
            self.add_state_after_switch_advance(
                view_index,
                &snapshots,
                MissingRanks::None,
                scenario,
                next_states,
            );
        }
        // A successor may assume that its predecessor is gone, even if the
        // predecessor is alive.
        let others: Vec<RankSnapshot> = snapshots
            .iter()
            .filter(|it| it.report.rank != FIRST_COORDINATOR_RANK)
            .cloned()
            .collect();
        if view_index == 1 && others.len() + 1 == usize::from(RANK_COUNT) {
            let missing = MissingRanks::Predecessor(1);
            self.add_state_after_switch_advance(
                view_index,
                &others,
                missing,
                scenario,
                next_states,
            );
        }
    }

    /// Returns up-to-date snapshots of all reachable ranks for a coordinator.
    fn current_snapshots(&self, view_index: usize) -> Vec<RankSnapshot> {
        let fence =
            self.coordinator_views[view_index].coordinator.fencing_number();
        let reachable = (0..RANK_COUNT).filter(|it| !self.is_unreachable(*it));
        let snapshot = |rank: u16| {
            let agent = &self.agents[usize::from(rank)];
            RankSnapshot {
                report: self.report(rank),
                arm_order_status: self.arm_order_status(rank),
                coordinator_arming_notice: self.arming_notice(rank),
                obeyed_coordinator: obeyed_coordinator(agent.fence, fence),
            }
        };
        reachable.map(snapshot).collect()
    }

    fn add_state_after_switch_advance(
        &self,
        view_index: usize,
        snapshots: &[RankSnapshot],
        missing: MissingRanks,
        scenario: &Scenario,
        next_states: &mut Vec<SystemState>,
    ) {
        let mut state = self.clone();
        let coordinator = &mut state.coordinator_views[view_index].coordinator;
        coordinator.advance_switch(snapshots, missing, Millis(0));
        let may_plan = view_index == 0
            && self.plans_made < scenario.max_plans
            && coordinator.is_idle()
            && coordinator.directive().epoch == EPOCH;
        if may_plan {
            coordinator.begin_plan(snapshots, Millis(0));
            state.plans_made += 1;
        }
        if state != *self {
            next_states.push(state);
        }
    }

    fn add_states_after_due_hold_orders(
        &self,
        view_index: usize,
        scenario: &Scenario,
        next_states: &mut Vec<SystemState>,
    ) {
        let directive =
            self.coordinator_views[view_index].coordinator.directive();
        for rank in 0..RANK_COUNT {
            let report = self.report(rank);
            let order = order::due_hold_order(&directive, &report);
            if let Some(order) = order
                && !self.is_unreachable(rank)
            {
                self.add_states_after_sent_order(
                    rank,
                    comparable_order(&order),
                    directive.fencing_number,
                    scenario,
                    next_states,
                );
            }
        }
    }

    fn add_states_after_freeze_or_takeover(
        &self,
        scenario: &Scenario,
        next_states: &mut Vec<SystemState>,
    ) {
        if scenario.takeover == Takeover::Never {
            return;
        }
        if !self.has_frozen {
            let mut state = self.clone();
            (state.is_frozen, state.has_frozen) = (true, true);
            next_states.push(state);
        }
        if self.is_frozen {
            let mut state = self.clone();
            state.is_frozen = false;
            next_states.push(state);
        }
        if self.coordinator_views.len() == 1 {
            let mut state = self.clone();
            state
                .coordinator_views
                .push(new_coordinator_view(2, SUCCESSOR_COORDINATOR_RANK));
            next_states.push(state);
        }
    }

    /// Executes an order at a rank's engine, unless the engine has seen a
    /// higher fencing number.
    fn execute_order(
        &mut self,
        rank: u16,
        order: ComparableOrder,
        fence: u64,
    ) {
        let step = self.step;
        let engine = &mut self.engines[usize::from(rank)];
        if fence < engine.fence {
            return;
        }
        engine.fence = fence;
        match order {
            ComparableOrder::Prepare(map) => {
                if map > engine.newest_prepared_map
                    && engine.armed_map_and_pass.is_none()
                {
                    engine.newest_prepared_map = map;
                    engine.prepared_map = Some(map);
                }
            }
            ComparableOrder::Arm(map, pass) => {
                if engine.prepared_map == Some(map) && pass > step {
                    engine.armed_map_and_pass = Some((map, pass));
                }
            }
            ComparableOrder::Disarm(map) => {
                if engine.armed_map_and_pass.is_some_and(|it| it.0 == map) {
                    engine.armed_map_and_pass = None;
                }
            }
            ComparableOrder::Hold(pass) => {
                if pass > step {
                    engine.held_pass = Some(pass);
                }
            }
            ComparableOrder::Go(pass) => {
                if engine.held_pass == Some(pass) {
                    engine.held_pass = None;
                }
            }
        }
    }

    /// Returns whether no engine holds the group before a pass to come.
    fn is_group_released(&self) -> bool {
        self.engines
            .iter()
            .all(|it| it.held_pass.is_none_or(|pass| pass <= self.step))
    }
}

impl CoordinatorView {
    fn snapshots(&self) -> Vec<RankSnapshot> {
        let fence = self.coordinator.fencing_number();
        let snapshot = |(snapshot, known_fence): &(RankSnapshot, u64)| {
            let mut snapshot = snapshot.clone();
            snapshot.obeyed_coordinator =
                obeyed_coordinator(*known_fence, fence);
            snapshot
        };
        self.snapshots_by_rank.values().map(snapshot).collect()
    }
}

fn new_coordinator_view(fence: u64, rank: u16) -> CoordinatorView {
    let config = CoordinatorConfig::new().with_switch_lead_passes(2, 2);
    let coordinator = Coordinator::new(config, fence, rank);
    CoordinatorView { coordinator, snapshots_by_rank: BTreeMap::new() }
}

/// Returns whose directives an agent obeys, given the fencing number that the
/// agent obeys and the number of the coordinator that asks.
fn obeyed_coordinator(known_fence: u64, fence: u64) -> ObeyedCoordinator {
    if known_fence >= fence {
        ObeyedCoordinator::This
    } else {
        ObeyedCoordinator::Another
    }
}

fn comparable_order(order: &Order) -> ComparableOrder {
    match order {
        Order::Prepare(version, _) => ComparableOrder::Prepare(version.0),
        Order::Arm(version, step) => ComparableOrder::Arm(version.0, *step),
        Order::Disarm(version) => ComparableOrder::Disarm(version.0),
        Order::Hold(step) => ComparableOrder::Hold(*step),
        Order::Go(step) => ComparableOrder::Go(*step),
    }
}

fn state_hash(state: &SystemState) -> u128 {
    let half = |seed: u8| {
        let mut hasher = DefaultHasher::new();
        seed.hash(&mut hasher);
        state.hash(&mut hasher);
        u128::from(hasher.finish())
    };
    half(1) << 64 | half(2)
}

/// Explores a scenario. Checks that no pass of any state has two maps, and
/// that from every state, a state can be reached in which no rank holds the
/// group.
fn check_scenario(scenario: Scenario) {
    // States are stored as 128-bit hashes. Among a few million states, the
    // probability of a collision is below 10^-24.
    let mut numbers: HashMap<u128, u32> = HashMap::new();
    let mut predecessors: Vec<Vec<u32>> = vec![Vec::new()];
    let mut is_group_released = vec![true];
    let mut changed = false;
    let mut queue = VecDeque::from([(SystemState::new(), 0)]);
    numbers.insert(state_hash(&SystemState::new()), 0);
    while let Some((state, number)) = queue.pop_front() {
        for next in state.next_states(&scenario) {
            assert!(!next.has_mixed_maps, "two maps in one pass: {next:#?}");
            changed |=
                next.engines.iter().all(|it| it.map == FIRST_MAP_VERSION);
            let next_number = numbers.len() as u32;
            let found =
                *numbers.entry(state_hash(&next)).or_insert(next_number);
            if found == next_number {
                assert!(
                    numbers.len() < MAX_STATES,
                    "the scenario has too many states"
                );
                predecessors.push(Vec::new());
                is_group_released.push(next.is_group_released());
                queue.push_back((next, next_number));
            }
            predecessors[found as usize].push(number);
        }
    }
    assert!(changed, "no state has completed a switch");
    let mut can_be_released: Vec<bool> = is_group_released.clone();
    let mut reached: VecDeque<u32> = (0..is_group_released.len() as u32)
        .filter(|it| is_group_released[*it as usize])
        .collect();
    while let Some(number) = reached.pop_front() {
        for predecessor in &predecessors[number as usize] {
            if !can_be_released[*predecessor as usize] {
                can_be_released[*predecessor as usize] = true;
                reached.push_back(*predecessor);
            }
        }
    }
    let never_released = can_be_released.iter().filter(|it| !**it).count();
    assert_eq!(never_released, 0, "states whose hold can never be released");
    println!("{} states", numbers.len());
}

#[test]
fn lost_and_late_orders_neither_mix_maps_nor_block() {
    check_scenario(Scenario {
        max_passes: 3,
        max_unanswered_orders: 2,
        max_plans: 1,
        takeover: Takeover::Never,
        snapshot_age: SnapshotAge::Any,
    });
}

#[test]
fn late_orders_do_not_affect_the_next_switch() {
    check_scenario(Scenario {
        max_passes: 4,
        max_unanswered_orders: 1,
        max_plans: 2,
        takeover: Takeover::Never,
        snapshot_age: SnapshotAge::Any,
    });
}

#[test]
fn a_frozen_coordinator_and_its_successor_mix_no_maps() {
    check_scenario(Scenario {
        max_passes: 3,
        max_unanswered_orders: 0,
        max_plans: 1,
        takeover: Takeover::Once,
        snapshot_age: SnapshotAge::Fresh,
    });
}

#[test]
fn a_takeover_with_a_late_order_mixes_no_maps() {
    check_scenario(Scenario {
        max_passes: 2,
        max_unanswered_orders: 1,
        max_plans: 1,
        takeover: Takeover::Once,
        snapshot_age: SnapshotAge::Fresh,
    });
}

/// Returns the snapshots that the successor of a frozen coordinator has: all
/// reachable ranks are armed, and their agents have or haven't received the
/// arming notice (the announcement that the coordinator's rank arms).
fn snapshots_after_coordinator_freeze(
    arming_notice: CoordinatorArmingNotice,
) -> Vec<RankSnapshot> {
    let snapshot = |rank| RankSnapshot {
        report: RankReport {
            epoch: EPOCH,
            rank,
            ranks: RANK_COUNT,
            group_state: GroupState::Open,
            latest_begun_pass: 1,
            map: Version(0),
            prepared_map_version: Some(Version(FIRST_MAP_VERSION)),
            armed_map_and_pass: Some((Version(FIRST_MAP_VERSION), 3)),
            held_pass: (rank == SUCCESSOR_COORDINATOR_RANK).then_some(3),
        },
        arm_order_status: ArmOrderStatus::Answered,
        coordinator_arming_notice: arming_notice,
        obeyed_coordinator: ObeyedCoordinator::This,
    };
    (0..RANK_COUNT)
        .filter(|it| *it != FIRST_COORDINATOR_RANK)
        .map(snapshot)
        .collect()
}

/// Returns the state that the successor of a frozen coordinator wants, given
/// whether the reachable ranks' agents have received the arming notice.
fn desired_state_of_successor(
    arming_notice: CoordinatorArmingNotice,
    predecessor_fencing_number: u64,
) -> DesiredState {
    let mut successor =
        new_coordinator_view(2, SUCCESSOR_COORDINATOR_RANK).coordinator;
    let snapshots = snapshots_after_coordinator_freeze(arming_notice);
    let missing = MissingRanks::Predecessor(predecessor_fencing_number);
    for _ in 0..2 {
        successor.advance_switch(&snapshots, missing, Millis(0));
    }
    successor.directive().desired_state
}

#[test]
fn a_switch_is_cancelled_if_the_frozen_rank_is_not_armed() {
    assert_eq!(
        desired_state_of_successor(CoordinatorArmingNotice::NotReceived, 1),
        DesiredState::Disarmed
    );
    assert_eq!(
        desired_state_of_successor(CoordinatorArmingNotice::Received(2), 1),
        DesiredState::Disarmed
    );
}

#[test]
fn a_switch_is_kept_if_the_frozen_rank_may_be_armed() {
    assert_eq!(
        desired_state_of_successor(CoordinatorArmingNotice::Received(3), 1),
        DesiredState::Rest
    );
    assert_eq!(
        desired_state_of_successor(CoordinatorArmingNotice::Unknown, 1),
        DesiredState::Rest
    );
    // The frozen coordinator had itself taken over the switch from an earlier
    // coordinator.
    assert_eq!(
        desired_state_of_successor(CoordinatorArmingNotice::NotReceived, 7),
        DesiredState::Rest
    );
}
