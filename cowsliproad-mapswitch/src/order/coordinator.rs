//! The state of whoever leads a change; see the parent module for why each
//! step is as it is.

use cowsliproad_kernel::clock::Millis;

use super::{
    Aim, ArmOrders, Directive, Epoch, MissingRanks, ObeyedCoordinator, Report,
    SealStatus, Snapshot, Version,
};

/// Times and distances of a change.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    lead: (u64, u64),
    copy_timeout: Millis,
}

impl Config {
    /// The usual ones.
    pub fn new() -> Config {
        Config { lead: LEAD, copy_timeout: COPY_TIMEOUT }
    }

    /// How many passes ahead the boundary is set, at least and at most.
    pub fn with_boundary_lead(self, least: u64, most: u64) -> Config {
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
const LEAD: (u64, u64) = (2, MAX_BOUNDARY_LEAD);

/// The most passes between an *arm* and its boundary.
pub const MAX_BOUNDARY_LEAD: u64 = 10;

/// Hold, arm and go take 30 to 60 ms together when each order is answered,
/// and what is known of the group's pass is up to 30 ms old.
const MIN_ARMING: Millis = Millis(90);

/// The time for copies before a plan is given up.
const COPY_TIMEOUT: Millis = Millis(3_000);

/// Versions of one coordinator. A rank refuses a version that isn't higher
/// than all that it has had, also in formations that nobody remembers. So
/// each coordinator counts from its fencing number on.
pub const VERSIONS_PER_COORDINATOR: u64 = 10_000;

/// What a coordinator is doing.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Resting,
    Preparing { version: Version, since: Millis },
    Holding { version: Version, step: u64, holder: u16 },
    Arming { version: Version, step: u64, except: Option<u16> },
    Sealing { version: Version, step: u64 },
    Disarming { step: u64 },
    Releasing { version: Version, step: u64 },
}

/// What ended or began with the last reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// Nothing of note.
    None,
    /// All ranks have changed.
    Changed(Version),
    /// A plan was given up before anything was armed.
    Abandoned(Version),
    /// A change that another coordinator began is completed.
    Resumed(Version),
    /// A change that another coordinator began is called off.
    Cancelled(Version),
    /// The group formed anew; all is forgotten.
    Reset(Epoch),
}

