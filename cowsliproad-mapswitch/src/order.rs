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
//!    report so, the coordinator's own rank last. The hold is what makes a
//!    late or lost order harmless: the group stands until it is made good;
//! 4. *go*: the hold is released. As the boundary lies some passes ahead, a
//!    group without trouble never stands.
//!
//! An *arm* that nobody reports may still be carried out, so with all ranks
//! in reach a change is completed forward, or ended by the group forming
//! anew, which clears everything. A hold that nobody accounts for, say a
//! late one, is released.
//!
//! A coordinator may freeze with the hold in place, and its VM with its rank
//! is out of reach then. So the holder is another rank, ordered from afar:
//! its own agent can release it. The successor may call the change off when
//! only the former coordinator is missing: as that one arms last, it is not
//! armed if another is not and never will be. What is armed is disarmed
//! first; an *arm* without an answer forbids it, since it may yet land.
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

/// Whether an agent can vouch for what its reports don't show.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Arms {
    /// Each *arm* that it gave was answered.
    Answered,
    /// One may still be carried out, or the agent began too lately to know.
    InDoubt,
}

/// Whose word a rank obeys.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Follows {
    /// This coordinator's, and no older one's any more.
    Us,
    /// Perhaps another's: its agent has not heard of this coordinator.
    Another,
}

/// An engine's report and what is known beside it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Sight {
    /// The report.
    pub report: Report,
    /// The orders that it may not show yet.
    pub arms: Arms,
    /// Whose word it obeys.
    pub follows: Follows,
}

/// Which ranks a coordinator doesn't hear from.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Absent {
    /// None.
    Nobody,
    /// The one that led before, and no other.
    Predecessor,
    /// Any other.
    Others,
}

/// What all ranks are to bring about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Aim {
    /// Nothing.
    Rest,
    /// All have the experts of this map.
    Prepared(Version),
    /// A rank keeps the group from beginning this pass. The coordinator
    /// orders it from afar.
    Held {
        /// The pass.
        step: u64,
        /// The rank.
        holder: u16,
    },
    /// All change to this map at this pass, but for one rank as yet.
    Armed {
        /// The map.
        version: Version,
        /// The pass.
        step: u64,
        /// The coordinator's rank, until all others are armed.
        except: Option<u16>,
    },
    /// None is to change.
    Disarmed,
    /// No rank keeps the group from beginning this pass.
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
        Aim::Held { .. } => None,
        Aim::Armed { version, step, except } => {
            let due = report.armed != Some((version, step))
                && report.map < version
                && report.step < step
                && except != Some(report.rank);
            due.then_some(Order::Arm(version, step))
        }
        Aim::Disarmed => report.armed.map(|it| Order::Disarm(it.0)),
        Aim::Released(step) => {
            (report.held == Some(step)).then_some(Order::Go(step))
        }
    }
}

/// What the coordinator has to order at the holder, from afar.
pub fn due_at_holder(directive: &Directive, report: &Report) -> Option<Order> {
    let Aim::Held { step, holder } = directive.aim else { return None };
    let due = report.rank == holder
        && report.epoch == directive.epoch
        && report.held != Some(step)
        && report.step < step;
    due.then_some(Order::Hold(step))
}

/// Times and distances of a change.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    lead: (u64, u64),
    patience: Millis,
}

impl Config {
    /// The usual ones.
    pub fn new() -> Config {
        Config { lead: LEAD, patience: PATIENCE }
    }

    /// How many passes ahead the boundary is set, at least and at most.
    pub fn with_lead(self, least: u64, most: u64) -> Config {
        Config { lead: (least, most), ..self }
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}

/// The boundary is set as far ahead as arming lately took, within these
/// bounds, so that the group doesn't stand while orders go unanswered. With
/// half of them lost arming takes some 200 ms.
const LEAD: (u64, u64) = (2, 16);

/// Hold, arm and go take 30 ms together when each order is answered.
const LEAST_ARMING: Millis = Millis(60);

/// The time for copies, which take 40 ms each, before a plan is given up.
const PATIENCE: Millis = Millis(3_000);

/// Versions of one coordinator. A rank refuses a version that isn't higher
/// than all that it has had, also in formations that nobody remembers. So
/// each coordinator counts from its fencing number on.
pub const VERSIONS: u64 = 10_000;

/// What a coordinator is doing.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Resting,
    Preparing { version: Version, since: Millis },
    Holding { version: Version, step: u64, holder: u16 },
    Arming { version: Version, step: u64, except: Option<u16> },
    Disarming { step: u64 },
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
    /// A change that another coordinator began is called off.
    CalledOff(Version),
    /// The group formed anew; all is forgotten.
    Reset(Epoch),
}

