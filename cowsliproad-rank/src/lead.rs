//! The coordinator of a group: what it knows of all ranks, when it plans, and
//! what it says.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use cowsliproad_kernel::{clock::Millis, gossip::Subscribe};
use cowsliproad_mapswitch::order::{
    Config, Coordinator, Directive, Event, Experts, Report, Standing, Version,
};
use cowsliproad_placement::{
    demand::{Counts, Demand},
    live,
    map::{Map, Shape},
};
use slog::{Logger, info};

use crate::wire::{Plan, Status};

/// A report older than this isn't planned or acted on.
const FRESH: Millis = Millis(900);

/// How often the counts are summed.
const SAMPLE_TIME: Millis = Millis(200);

/// The shortest time between two looks for a better map.
const PLAN_TIME: Millis = Millis(300);

/// A coordinator and its view of the group.
#[derive(Debug)]
pub struct Lead {
    coordinator: Coordinator,
    ranks: BTreeMap<u16, (Status, Millis)>,
    demand: Demand,
    sampled: Millis,
    planned: Millis,
    plan: Option<Plan>,
    price: f64,
    log: Logger,
}

impl Lead {
    /// A coordinator that has heard nothing yet.
    pub fn new(fence: u64, price: f64, log: Logger) -> Lead {
        Lead {
            coordinator: Coordinator::new(Config::new(), fence),
            ranks: BTreeMap::new(),
            demand: Demand::new(),
            sampled: Millis(0),
            planned: Millis(0),
            plan: None,
            price,
            log,
        }
    }

    /// Its fencing number.
    pub fn fence(&self) -> u64 {
        self.coordinator.fence()
    }

    /// Its word to all.
    pub fn directive(&self) -> Directive {
        self.coordinator.directive()
    }

    /// The plan in force.
    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// The agents that lack the plan in force.
    pub fn lacking(&self) -> impl Iterator<Item = SocketAddr> {
        let version = self.plan.as_ref().map(|it| it.version);
        let lacks = move |it: &&(Status, Millis)| it.0.plan != version;
        self.ranks.values().filter(lacks).map(|it| it.0.agent)
    }

    /// Takes a rank's status in.
    pub fn take(&mut self, mut status: Status, now: Millis) {
        let rank = status.report.rank;
        if let Some((known, _)) = self.ranks.get_mut(&rank) {
            let newer = known.report.epoch <= status.report.epoch;
            if !newer {
                return;
            }
            // Counts and lists don't come with every status.
            status.counts = status.counts.or(known.counts.take());
        }
        self.ranks.insert(rank, (status, now));
    }

    /// Looks at all ranks and goes on.
    pub fn look(&mut self, shape: Option<&Subscribe>, now: Millis) {
        let Some(reports) = self.reports(now) else { return };
        let event = self.coordinator.look(&reports, now);
        self.note(event);
        self.sample(now);
        let open = reports.iter().all(|it| it.standing == Standing::Open);
        let due = now.since(self.planned) >= PLAN_TIME;
        if let Some(shape) = shape
            && self.coordinator.is_resting()
            && self.directive().epoch == reports[0].epoch
            && open
            && due
        {
            self.planned = now;
            self.consider(shape, &reports, now);
        }
    }

    /// The reports of all ranks, if they are known and fresh.
    fn reports(&self, now: Millis) -> Option<Vec<Report>> {
        let (first, _) = self.ranks.values().next()?;
        let ranks = usize::from(first.report.ranks);
        let fresh = self.ranks.values().filter(|it| now.since(it.1) < FRESH);
        let reports: Vec<Report> =
            fresh.map(|it| it.0.report.clone()).collect();
        (reports.len() == ranks && ranks > 0).then_some(reports)
    }

    fn note(&mut self, event: Event) {
        match event {
            Event::None => {}
            Event::Changed(version) => {
                info!(self.log, "map_changed"; "version" => version.0);
            }
            Event::GivenUp(version) => {
                info!(self.log, "plan_given_up"; "version" => version.0);
                self.plan = None;
            }
            Event::TakenUp(version) => {
                info!(self.log, "change_taken_up"; "version" => version.0);
            }
            Event::Reset(epoch) => {
                info!(self.log, "group_formed"; "epoch" => epoch.0);
                self.demand = Demand::new();
                self.plan = None;
            }
        }
    }

    fn sample(&mut self, now: Millis) {
        if now.since(self.sampled) < SAMPLE_TIME {
            return;
        }
        if let Some(counts) = self.counts() {
            self.sampled = now;
            self.demand.add(now, counts);
        }
    }

    /// The counts of all ranks, summed.
    fn counts(&self) -> Option<Counts> {
        let mut sum: Option<Counts> = None;
        for (status, _) in self.ranks.values() {
            let counts = status.counts.as_ref()?;
            let Some(sum) = &mut sum else {
                sum = Some(counts.clone());
                continue;
            };
            for (sum, counts) in sum.iter_mut().zip(counts) {
                for (sum, count) in sum.iter_mut().zip(counts) {
                    *sum += count;
                }
            }
        }
        sum
    }

    /// Begins a better map if there is one.
    fn consider(
        &mut self,
        shape: &Subscribe,
        reports: &[Report],
        now: Millis,
    ) {
        let Some(loads) = self.demand.loads() else { return };
        let shape_of_map = Shape {
            ranks: reports.len(),
            experts: usize::from(shape.experts),
            layers: usize::from(shape.sets),
            slots: usize::from(shape.places),
        };
        let Some(present) = self.present(shape_of_map, reports) else {
            return;
        };
        let config =
            live::Config::new(usize::from(shape.spare)).with_price(self.price);
        let Some(plan) = live::plan(shape_of_map, config, &present, &loads)
        else {
            return;
        };
        let version = self.coordinator.begin(reports, now);
        info!(self.log, "map_planned"; "version" => version.0,
            "skew" => format!("{:.3}", plan.before),
            "expected" => format!("{:.3}", plan.after),
            "copies" => plan.moves, "step" => reports[0].step,
            "counted" => loads.iter().flatten().sum::<f64>());
        let directive = self.directive();
        self.plan = Some(Plan {
            fence: directive.fence,
            epoch: directive.epoch,
            version,
            experts: Arc::new(plan.map.experts()),
        });
    }

    /// The map in use, put together from what each rank has.
    fn present(&self, shape: Shape, reports: &[Report]) -> Option<Map> {
        let version: Version = reports.first()?.map;
        let mut experts: Experts =
            vec![vec![Vec::new(); shape.ranks]; shape.layers];
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