/// Leads a group from one map to the next.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Coordinator {
    lead: (u64, u64),
    copy_timeout: Millis,
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
        if let Some(pass) = now.since(self.at).0.checked_div(passes) {
            self.pass = Millis(pass.max(1));
        }
        self.began = now;
    }

    /// Takes the time that arming took in. What was slow once is likely so
    /// again, so it fades by half.
    fn armed(&mut self, now: Millis) {
        let took = now.since(self.began);
        let faded = Millis(self.arming.0 / 2);
        self.arming = took.max(faded);
    }

    /// Passes in which arming is likely done. The next pass may begin at any
    /// moment, so it doesn't count.
    fn passes(&self) -> u64 {
        let time = (self.arming.0 + self.arming.0 / 4).max(MIN_ARMING.0);
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
            copy_timeout: config.copy_timeout,
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
    pub fn is_idle(&self) -> bool {
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
            Phase::Sealing { version, step } => {
                Aim::Sealed { version, step, except: self.rank }
            }
            Phase::Disarming { .. } => Aim::Disarmed,
            Phase::Releasing { step, .. } => Aim::Released(step),
        };
        Directive { fence: self.fence, epoch: self.epoch, aim }
    }

    /// Begins a plan; all ranks have reported.
    pub fn begin_plan(
        &mut self,
        snapshots: &[Snapshot],
        now: Millis,
    ) -> Version {
        let newest = snapshots.iter().map(|it| newest(&it.report)).max();
        let known = newest.unwrap_or(self.newest).max(self.newest);
        let own = self.fence * VERSIONS_PER_COORDINATOR;
        let version = Version(own.max(known.0 + 1));
        self.newest = version;
        self.phase = Phase::Preparing { version, since: now };
        self.pace.start(last(snapshots), now);
        version
    }

    /// Gives a plan up that no rank was told to hold or arm for, and says
    /// whether there was one. Ranks may go on copying for it without harm.
    pub fn abandon_plan(&mut self) -> Option<Version> {
        let Phase::Preparing { version, .. } = self.phase else { return None };
        self.phase = Phase::Resting;
        Some(version)
    }

    /// Goes on by what the ranks report now.
    pub fn advance(
        &mut self,
        snapshots: &[Snapshot],
        absent: MissingRanks,
        now: Millis,
    ) -> Event {
        let Some(first) = snapshots.first() else { return Event::None };
        let epoch = first.report.epoch;
        // Ranks that learn of a new formation at different moments don't
        // agree for a while.
        if snapshots.iter().any(|it| it.report.epoch != epoch) {
            return Event::None;
        }
        if epoch != self.epoch {
            self.epoch = epoch;
            self.phase = Phase::Resting;
            return Event::Reset(epoch);
        }
        match (self.phase, absent) {
            (Phase::Resting, MissingRanks::None) => self.tidy(snapshots),
            (Phase::Resting, MissingRanks::Predecessor(fence)) => {
                self.call_off(snapshots, fence)
            }
            // Not forward again, even if all have reported: an agent may still
            // act on the word to disarm.
            (
                Phase::Disarming { step },
                MissingRanks::Predecessor(_) | MissingRanks::None,
            ) => self.disarm(snapshots, step),
            (Phase::Releasing { version, step }, _) => {
                self.release(snapshots, version, step)
            }
            (Phase::Preparing { version, since }, _) => {
                self.prepare(snapshots, absent, version, since, now)
            }
            (_, MissingRanks::Predecessor(_) | MissingRanks::Others) => {
                Event::None
            }
            (Phase::Holding { version, step, holder }, _) => {
                self.hold(snapshots, version, step, holder)
            }
            (Phase::Arming { version, step, except }, _) => {
                self.arm(snapshots, version, step, except, now);
                Event::None
            }
            (Phase::Sealing { version, step }, _) => {
                self.seal(snapshots, version, step);
                Event::None
            }
        }
    }

    /// Completes what another coordinator left, and releases a stray hold.
    fn tidy(&mut self, snapshots: &[Snapshot]) -> Event {
        let armed = snapshots.iter().find_map(|it| it.report.armed);
        if let Some((version, step)) = armed {
            self.phase = Phase::Arming { version, step, except: None };
            return Event::Resumed(version);
        }
        let Some(step) = snapshots.iter().find_map(|it| it.report.held) else {
            return Event::None;
        };
        // An *arm* for this very pass may be on its way to any rank that has
        // the next map. Completing forward is right in either case.
        self.phase = match ready(snapshots) {
            Some(version) => Phase::Arming { version, step, except: None },
            None => {
                Phase::Releasing { version: snapshots[0].report.map, step }
            }
        };
        Event::None
    }

    /// Calls off what a coordinator left that is out of reach now.
    fn call_off(&mut self, snapshots: &[Snapshot], predecessor: u64) -> Event {
        let held = snapshots.iter().find_map(|it| it.report.held);
        let Some(step) = held else { return Event::None };
        let armed = snapshots.iter().find_map(|it| it.report.armed);
        // One that has not armed and never will says that the former
        // coordinator, who arms last, has not either. While any is in doubt
        // it is better to wait: the former coordinator may be back sooner,
        // and then the change is completed.
        let certain = snapshots.iter().all(is_certain);
        let unarmed =
            |it: &Snapshot| it.report.armed.is_none() && it.report.step < step;
        let missing =
            snapshots.iter().any(unarmed) || is_unsealed(snapshots, step);
        let latest = snapshots.iter().map(|it| newest(&it.report)).max();
        let own = latest
            .is_some_and(|it| it.0 / VERSIONS_PER_COORDINATOR == predecessor);
        if !certain || !missing || !own {
            return Event::None;
        }
        let version = armed.map_or(snapshots[0].report.map, |it| it.0);
        self.phase = Phase::Disarming { step };
        Event::Cancelled(version)
    }

    fn disarm(&mut self, snapshots: &[Snapshot], step: u64) -> Event {
        let clear =
            |it: &Snapshot| it.report.armed.is_none() && is_certain(it);
        if snapshots.iter().all(clear) {
            let version = snapshots[0].report.map;
            self.phase = Phase::Releasing { version, step };
        }
        Event::None
    }

    fn prepare(
        &mut self,
        snapshots: &[Snapshot],
        absent: MissingRanks,
        version: Version,
        since: Millis,
        now: Millis,
    ) -> Event {
        let has = |it: &Snapshot| it.report.prepared == Some(version);
        if absent == MissingRanks::None && snapshots.iter().all(has) {
            self.pace.arm(last(snapshots), now);
            let step = self.boundary(snapshots);
            let holder = self.holder(snapshots);
            self.phase = Phase::Holding { version, step, holder };
            return Event::None;
        }
        if now.since(since) > self.copy_timeout {
            self.phase = Phase::Resting;
            return Event::Abandoned(version);
        }
        Event::None
    }

    /// The pass from which the new map is to be used.
    fn boundary(&self, snapshots: &[Snapshot]) -> u64 {
        let (least, most) = self.lead;
        last(snapshots) + self.pace.passes().clamp(least, most)
    }

    fn holder(&self, snapshots: &[Snapshot]) -> u16 {
        let ranks = snapshots.iter().map(|it| it.report.rank);
        ranks.filter(|it| *it != self.rank).min().unwrap_or(self.rank)
    }

    fn hold(
        &mut self,
        snapshots: &[Snapshot],
        version: Version,
        step: u64,
        holder: u16,
    ) -> Event {
        let held = snapshots.iter().any(|it| it.report.held == Some(step));
        if held {
            let except = Some(self.rank);
            self.phase = Phase::Arming { version, step, except };
        } else if last(snapshots) >= step {
            // The group went past: nothing is armed, so another pass serves.
            let step = self.boundary(snapshots);
            self.phase = Phase::Holding { version, step, holder };
        }
        Event::None
    }

    fn arm(
        &mut self,
        snapshots: &[Snapshot],
        version: Version,
        step: u64,
        except: Option<u16>,
        now: Millis,
    ) {
        // One that obeys another's word could be disarmed yet.
        let done = |it: &Snapshot| {
            it.report.armed == Some((version, step))
                && it.obeys == ObeyedCoordinator::This
                || it.report.map == version
        };
        if snapshots.iter().all(done) {
            self.pace.armed(now);
            self.phase = Phase::Releasing { version, step };
            return;
        }
        let others = |it: &&Snapshot| Some(it.report.rank) != except;
        if except.is_some() && snapshots.iter().filter(others).all(done) {
            self.phase = Phase::Sealing { version, step };
        }
    }

    /// Lets the own rank arm once the holder vouches that it has heard so.
    fn seal(&mut self, snapshots: &[Snapshot], version: Version, step: u64) {
        let holder = self.holder(snapshots);
        let vouches = |it: &Snapshot| {
            it.report.rank == holder
                && it.seal == SealStatus::Received(step)
                && it.obeys == ObeyedCoordinator::This
        };
        if snapshots.iter().any(vouches) {
            self.phase = Phase::Arming { version, step, except: None };
        }
    }

    fn release(
        &mut self,
        snapshots: &[Snapshot],
        version: Version,
        step: u64,
    ) -> Event {
        let held = snapshots.iter().any(|it| it.report.held == Some(step));
        let changed = snapshots.iter().all(|it| it.report.map == version);
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
fn is_certain(snapshot: &Snapshot) -> bool {
    snapshot.arms == ArmOrders::Answered
        && snapshot.obeys == ObeyedCoordinator::This
}

/// Whether the holder, the first of the ranks beside that of a coordinator
/// that is out of reach, has not been told that this one arms.
fn is_unsealed(snapshots: &[Snapshot], step: u64) -> bool {
    let holder = snapshots.iter().min_by_key(|it| it.report.rank);
    holder.is_some_and(|it| match it.seal {
        SealStatus::NotReceived => true,
        SealStatus::Received(at) => at != step,
        SealStatus::Unknown => false,
    })
}

/// The map that all ranks have and none uses yet.
fn ready(snapshots: &[Snapshot]) -> Option<Version> {
    let version = snapshots.first()?.report.prepared?;
    let fits = |it: &Snapshot| {
        it.report.prepared == Some(version) && it.report.map < version
    };
    snapshots.iter().all(fits).then_some(version)
}

fn last(snapshots: &[Snapshot]) -> u64 {
    snapshots.iter().map(|it| it.report.step).max().unwrap_or_default()
}
