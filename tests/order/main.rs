//! The change of maps by orders, explored completely in small scopes.
//!
//! Three ranks with an agent each. Orders may be lost, carried out at any
//! later time and any number of times; words of coordinators may be heard
//! late, again or never; what a coordinator has seen of a rank may be old;
//! a coordinator's VM may freeze and wake at any point, and a successor may
//! take over at any point, rightly or not. In every world that can come of
//! it, no pass begins with two maps, and any hold can still be released.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use cowsliproad::{
    kernel::clock::Millis,
    mapswitch::order::{
        self, Aim, ArmOrders, Config, Coordinator, Directive, Epoch,
        GroupState, MissingRanks, ObeyedCoordinator, Order, Report,
        SealStatus, Snapshot, VERSIONS_PER_COORDINATOR, Version,
    },
};

const RANKS: u16 = 3;
const EPOCH: Epoch = Epoch(1);

/// The rank beside the first coordinator, and beside its successor.
const FIRST: u16 = 1;
const SECOND: u16 = 0;

/// The first map of the first coordinator.
const FIRST_MAP: u64 = VERSIONS_PER_COORDINATOR;

/// Worlds that a scope may have; a larger one would take too long.
const MAX_WORLDS: usize = 600_000;

/// What may happen.
#[derive(Clone, Copy)]
struct Scope {
    /// Passes that are begun.
    steps: u64,
    /// Orders that may be lost or late.
    late: usize,
    /// Plans that the first coordinator makes.
    plans: u64,
    takeover: Takeover,
    snapshots: Sights,
}

/// How old what a coordinator looks at may be. With old snapshots the scopes
/// with a takeover have too many worlds.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Sights {
    Any,
    Fresh,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Takeover {
    Never,
    Once,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Engine {
    map: u64,
    prepared: Option<u64>,
    newest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    fence: u64,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Agent {
    fence: u64,
    word: Option<Directive>,
    /// The pass of its last unanswered *arm*.
    unanswered: u64,
    /// The pass for which it heard that the coordinator's rank arms.
    sealed: Option<u64>,
}

/// A coordinator and what it saw last of each rank.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Chair {
    coordinator: Coordinator,
    seen: BTreeMap<u16, (Snapshot, u64)>,
}

/// An order that went unanswered.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Late {
    rank: u16,
    order: Plain,
    fence: u64,
}

/// An order as it can be compared.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Plain {
    Prepare(u64),
    Arm(u64, u64),
    Disarm(u64),
    Hold(u64),
    Go(u64),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    step: u64,
    mixed: bool,
    engines: Vec<Engine>,
    agents: Vec<Agent>,
    chairs: Vec<Chair>,
    /// Whether the first coordinator's VM is frozen.
    frozen: bool,
    froze: bool,
    late: BTreeSet<Late>,
    lost: usize,
    planned: u64,
}

impl World {
    fn new() -> World {
        // Preparing is done: its orders change no pass.
        let engine = Engine {
            map: 0,
            prepared: Some(FIRST_MAP),
            newest: FIRST_MAP,
            armed: None,
            held: None,
            fence: 0,
        };
        let (word, sealed) = (None, None);
        let agent = Agent { fence: 0, word, unanswered: 0, sealed };
        let mut first = chair(1, FIRST);
        let report = |rank| Report::new(EPOCH, rank, RANKS);
        let snapshot = |rank| Snapshot {
            report: report(rank),
            arms: ArmOrders::Answered,
            seal: SealStatus::NotReceived,
            obeys: ObeyedCoordinator::This,
        };
        let snapshots: Vec<Snapshot> = (0..RANKS).map(snapshot).collect();
        first.coordinator.advance(&snapshots, MissingRanks::None, Millis(0));
        first.coordinator.begin_plan(&snapshots, Millis(0));
        World {
            step: 0,
            mixed: false,
            engines: vec![engine; RANKS.into()],
            agents: vec![agent; RANKS.into()],
            chairs: vec![first],
            frozen: false,
            froze: false,
            late: BTreeSet::new(),
            lost: 0,
            planned: 1,
        }
    }

