//! How a group changes its map where its engines only take orders.
//!
//! Such engines don't vote: they obey, don't compare maps, and may carry an
//! order out seconds after it went unanswered. What they do say truthfully
//! is their own state. So a change goes by reports alone, and an order
//! without an answer counts as neither done nor undone:
//!
//! 1. *prepare*: every rank copies what is new to it, until all report so;
//! 2. *hold*: one rank, the holder, is told to stop the group before the
//!    boundary step, until it reports so;
//! 3. *arm*: every rank is told to change at the boundary, until **all**
//!    report so. The hold is what makes a late or lost order harmless: the
//!    group stands until it is made good;
//! 4. *go*: the hold is released. As the boundary lies some passes ahead, a
//!    group without trouble never stands.
//!
//! From the first *arm* on there is no way back: an *arm* that nobody
//! reports may still be carried out, so the change is completed forward, or
//! ended by the group forming anew, which clears everything. A hold that
//! nobody accounts for, say a late one, is released.
//!
//! A [`Coordinator`] keeps nothing that it could not read from the reports,
//! so its successor goes on where it stopped. Each has a fencing number;
//! engines and agents refuse lower ones, so one that was frozen and wakes
//! does nothing.
//!
//! Weighed and not chosen: arming without a hold, far ahead (an order that
//! is lost and carried out late mixes maps); disarming when an *arm* is
//! overdue (the late one may land after it); a hold at every rank (each is
//! one more order that has to be released).

use std::sync::Arc;

use cowsliproad_kernel::clock::Millis;
use serde::{Deserialize, Serialize};

pub use crate::Version;

/// A formation of a group. A new one starts with the first map and nothing
/// prepared, armed or held.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Epoch(pub u64);

/// The experts of every rank, by set and rank.
pub type Experts = Vec<Vec<Vec<u16>>>;

/// Whether a group takes requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Standing {
    /// It does.
    Open,
    /// A rank is missing.
    Broken,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Report {
    /// The formation that all else is of.
    pub epoch: Epoch,
    /// Its place.
    pub rank: u16,
    /// The ranks of its group.
    pub ranks: u16,
    /// Whether the group takes requests.
    pub standing: Standing,
    /// The last pass that was begun.
    pub step: u64,
    /// The map in use.
    pub map: Version,
    /// The newest map whose experts it has.
    pub prepared: Option<Version>,
    /// The map that it will change to, and at which pass.
    pub armed: Option<(Version, u64)>,
    /// The pass that it keeps the group from beginning.
    pub held: Option<u64>,
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Copy what is new in this map.
    Prepare(Version, Arc<Experts>),
    /// Change to this map as this pass begins.
    Arm(Version, u64),
    /// Don't change to this map.
    Disarm(Version),
    /// Don't begin this pass.
    Hold(u64),
    /// Begin this pass.
    Go(u64),
}

/// What an engine said of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Begun or done.
    Taken,
    /// It doesn't fit the engine's state.
    Unfit,
    /// A higher fencing number was seen.
    Fenced,
}

/// What all ranks are to bring about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Aim {
    /// Nothing.
    Rest,
    /// All have the experts of this map.
    Prepared(Version),
    /// The holder keeps the group from beginning this pass.
    Held(u64),
    /// All change to this map at this pass.
    Armed(Version, u64),
    /// The holder keeps the group no longer from beginning this pass.
    Released(u64),
}

/// The coordinator's word to all agents.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Directive {
    /// The coordinator's fencing number.
    pub fence: u64,
    /// The formation that it is for.
    pub epoch: Epoch,
    /// What is to be brought about.
    pub aim: Aim,
}

/// What an agent has to order of its own engine, given what the engine last
/// reported. Called again after each report, so that a lost order is
/// repeated and a fulfilled one is not.
pub fn due(
    directive: &Directive,
    report: &Report,
    plan: Option<(Version, &Arc<Experts>)>,
) -> Option<Order> {
    if directive.epoch != report.epoch {
        return None;
    }
    match directive.aim {
        Aim::Rest => None,
        Aim::Prepared(version) => {
            let has = report.prepared == Some(version);
            let fits = report.armed.is_none() && report.map < version;
            let (known, experts) = plan?;
            (!has && fits && known == version)
                .then(|| Order::Prepare(version, experts.clone()))
        }
        Aim::Held(step) => {
            let due = report.held != Some(step) && report.step < step;
            (report.rank == HOLDER && due).then_some(Order::Hold(step))
        }
        Aim::Armed(version, step) => {
            let due = report.armed != Some((version, step))
                && report.map < version
                && report.step < step;
            due.then_some(Order::Arm(version, step))
        }
        Aim::Released(step) => {
            (report.held == Some(step)).then_some(Order::Go(step))
        }
    }
}

/// The rank that holds the group.
pub const HOLDER: u16 = 0;

/// Times and distances of a change.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    lead: u64,
    patience: Millis,
}

impl Config {
    /// The usual ones.
    pub fn new() -> Config {
        Config { lead: LEAD, patience: PATIENCE }
    }

    /// How many passes ahead the boundary is set.
    pub fn with_lead(self, lead: u64) -> Config {
        Config { lead, ..self }
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}

/// A pass takes 50 to 80 ms, and hold, arm and go take three rounds of some
/// 60 ms between agents and engines.
const LEAD: u64 = 6;

/// The time for copies, which take 40 ms each, before a plan is given up.
const PATIENCE: Millis = Millis(3_000);

/// What a coordinator is doing.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Resting,
    Preparing { version: Version, since: Millis },
    Holding { version: Version, step: u64 },
    Arming { version: Version, step: u64 },
    Releasing { version: Version, step: u64 },
}