/// Leads a group from one map to the next.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Coordinator {
    lead: (u64, u64),
    patience: Millis,
    fence: u64,
    rank: u16,
    epoch: Epoch,
    /// The newest version that it planned.
    newest: Version,
    phase: Phase,
    pace: Pace,
}

/// What changes and passes took lately.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Pace {
    /// From the order to hold until all were armed.
    arming: Millis,
    /// When that began.
    began: Millis,
    /// A pass, and where and when passes were counted from.
    pass: Millis,
    step: u64,
    at: Millis,
}

impl Pace {
    fn new() -> Pace {
        Pace {
            arming: Millis(0),
            began: Millis(0),
            pass: USUAL_PASS,
            step: 0,
            at: Millis(0),
        }
    }

    /// Counts passes anew.
    fn start(&mut self, step: u64, now: Millis) {
        self.step = step;
        self.at = now;
    }

    /// Takes the passes since then in, and notes that arming begins.
    fn arm(&mut self, step: u64, now: Millis) {
        let passes = step.saturating_sub(self.step);
        if passes > 0 {
            self.pass = Millis((now.since(self.at).0 / passes).max(1));
        }
        self.began = now;
    }

    /// Takes the time that arming took in. What was slow once is likely so
    /// again, so it fades slowly.
    fn armed(&mut self, now: Millis) {
        let took = now.since(self.began);
        let faded = Millis(self.arming.0 * 3 / 4);
        self.arming = took.max(faded);
    }

    /// Passes in which arming is likely done. The next pass may begin at any
    /// moment, so it doesn't count.
    fn passes(&self) -> u64 {
        let time = (self.arming.0 + self.arming.0 / 4).max(LEAST_ARMING.0);
        time / self.pass.0 + 2
    }
}

/// A pass before any was counted.
const USUAL_PASS: Millis = Millis(50);