    fn report(&self, rank: u16) -> Report {
        let engine = &self.engines[usize::from(rank)];
        Report {
            epoch: EPOCH,
            rank,
            ranks: RANKS,
            standing: GroupState::Open,
            step: self.step,
            map: Version(engine.map),
            prepared: engine.prepared.map(Version),
            armed: engine.armed.map(|(map, step)| (Version(map), step)),
            held: engine.held,
        }
    }

    fn arms(&self, rank: u16) -> ArmOrders {
        let step = self.agents[usize::from(rank)].unanswered;
        if step > self.step { ArmOrders::InDoubt } else { ArmOrders::Answered }
    }

    fn seal(&self, rank: u16) -> SealStatus {
        let sealed = self.agents[usize::from(rank)].sealed;
        sealed.map_or(SealStatus::NotReceived, SealStatus::Received)
    }

    fn is_out_of_reach(&self, rank: u16) -> bool {
        self.frozen && rank == FIRST
    }

    /// All worlds that may come next.
    fn next(&self, scope: &Scope) -> Vec<World> {
        let mut worlds = Vec::new();
        self.pass(scope, &mut worlds);
        self.land_late(&mut worlds);
        for rank in 0..RANKS {
            if self.is_out_of_reach(rank) {
                continue;
            }
            self.hear(rank, &mut worlds);
            self.obey(rank, scope, &mut worlds);
            if scope.snapshots == Sights::Any {
                self.tell(rank, &mut worlds);
            }
        }
        for chair in 0..self.chairs.len() {
            if chair == 0 && self.frozen {
                continue;
            }
            self.look(chair, scope, &mut worlds);
            self.order_hold(chair, scope, &mut worlds);
        }
        self.freeze(scope, &mut worlds);
        worlds
    }

    fn pass(&self, scope: &Scope, worlds: &mut Vec<World>) {
        let next = self.step + 1;
        let held = self.engines.iter().any(|it| it.held == Some(next));
        if held || next > scope.steps {
            return;
        }
        let mut world = self.clone();
        world.step = next;
        for engine in &mut world.engines {
            if let Some((map, step)) = engine.armed
                && step == next
            {
                engine.map = map;
                engine.armed = None;
                engine.prepared = None;
            }
        }
        let map = world.engines[0].map;
        world.mixed = world.engines.iter().any(|it| it.map != map);
        // Orders for passes that were begun can do nothing any more.
        world.late.retain(|it| match it.order {
            Plain::Arm(_, step) | Plain::Hold(step) | Plain::Go(step) => {
                step > next
            }
            Plain::Prepare(_) | Plain::Disarm(_) => true,
        });
        worlds.push(world);
    }

    /// Late orders land, or it is too late for them.
    fn land_late(&self, worlds: &mut Vec<World>) {
        if !self.late.is_empty() {
            let mut world = self.clone();
            world.late.clear();
            for agent in &mut world.agents {
                agent.unanswered = 0;
            }
            worlds.push(world);
        }
        for late in &self.late {
            let mut world = self.clone();
            world.carry_out(late.rank, late.order, late.fence);
            worlds.push(world);
        }
    }

    fn hear(&self, rank: u16, worlds: &mut Vec<World>) {
        for chair in &self.chairs {
            let word = chair.coordinator.directive();
            let agent = &self.agents[usize::from(rank)];
            if word.fence < agent.fence {
                continue;
            }
            let mut world = self.clone();
            let agent = &mut world.agents[usize::from(rank)];
            agent.fence = word.fence;
            agent.sealed = order::sealed_step(&word).or(agent.sealed);
            // Other words give an agent nothing to do.
            agent.word = match word.aim {
                Aim::Armed { .. }
                | Aim::Sealed { .. }
                | Aim::Disarmed
                | Aim::Released(_) => Some(word),
                Aim::Rest | Aim::Prepared(_) | Aim::Held { .. } => None,
            };
            if world != *self {
                worlds.push(world);
            }
        }
    }