/// What ended or began with the last look at the reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// Nothing of note.
    None,
    /// All ranks have changed.
    Changed(Version),
    /// A plan was given up before anything was armed.
    GivenUp(Version),
    /// A change that another coordinator began is completed.
    TakenUp(Version),
    /// The group formed anew; all is forgotten.
    Reset(Epoch),
}

/// Leads a group from one map to the next.
#[derive(Clone, Debug)]
pub struct Coordinator {
    config: Config,
    fence: u64,
    epoch: Epoch,
    phase: Phase,
}

impl Coordinator {
    /// A coordinator with its fencing number, which has seen nothing yet.
    pub fn new(config: Config, fence: u64) -> Coordinator {
        Coordinator { config, fence, epoch: Epoch(0), phase: Phase::Resting }
    }

    /// Its fencing number.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Whether a new plan may begin.
    pub fn is_resting(&self) -> bool {
        self.phase == Phase::Resting
    }

    /// The word to all agents.
    pub fn directive(&self) -> Directive {
        let aim = match self.phase {
            Phase::Resting => Aim::Rest,
            Phase::Preparing { version, .. } => Aim::Prepared(version),
            Phase::Holding { step, .. } => Aim::Held(step),
            Phase::Arming { version, step } => Aim::Armed(version, step),
            Phase::Releasing { step, .. } => Aim::Released(step),
        };
        Directive { fence: self.fence, epoch: self.epoch, aim }
    }

    /// Begins a plan; `reports` are of all ranks.
    pub fn begin(&mut self, reports: &[Report], now: Millis) -> Version {
        let newest = reports.iter().map(newest).max();
        let version = Version(newest.map_or(0, |it| it.0) + 1);
        self.phase = Phase::Preparing { version, since: now };
        version
    }

    /// Looks at what the ranks report now. `reports` holds all ranks of the
    /// group or is not shown here.
    pub fn look(&mut self, reports: &[Report], now: Millis) -> Event {
        let Some(first) = reports.first() else { return Event::None };
        let epoch = first.epoch;
        // Ranks that learn of a new formation at different moments don't
        // agree for a while.
        if reports.iter().any(|it| it.epoch != epoch) {
            return Event::None;
        }
        if epoch != self.epoch {
            self.epoch = epoch;
            self.phase = Phase::Resting;
            return Event::Reset(epoch);
        }
        match self.phase {
            Phase::Resting => self.tidy(reports),
            Phase::Preparing { version, since } => {
                self.prepare(reports, version, since, now)
            }
            Phase::Holding { version, step } => {
                self.hold(reports, version, step)
            }
            Phase::Arming { version, step } => {
                self.arm(reports, version, step);
                Event::None
            }
            Phase::Releasing { version, step } => {
                self.release(reports, version, step)
            }
        }
    }

    /// Completes what another coordinator left, and releases a stray hold.
    fn tidy(&mut self, reports: &[Report]) -> Event {
        if let Some((version, step)) = reports.iter().find_map(|it| it.armed) {
            self.phase = Phase::Arming { version, step };
            return Event::TakenUp(version);
        }
        if let Some(step) = reports.iter().find_map(|it| it.held) {
            // An *arm* for this very pass may be on its way to any rank that
            // has the next map. Completing forward is right in either case.
            self.phase = match ready(reports) {
                Some(version) => Phase::Arming { version, step },
                None => Phase::Releasing { version: reports[0].map, step },
            };
        }
        Event::None
    }

    fn prepare(
        &mut self,
        reports: &[Report],
        version: Version,
        since: Millis,
        now: Millis,
    ) -> Event {
        if reports.iter().all(|it| it.prepared == Some(version)) {
            let step = last(reports) + self.config.lead;
            self.phase = Phase::Holding { version, step };
            return Event::None;
        }
        if now.since(since) > self.config.patience {
            self.phase = Phase::Resting;
            return Event::GivenUp(version);
        }
        Event::None
    }

    fn hold(
        &mut self,
        reports: &[Report],
        version: Version,
        step: u64,
    ) -> Event {
        let holder = reports.iter().find(|it| it.rank == HOLDER);
        if holder.is_some_and(|it| it.held == Some(step)) {
            self.phase = Phase::Arming { version, step };
        } else if last(reports) >= step {
            // The group went past: nothing is armed, so another pass serves.
            let step = last(reports) + self.config.lead;
            self.phase = Phase::Holding { version, step };
        }
        Event::None
    }

    fn arm(&mut self, reports: &[Report], version: Version, step: u64) {
        let armed = |it: &Report| it.armed == Some((version, step));
        let changed = |it: &Report| it.map == version;
        if reports.iter().all(|it| armed(it) || changed(it)) {
            self.phase = Phase::Releasing { version, step };
        }
    }

    fn release(
        &mut self,
        reports: &[Report],
        version: Version,
        step: u64,
    ) -> Event {
        let held = reports.iter().any(|it| it.held == Some(step));
        let changed = reports.iter().all(|it| it.map == version);
        if held || !changed {
            return Event::None;
        }
        self.phase = Phase::Resting;
        Event::Changed(version)
    }
}

/// The newest version that a rank has had in any way.
fn newest(report: &Report) -> Version {
    let armed = report.armed.map(|it| it.0);
    let prepared = report.prepared.max(armed);
    prepared.map_or(report.map, |it| it.max(report.map))
}

/// The map that all ranks have and none uses yet.
fn ready(reports: &[Report]) -> Option<Version> {
    let version = reports.first()?.prepared?;
    let fits = |it: &Report| it.prepared == Some(version) && it.map < version;
    reports.iter().all(fits).then_some(version)
}

fn last(reports: &[Report]) -> u64 {
    reports.iter().map(|it| it.step).max().unwrap_or_default()
}