impl Coordinator {
    /// A coordinator beside a rank with its fencing number, which has seen
    /// nothing yet.
    pub fn new(config: Config, fence: u64, rank: u16) -> Coordinator {
        Coordinator {
            lead: config.lead,
            patience: config.patience,
            fence,
            rank,
            epoch: Epoch(0),
            newest: Version(0),
            phase: Phase::Resting,
            pace: Pace::new(),
        }
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
            Phase::Holding { step, holder, .. } => Aim::Held { step, holder },
            Phase::Arming { version, step, except } => {
                Aim::Armed { version, step, except }
            }
            Phase::Disarming { .. } => Aim::Disarmed,
            Phase::Releasing { step, .. } => Aim::Released(step),
        };
        Directive { fence: self.fence, epoch: self.epoch, aim }
    }

    /// Begins a plan; all ranks are in sight.
    pub fn begin(&mut self, sights: &[Sight], now: Millis) -> Version {
        let newest = sights.iter().map(|it| newest(&it.report)).max();
        let known = newest.unwrap_or(self.newest).max(self.newest);
        let own = self.fence * VERSIONS;
        let version = Version(own.max(known.0 + 1));
        self.newest = version;
        self.phase = Phase::Preparing { version, since: now };
        self.pace.start(last(sights), now);
        version
    }

    /// Looks at what the ranks report now.
    pub fn look(
        &mut self,
        sights: &[Sight],
        absent: Absent,
        now: Millis,
    ) -> Event {
        let Some(first) = sights.first() else { return Event::None };
        let epoch = first.report.epoch;
        // Ranks that learn of a new formation at different moments don't
        // agree for a while.
        if sights.iter().any(|it| it.report.epoch != epoch) {
            return Event::None;
        }
        if epoch != self.epoch {
            self.epoch = epoch;
            self.phase = Phase::Resting;
            return Event::Reset(epoch);
        }
        match (self.phase, absent) {
            (Phase::Resting, Absent::Nobody) => self.tidy(sights),
            (Phase::Resting, Absent::Predecessor) => self.call_off(sights),
            // Not forward again, even with all in sight: an agent may still
            // act on the word to disarm.
            (
                Phase::Disarming { step },
                Absent::Predecessor | Absent::Nobody,
            ) => self.disarm(sights, step),
            (Phase::Releasing { version, step }, _) => {
                self.release(sights, version, step)
            }
            (Phase::Preparing { version, since }, _) => {
                self.prepare(sights, absent, version, since, now)
            }
            (_, Absent::Predecessor | Absent::Others) => Event::None,
            (Phase::Holding { version, step, holder }, _) => {
                self.hold(sights, version, step, holder)
            }
            (Phase::Arming { version, step, except }, _) => {
                self.arm(sights, version, step, except, now);
                Event::None
            }
        }
    }

    /// Completes what another coordinator left, and releases a stray hold.
    fn tidy(&mut self, sights: &[Sight]) -> Event {
        let armed = sights.iter().find_map(|it| it.report.armed);
        if let Some((version, step)) = armed {
            self.phase = Phase::Arming { version, step, except: None };
            return Event::TakenUp(version);
        }
        let Some(step) = sights.iter().find_map(|it| it.report.held) else {
            return Event::None;
        };
        // An *arm* for this very pass may be on its way to any rank that has
        // the next map. Completing forward is right in either case.
        self.phase = match ready(sights) {
            Some(version) => Phase::Arming { version, step, except: None },
            None => Phase::Releasing { version: sights[0].report.map, step },
        };
        Event::None
    }

    /// Calls off what a coordinator left that is out of reach now.
    fn call_off(&mut self, sights: &[Sight]) -> Event {
        let held = sights.iter().find_map(|it| it.report.held);
        let Some(step) = held else { return Event::None };
        let armed = sights.iter().find_map(|it| it.report.armed);
        // One that has not armed and never will says that the former
        // coordinator, who arms last, has not either. While any is in doubt
        // it is better to wait: the former coordinator may be back sooner,
        // and then the change is completed.
        let certain = sights.iter().all(is_certain);
        let unarmed =
            |it: &Sight| it.report.armed.is_none() && it.report.step < step;
        if !certain || !sights.iter().any(unarmed) {
            return Event::None;
        }
        let version = armed.map_or(sights[0].report.map, |it| it.0);
        self.phase = Phase::Disarming { step };
        Event::CalledOff(version)
    }

    fn disarm(&mut self, sights: &[Sight], step: u64) -> Event {
        let clear = |it: &Sight| it.report.armed.is_none() && is_certain(it);
        if sights.iter().all(clear) {
            let version = sights[0].report.map;
            self.phase = Phase::Releasing { version, step };
        }
        Event::None
    }

    fn prepare(
        &mut self,
        sights: &[Sight],
        absent: Absent,
        version: Version,
        since: Millis,
        now: Millis,
    ) -> Event {
        let has = |it: &Sight| it.report.prepared == Some(version);
        if absent == Absent::Nobody && sights.iter().all(has) {
            self.pace.arm(last(sights), now);
            let step = self.boundary(sights);
            let holder = self.holder(sights);
            self.phase = Phase::Holding { version, step, holder };
            return Event::None;
        }
        if now.since(since) > self.patience {
            self.phase = Phase::Resting;
            return Event::GivenUp(version);
        }
        Event::None
    }

    /// The pass from which the new map is to be used.
    fn boundary(&self, sights: &[Sight]) -> u64 {
        let (least, most) = self.lead;
        last(sights) + self.pace.passes().clamp(least, most)
    }

    fn holder(&self, sights: &[Sight]) -> u16 {
        let ranks = sights.iter().map(|it| it.report.rank);
        ranks.filter(|it| *it != self.rank).min().unwrap_or(self.rank)
    }

    fn hold(
        &mut self,
        sights: &[Sight],
        version: Version,
        step: u64,
        holder: u16,
    ) -> Event {
        let held = sights.iter().any(|it| it.report.held == Some(step));
        if held {
            let except = Some(self.rank);
            self.phase = Phase::Arming { version, step, except };
        } else if last(sights) >= step {
            // The group went past: nothing is armed, so another pass serves.
            let step = self.boundary(sights);
            self.phase = Phase::Holding { version, step, holder };
        }
        Event::None
    }

    fn arm(
        &mut self,
        sights: &[Sight],
        version: Version,
        step: u64,
        except: Option<u16>,
        now: Millis,
    ) {
        // One that obeys another's word could be disarmed yet.
        let done = |it: &Sight| {
            it.report.armed == Some((version, step))
                && it.follows == Follows::Us
                || it.report.map == version
        };
        if sights.iter().all(done) {
            self.pace.armed(now);
            self.phase = Phase::Releasing { version, step };
            return;
        }
        let others = |it: &&Sight| Some(it.report.rank) != except;
        if except.is_some() && sights.iter().filter(others).all(done) {
            self.phase = Phase::Arming { version, step, except: None };
        }
    }

    fn release(
        &mut self,
        sights: &[Sight],
        version: Version,
        step: u64,
    ) -> Event {
        let held = sights.iter().any(|it| it.report.held == Some(step));
        let changed = sights.iter().all(|it| it.report.map == version);
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

/// Whether nothing can happen at a rank that its report doesn't show, but by
/// this coordinator's word.
fn is_certain(sight: &Sight) -> bool {
    sight.arms == Arms::Answered && sight.follows == Follows::Us
}

/// The map that all ranks have and none uses yet.
fn ready(sights: &[Sight]) -> Option<Version> {
    let version = sights.first()?.report.prepared?;
    let fits = |it: &Sight| {
        it.report.prepared == Some(version) && it.report.map < version
    };
    sights.iter().all(fits).then_some(version)
}

fn last(sights: &[Sight]) -> u64 {
    sights.iter().map(|it| it.report.step).max().unwrap_or_default()
}