    fn obey(&self, rank: u16, scope: &Scope, worlds: &mut Vec<World>) {
        let agent = &self.agents[usize::from(rank)];
        let Some(word) = agent.word else { return };
        let experts = Arc::new(Vec::new());
        let plan = match word.aim {
            Aim::Prepared(version) => Some((version, &experts)),
            _ => None,
        };
        let Some(due) = order::next_order(&word, &self.report(rank), plan)
        else {
            return;
        };
        let due = plain(&due);
        self.give(rank, due, word.fence, scope, worlds);
    }

    /// An order that is answered, or goes unanswered.
    fn give(
        &self,
        rank: u16,
        due: Plain,
        fence: u64,
        scope: &Scope,
        worlds: &mut Vec<World>,
    ) {
        let mut world = self.clone();
        world.carry_out(rank, due, fence);
        worlds.push(world);
        if self.lost >= scope.late {
            return;
        }
        let mut world = self.clone();
        world.lost += 1;
        world.late.insert(Late { rank, order: due, fence });
        if let Plain::Arm(_, step) = due {
            world.agents[usize::from(rank)].unanswered = step;
        }
        worlds.push(world);
    }

    /// A rank's agent tells a coordinator how its engine stands.
    fn tell(&self, rank: u16, worlds: &mut Vec<World>) {
        let agent = &self.agents[usize::from(rank)];
        let snapshot = Snapshot {
            report: self.report(rank),
            arms: self.arms(rank),
            seal: self.seal(rank),
            obeys: ObeyedCoordinator::Another,
        };
        for index in 0..self.chairs.len() {
            if index == 0 && self.frozen {
                continue;
            }
            let told = (snapshot.clone(), agent.fence);
            let seen = self.chairs[index].seen.get(&rank);
            // A report that shows another pass and nothing else is news only
            // together with another rank's.
            let same = |it: &(Snapshot, u64)| {
                let mut old = it.clone();
                old.0.report.step = self.step;
                old == told
            };
            if seen.is_some_and(same) {
                continue;
            }
            let mut world = self.clone();
            world.chairs[index].seen.insert(rank, told);
            for (snapshot, _) in world.chairs[index].seen.values_mut() {
                snapshot.report.step = self.step;
            }
            worlds.push(world);
        }
    }

    fn look(&self, index: usize, scope: &Scope, worlds: &mut Vec<World>) {
        let snapshots = match scope.snapshots {
            Sights::Any => self.chairs[index].snapshots(),
            Sights::Fresh => self.fresh(index),
        };
        let all = snapshots.len() == usize::from(RANKS);
        if all {
            self.look_at(index, &snapshots, MissingRanks::None, scope, worlds);
        }
        // A successor may take its predecessor to be gone, rightly or not.
        let others: Vec<Snapshot> = snapshots
            .iter()
            .filter(|it| it.report.rank != FIRST)
            .cloned()
            .collect();
        if index == 1 && others.len() + 1 == usize::from(RANKS) {
            let absent = MissingRanks::Predecessor(1);
            self.look_at(index, &others, absent, scope, worlds);
        }
    }

    /// What all ranks in reach would say now.
    fn fresh(&self, index: usize) -> Vec<Snapshot> {
        let fence = self.chairs[index].coordinator.fence();
        let in_reach = (0..RANKS).filter(|it| !self.is_out_of_reach(*it));
        let snapshot = |rank: u16| {
            let agent = &self.agents[usize::from(rank)];
            Snapshot {
                report: self.report(rank),
                arms: self.arms(rank),
                seal: self.seal(rank),
                obeys: obeys(agent.fence, fence),
            }
        };
        in_reach.map(snapshot).collect()
    }

    fn look_at(
        &self,
        index: usize,
        snapshots: &[Snapshot],
        absent: MissingRanks,
        scope: &Scope,
        worlds: &mut Vec<World>,
    ) {
        let mut world = self.clone();
        let coordinator = &mut world.chairs[index].coordinator;
        coordinator.advance(snapshots, absent, Millis(0));
        let plans = index == 0
            && self.planned < scope.plans
            && coordinator.is_idle()
            && coordinator.directive().epoch == EPOCH;
        if plans {
            coordinator.begin_plan(snapshots, Millis(0));
            world.planned += 1;
        }
        if world != *self {
            worlds.push(world);
        }
    }

