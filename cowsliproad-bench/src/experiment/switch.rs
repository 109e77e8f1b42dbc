//! How long a change of the expert map takes where orders go unanswered.
//!
//! The decisions that run beside the engines (`mapswitch::order`) drive a
//! group in virtual time: agents look at their engines in turn, an order may
//! go unanswered and be carried out seconds later, and a pass begins when its
//! time has come and nobody holds it. The model leaves out the time of words
//! and of copies, and that agents share a processor.

use std::sync::Arc;

use cowsliproad_kernel::{clock::Millis, plugin::inventory};
use cowsliproad_mapswitch::order::{
    ArmOrderStatus, Coordinator, CoordinatorArmingNotice, CoordinatorConfig,
    Directive, Epoch, ExpertsByLayerAndRank, MissingRanks, ObeyedCoordinator,
    Order, RankReport, RankSnapshot, SwitchEvent, Version,
    announced_coordinator_arming_step, due_hold_order, next_order,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

use super::{Extent, Options, Outcome, Plugin};

inventory::submit! {
    Plugin {
        name: "switch",
        about: "Time of a change of the expert map, by lost orders",
        start: run,
    }
}

/// The time of a pass, in milliseconds.
const PASS_MS: u64 = 60;

/// How often an agent looks at its engine, in milliseconds, and the holder.
const LOOK_MS: u64 = 30;
const HOLDER_MS: u64 = 6;

/// When an unanswered order is carried out, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 2_000..12_000;

/// The pause between two changes, in milliseconds.
const REST_MS: u64 = 500;

/// What a run came to.
#[derive(Clone, Debug, Default)]
struct Score {
    changes: u64,
    /// Milliseconds of each change, in order.
    times: Vec<u64>,
    /// Milliseconds for which a pass was due and held.
    held: u64,
    orders: u64,
    /// Passes with two maps.
    mixed: u64,
}

struct Group {
    ranks: Vec<RankReport>,
    late: Vec<(u64, usize, Order)>,
    next_pass: u64,
}

impl Group {
    fn new(ranks: u16) -> Group {
        let report = |rank| RankReport::new(Epoch(1), rank, ranks);
        Group {
            ranks: (0..ranks).map(report).collect(),
            late: Vec::new(),
            next_pass: PASS_MS,
        }
    }

    /// Begins a pass if one is due; says whether one was held.
    fn pass(&mut self, now: u64, score: &mut Score) {
        if now < self.next_pass {
            return;
        }
        let step = self.ranks[0].latest_begun_pass + 1;
        if self.ranks.iter().any(|it| it.held_pass == Some(step)) {
            score.held += 1;
            return;
        }
        self.next_pass = now + PASS_MS;
        for rank in &mut self.ranks {
            rank.latest_begun_pass = step;
            if let Some((version, at)) = rank.armed_map_and_pass
                && at == step
            {
                rank.map = version;
                rank.armed_map_and_pass = None;
                rank.prepared_map_version = None;
            }
        }
        let first = self.ranks[0].map;
        score.mixed += u64::from(self.ranks.iter().any(|it| it.map != first));
    }

    fn carry_out(&mut self, rank: usize, order: &Order) {
        let rank = &mut self.ranks[rank];
        match order {
            Order::Prepare(version, _) if *version > rank.map => {
                rank.prepared_map_version = Some(*version);
            }
            Order::Arm(version, step)
                if rank.prepared_map_version == Some(*version)
                    && *step > rank.latest_begun_pass =>
            {
                rank.armed_map_and_pass = Some((*version, *step));
            }
            Order::Hold(step) if *step > rank.latest_begun_pass => {
                rank.held_pass = Some(*step)
            }
            Order::Go(step) if rank.held_pass == Some(*step) => {
                rank.held_pass = None
            }
            Order::Disarm(version)
                if rank
                    .armed_map_and_pass
                    .is_some_and(|it| it.0 == *version) =>
            {
                rank.armed_map_and_pass = None;
            }
            _ => {}
        }
    }

    /// What the coordinator sees of all ranks, whose agents have heard its
    /// word.
    fn snapshots(&self, word: &Directive) -> Vec<RankSnapshot> {
        let seal = announced_coordinator_arming_step(word).map_or(
            CoordinatorArmingNotice::NotReceived,
            CoordinatorArmingNotice::Received,
        );
        let snapshot = |report: &RankReport| RankSnapshot {
            report: report.clone(),
            arm_order_status: ArmOrderStatus::Answered,
            coordinator_arming_notice: seal,
            obeyed_coordinator: ObeyedCoordinator::This,
        };
        self.ranks.iter().map(snapshot).collect()
    }
}

fn play(ranks: u16, lost: f64, seconds: u64, seed: u64) -> Score {
    let mut random = StdRng::seed_from_u64(seed);
    let mut group = Group::new(ranks);
    let mut coordinator = Coordinator::new(CoordinatorConfig::new(), 1, 0);
    let mut score = Score::default();
    let plan = Arc::new(ExpertsByLayerAndRank::new());
    let (mut newest, mut begun, mut rest) = (Version(0), 0, 0);
    for now in 1..=seconds * 1_000 {
        group.pass(now, &mut score);
        let (ripe, late) = group.late.drain(..).partition(|it| it.0 <= now);
        group.late = late;
        let ripe: Vec<(u64, usize, Order)> = ripe;
        for (_, rank, order) in &ripe {
            group.carry_out(*rank, order);
        }
        let word = coordinator.directive();
        for rank in 0..usize::from(ranks) {
            let report = &group.ranks[rank];
            let holds = due_hold_order(&word, report);
            let every = if holds.is_some() { HOLDER_MS } else { LOOK_MS };
            if now % every != rank as u64 % every {
                continue;
            }
            let own = next_order(&word, report, Some((newest, &plan)));
            let Some(order) = holds.or(own) else { continue };
            score.orders += 1;
            if random.random_bool(lost) {
                let at = now + random.random_range(LATE_MS);
                group.late.push((at, rank, order));
            } else {
                group.carry_out(rank, &order);
            }
        }
        let snapshots = group.snapshots(&word);
        match coordinator.advance_switch(
            &snapshots,
            MissingRanks::None,
            Millis(now),
        ) {
            SwitchEvent::Changed(_) => {
                score.changes += 1;
                score.times.push(now - begun);
                rest = now + REST_MS;
            }
            SwitchEvent::Abandoned(_) => rest = now + REST_MS,
            _ => {}
        }
        if coordinator.is_idle() && now >= rest {
            begun = now;
            newest = coordinator.begin_plan(&snapshots, Millis(now));
        }
    }
    score.times.sort_unstable();
    score
}

fn run(options: Options) -> Outcome {
    let seconds = match options.extent {
        Extent::Full => 120,
        Extent::Quick => 20,
    };
    let mut figures = json!({});
    let mut table = String::new();
    let mut broken = Vec::new();
    for ranks in [16, 72] {
        for lost in [0.0, 0.1, 0.35, 0.5] {
            let score = play(ranks, lost, seconds, options.seed);
            let at = |percent: usize| {
                let last = score.times.len().saturating_sub(1);
                score.times.get(last * percent / 100).copied()
            };
            let (median, most) = (at(50), at(100));
            let held = score.held as f64 / score.changes.max(1) as f64;
            let orders = score.orders as f64 / score.changes.max(1) as f64;
            let name = format!("{ranks} ranks, {lost} lost");
            table += &format!(
                "{name:<22}changes {:>4}  ms {:>5} / {:>5}  held {held:>6.1}  orders {orders:>6.1}\n",
                score.changes,
                median.unwrap_or_default(),
                most.unwrap_or_default(),
            );
            figures[&name] = row(&score, median, most, held, orders);
            if score.mixed > 0 {
                broken.push(format!("{name}: {} mixed passes", score.mixed));
            }
        }
    }
    Outcome::new(figures).with_table(table).with_broken(broken)
}

fn row(
    score: &Score,
    median: Option<u64>,
    most: Option<u64>,
    held: f64,
    orders: f64,
) -> Value {
    json!({
        "changes": score.changes,
        "median_ms": median,
        "most_ms": most,
        "held_ms_a_change": held,
        "orders_a_change": orders,
        "mixed": score.mixed,
    })
}