    fn order_hold(
        &self,
        index: usize,
        scope: &Scope,
        worlds: &mut Vec<World>,
    ) {
        let word = self.chairs[index].coordinator.directive();
        for rank in 0..RANKS {
            let report = self.report(rank);
            let due = order::hold_order(&word, &report);
            if let Some(due) = due
                && !self.is_out_of_reach(rank)
            {
                self.give(rank, plain(&due), word.fence, scope, worlds);
            }
        }
    }

    fn freeze(&self, scope: &Scope, worlds: &mut Vec<World>) {
        if scope.takeover == Takeover::Never {
            return;
        }
        if !self.froze {
            let mut world = self.clone();
            (world.frozen, world.froze) = (true, true);
            worlds.push(world);
        }
        if self.frozen {
            let mut world = self.clone();
            world.frozen = false;
            worlds.push(world);
        }
        if self.chairs.len() == 1 {
            let mut world = self.clone();
            world.chairs.push(chair(2, SECOND));
            worlds.push(world);
        }
    }

    fn carry_out(&mut self, rank: u16, order: Plain, fence: u64) {
        let step = self.step;
        let engine = &mut self.engines[usize::from(rank)];
        if fence < engine.fence {
            return;
        }
        engine.fence = fence;
        match order {
            Plain::Prepare(map) => {
                if map > engine.newest && engine.armed.is_none() {
                    engine.newest = map;
                    engine.prepared = Some(map);
                }
            }
            Plain::Arm(map, at) => {
                if engine.prepared == Some(map) && at > step {
                    engine.armed = Some((map, at));
                }
            }
            Plain::Disarm(map) => {
                if engine.armed.is_some_and(|it| it.0 == map) {
                    engine.armed = None;
                }
            }
            Plain::Hold(at) => {
                if at > step {
                    engine.held = Some(at);
                }
            }
            Plain::Go(at) => {
                if engine.held == Some(at) {
                    engine.held = None;
                }
            }
        }
    }

    fn is_free(&self) -> bool {
        self.engines.iter().all(|it| it.held.is_none_or(|at| at <= self.step))
    }
}

impl Chair {
    fn snapshots(&self) -> Vec<Snapshot> {
        let fence = self.coordinator.fence();
        let snapshot = |(snapshot, known): &(Snapshot, u64)| {
            let mut snapshot = snapshot.clone();
            snapshot.obeys = obeys(*known, fence);
            snapshot
        };
        self.seen.values().map(snapshot).collect()
    }
}

fn chair(fence: u64, rank: u16) -> Chair {
    let config = Config::new().with_boundary_lead(2, 2);
    let coordinator = Coordinator::new(config, fence, rank);
    Chair { coordinator, seen: BTreeMap::new() }
}

/// Whose word an agent that knows one fencing number obeys.
fn obeys(known: u64, fence: u64) -> ObeyedCoordinator {
    if known >= fence {
        ObeyedCoordinator::This
    } else {
        ObeyedCoordinator::Another
    }
}

fn plain(order: &Order) -> Plain {
    match order {
        Order::Prepare(version, _) => Plain::Prepare(version.0),
        Order::Arm(version, step) => Plain::Arm(version.0, *step),
        Order::Disarm(version) => Plain::Disarm(version.0),
        Order::Hold(step) => Plain::Hold(*step),
        Order::Go(step) => Plain::Go(*step),
    }
}

fn hash(world: &World) -> u128 {
    let half = |seed: u8| {
        let mut hasher = DefaultHasher::new();
        seed.hash(&mut hasher);
        world.hash(&mut hasher);
        u128::from(hasher.finish())
    };
    half(1) << 64 | half(2)
}

/// Explores a scope. No world may be mixed, and from each one must lead a
/// way to one in which nothing is held.
fn check(scope: Scope) {
    // Worlds are kept as 128 bits of their hash: among a few million the
    // chance that two share them is below one in 10^24.
    let mut numbers: HashMap<u128, u32> = HashMap::new();
    let mut comes_from: Vec<Vec<u32>> = vec![Vec::new()];
    let mut free = vec![true];
    let mut changed = false;
    let mut queue = VecDeque::from([(World::new(), 0)]);
    numbers.insert(hash(&World::new()), 0);
    while let Some((world, number)) = queue.pop_front() {
        for next in world.next(&scope) {
            assert!(!next.mixed, "two maps in one pass: {next:#?}");
            changed |= next.engines.iter().all(|it| it.map == FIRST_MAP);
            let count = numbers.len() as u32;
            let known = *numbers.entry(hash(&next)).or_insert(count);
            if known == count {
                assert!(numbers.len() < MAX_WORLDS, "too large a scope");
                comes_from.push(Vec::new());
                free.push(next.is_free());
                queue.push_back((next, count));
            }
            comes_from[known as usize].push(number);
        }
    }
    assert!(changed, "no change was ever made");
    let mut can: Vec<bool> = free.clone();
    let mut reached: VecDeque<u32> =
        (0..free.len() as u32).filter(|it| free[*it as usize]).collect();
    while let Some(number) = reached.pop_front() {
        for before in &comes_from[number as usize] {
            if !can[*before as usize] {
                can[*before as usize] = true;
                reached.push_back(*before);
            }
        }
    }
    let stuck = can.iter().filter(|it| !**it).count();
    assert_eq!(stuck, 0, "worlds that are held for ever");
    println!("{} worlds", numbers.len());
}

#[test]
fn lost_and_late_orders_mix_no_maps_and_hold_nothing_for_ever() {
    check(Scope {
        steps: 3,
        late: 2,
        plans: 1,
        takeover: Takeover::Never,
        snapshots: Sights::Any,
    });
}

#[test]
fn two_changes_in_a_row_do_not_meet_each_others_late_orders() {
    check(Scope {
        steps: 4,
        late: 1,
        plans: 2,
        takeover: Takeover::Never,
        snapshots: Sights::Any,
    });
}

#[test]
fn a_frozen_coordinator_and_its_successor_mix_no_maps() {
    check(Scope {
        steps: 3,
        late: 0,
        plans: 1,
        takeover: Takeover::Once,
        snapshots: Sights::Fresh,
    });
}

#[test]
fn a_takeover_beside_a_late_order_mixes_no_maps() {
    check(Scope {
        steps: 2,
        late: 1,
        plans: 1,
        takeover: Takeover::Once,
        snapshots: Sights::Fresh,
    });
}

/// What the successor of a frozen coordinator sees: all others are armed.
fn left_by_a_frozen(seal: SealStatus) -> Vec<Snapshot> {
    let snapshot = |rank| Snapshot {
        report: Report {
            epoch: EPOCH,
            rank,
            ranks: RANKS,
            standing: GroupState::Open,
            step: 1,
            map: Version(0),
            prepared: Some(Version(FIRST_MAP)),
            armed: Some((Version(FIRST_MAP), 3)),
            held: (rank == SECOND).then_some(3),
        },
        arms: ArmOrders::Answered,
        seal,
        obeys: ObeyedCoordinator::This,
    };
    (0..RANKS).filter(|it| *it != FIRST).map(snapshot).collect()
}

fn aim_of_a_successor(seal: SealStatus, predecessor: u64) -> Aim {
    let mut successor = chair(2, SECOND).coordinator;
    let snapshots = left_by_a_frozen(seal);
    let absent = MissingRanks::Predecessor(predecessor);
    for _ in 0..2 {
        successor.advance(&snapshots, absent, Millis(0));
    }
    successor.directive().aim
}

#[test]
fn a_change_whose_coordinator_froze_before_its_rank_armed_is_called_off() {
    assert_eq!(aim_of_a_successor(SealStatus::NotReceived, 1), Aim::Disarmed);
    assert_eq!(aim_of_a_successor(SealStatus::Received(2), 1), Aim::Disarmed);
}

#[test]
fn one_whose_coordinator_may_have_armed_is_waited_for() {
    assert_eq!(aim_of_a_successor(SealStatus::Received(3), 1), Aim::Rest);
    assert_eq!(aim_of_a_successor(SealStatus::Unknown, 1), Aim::Rest);
    // That one had taken the change over from another.
    assert_eq!(aim_of_a_successor(SealStatus::NotReceived, 7), Aim::Rest);
}
