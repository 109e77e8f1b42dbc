//! The state machine of the coordinator of a map switch. The parent module
//! explains why each step is needed.

use cowsliproad_kernel::clock::Millis;

use super::{
    Aim, ArmOrders, Directive, Epoch, MissingRanks, ObeyedCoordinator, Report,
    SealStatus, Snapshot, Version,
};

/// Settings of a coordinator.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    boundary_lead: (u64, u64),
    copy_timeout: Millis,
}

impl Config {
    /// Returns the default settings.
    pub fn new() -> Config {
        Config {
            boundary_lead: BOUNDARY_LEAD_PASSES,
            copy_timeout: COPY_TIMEOUT,
        }
    }

    /// Sets the minimum and maximum number of passes from now to the boundary.
    pub fn with_boundary_lead(self, min: u64, max: u64) -> Config {
        Config { boundary_lead: (min, max), ..self }
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}

/// The minimum and maximum number of passes from now to the boundary. Within
/// these bounds the boundary is as far ahead as recent arming took, so that
/// the group doesn't stop while orders go unanswered. With half of the orders
/// lost, arming takes some 200 ms.
const BOUNDARY_LEAD_PASSES: (u64, u64) = (2, MAX_BOUNDARY_LEAD);

/// The maximum number of passes between an *arm* order and its boundary.
pub const MAX_BOUNDARY_LEAD: u64 = 10;

/// The minimum arming time to plan for. *Hold*, *arm* and *go* together take
/// 30 to 60 ms when every order is answered, and the reported pass is up to 30
/// ms old.
const MIN_ARMING_TIME: Millis = Millis(90);

/// How long the ranks may copy experts before the plan is abandoned.
const COPY_TIMEOUT: Millis = Millis(3_000);

/// The number of map versions reserved for one coordinator. A rank refuses a
/// version that isn't higher than every version it has had, including those of
/// earlier formations that no report shows. So a coordinator's versions start
/// at its fencing number times this constant.
pub const VERSIONS_PER_COORDINATOR: u64 = 10_000;

/// The phase of a coordinator's current switch.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Idle,
    Preparing { version: Version, since: Millis },
    Holding { version: Version, step: u64, holder: u16 },
    Arming { version: Version, step: u64, except: Option<u16> },
    Sealing { version: Version, step: u64 },
    Disarming { step: u64 },
    Releasing { version: Version, step: u64 },
}

/// A transition caused by the latest reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// No transition to be logged.
    None,
    /// All ranks have switched to this map.
    Changed(Version),
    /// The plan for this map was abandoned before any rank was armed.
    Abandoned(Version),
    /// This coordinator completes a switch that another coordinator began.
    Resumed(Version),
    /// This coordinator cancels a switch that another coordinator began.
    Cancelled(Version),
    /// The group formed again, and the state of the previous formation was
    /// discarded.
    Reset(Epoch),
}

/// Coordinates the switches of a group from one expert map to the next.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Coordinator {
    boundary_lead: (u64, u64),
    copy_timeout: Millis,
    fence: u64,
    rank: u16,
    epoch: Epoch,
    /// The newest map version that this coordinator planned.
    newest_planned: Version,
    phase: Phase,
    timings: Timings,
}

/// Recent durations of arming and of passes, which set the boundary.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Timings {
    /// How long arming took recently: from the *hold* order until all ranks
    /// were armed.
    arming_time: Millis,
    /// When the current arming began.
    arming_began: Millis,
    /// The duration of a pass.
    pass_time: Millis,
    /// The pass from which passes are counted.
    counted_from_pass: u64,
    /// When the counting of passes began.
    counted_from: Millis,
}

impl Timings {
    fn new() -> Timings {
        Timings {
            arming_time: Millis(0),
            arming_began: Millis(0),
            pass_time: DEFAULT_PASS_TIME,
            counted_from_pass: 0,
            counted_from: Millis(0),
        }
    }

    /// Starts counting passes at this pass.
    fn start_counting(&mut self, pass: u64, now: Millis) {
        self.counted_from_pass = pass;
        self.counted_from = now;
    }

    /// Updates the duration of a pass from the passes since counting began,
    /// and records the start of arming.
    fn begin_arming(&mut self, latest_pass: u64, now: Millis) {
        let passes = latest_pass.saturating_sub(self.counted_from_pass);
        if let Some(pass) = now.since(self.counted_from).0.checked_div(passes)
        {
            self.pass_time = Millis(pass.max(1));
        }
        self.arming_began = now;
    }

    /// Records how long arming took. Slow arming is likely to recur, so the
    /// previous duration decays by half only.
    fn finish_arming(&mut self, now: Millis) {
        let elapsed = now.since(self.arming_began);
        let decayed = Millis(self.arming_time.0 / 2);
        self.arming_time = elapsed.max(decayed);
    }

    /// The number of passes within which arming is expected to finish. The
    /// next pass may begin at any moment, so it is not counted.
    fn expected_arming_passes(&self) -> u64 {
        let time = (self.arming_time.0 + self.arming_time.0 / 4)
            .max(MIN_ARMING_TIME.0);
        time / self.pass_time.0 + 2
    }
}

/// The assumed duration of a pass until passes have been counted.
const DEFAULT_PASS_TIME: Millis = Millis(50);

impl Coordinator {
    /// Creates a coordinator that runs beside `rank` and has received no
    /// reports yet.
    pub fn new(config: Config, fence: u64, rank: u16) -> Coordinator {
        Coordinator {
            boundary_lead: config.boundary_lead,
            copy_timeout: config.copy_timeout,
            fence,
            rank,
            epoch: Epoch(0),
            newest_planned: Version(0),
            phase: Phase::Idle,
            timings: Timings::new(),
        }
    }

    /// The coordinator's fencing number.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns whether no switch is in progress, so that a plan may begin.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// The directive to be sent to all agents.
    pub fn directive(&self) -> Directive {
        let aim = match self.phase {
            Phase::Idle => Aim::Rest,
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

    /// Begins to prepare a new map and returns its version. Requires reports
    /// of all ranks.
    pub fn begin_plan(
        &mut self,
        snapshots: &[Snapshot],
        now: Millis,
    ) -> Version {
        let newest =
            snapshots.iter().map(|it| newest_version(&it.report)).max();
        let known =
            newest.unwrap_or(self.newest_planned).max(self.newest_planned);
        let own = self.fence * VERSIONS_PER_COORDINATOR;
        let version = Version(own.max(known.0 + 1));
        self.newest_planned = version;
        self.phase = Phase::Preparing { version, since: now };
        self.timings.start_counting(latest_step(snapshots), now);
        version
    }

    /// Abandons the plan in preparation, if any, and returns its version. No
    /// *hold* or *arm* order was sent for it, and ranks may finish copying
    /// its experts without harm.
    pub fn abandon_plan(&mut self) -> Option<Version> {
        let Phase::Preparing { version, .. } = self.phase else { return None };
        self.phase = Phase::Idle;
        Some(version)
    }

    /// Advances the switch according to the latest reports.
    pub fn advance(
        &mut self,
        snapshots: &[Snapshot],
        missing: MissingRanks,
        now: Millis,
    ) -> Event {
        let Some(first) = snapshots.first() else { return Event::None };
        let epoch = first.report.epoch;
        // Ranks learn of a new formation at different times, so their epochs
        // may differ for a while.
        if snapshots.iter().any(|it| it.report.epoch != epoch) {
            return Event::None;
        }
        if epoch != self.epoch {
            self.epoch = epoch;
            self.phase = Phase::Idle;
            return Event::Reset(epoch);
        }
        match (self.phase, missing) {
            (Phase::Idle, MissingRanks::None) => {
                self.resume_or_release(snapshots)
            }
            (Phase::Idle, MissingRanks::Predecessor(fence)) => {
                self.cancel_switch(snapshots, fence)
            }
            // Keep disarming even if all ranks have reported: an agent may
            // still act on the directive to disarm.
            (
                Phase::Disarming { step },
                MissingRanks::Predecessor(_) | MissingRanks::None,
            ) => self.advance_disarming(snapshots, step),
            (Phase::Releasing { version, step }, _) => {
                self.advance_releasing(snapshots, version, step)
            }
            (Phase::Preparing { version, since }, _) => {
                self.advance_preparing(snapshots, missing, version, since, now)
            }
            (_, MissingRanks::Predecessor(_) | MissingRanks::Others) => {
                Event::None
            }
            (Phase::Holding { version, step, holder }, _) => {
                self.advance_holding(snapshots, version, step, holder)
            }
            (Phase::Arming { version, step, except }, _) => {
                self.advance_arming(snapshots, version, step, except, now);
                Event::None
            }
            (Phase::Sealing { version, step }, _) => {
                self.advance_sealing(snapshots, version, step);
                Event::None
            }
        }
    }

    /// Completes a switch that another coordinator left unfinished, or
    /// releases a hold that belongs to no switch.
    fn resume_or_release(&mut self, snapshots: &[Snapshot]) -> Event {
        let armed = snapshots.iter().find_map(|it| it.report.armed);
        if let Some((version, step)) = armed {
            self.phase = Phase::Arming { version, step, except: None };
            return Event::Resumed(version);
        }
        let Some(step) = snapshots.iter().find_map(|it| it.report.held) else {
            return Event::None;
        };
        // An *arm* order for this pass may still reach any rank that has
        // prepared the next map. Completing the switch is safe whether or not
        // such an order exists.
        self.phase = match prepared_by_all(snapshots) {
            Some(version) => Phase::Arming { version, step, except: None },
            None => {
                Phase::Releasing { version: snapshots[0].report.map, step }
            }
        };
        Event::None
    }

    /// Cancels the switch of a former coordinator that is unreachable.
    fn cancel_switch(
        &mut self,
        snapshots: &[Snapshot],
        predecessor_fence: u64,
    ) -> Event {
        let held = snapshots.iter().find_map(|it| it.report.held);
        let Some(step) = held else { return Event::None };
        let armed = snapshots.iter().find_map(|it| it.report.armed);
        // The former coordinator's rank arms last. So if some other rank is
        // not armed and never will be, the coordinator's rank is not armed
        // either. While any rank is in doubt, waiting is better: if the former
        // coordinator comes back, the switch is completed.
        let all_settled = snapshots.iter().all(is_settled);
        let unarmed =
            |it: &Snapshot| it.report.armed.is_none() && it.report.step < step;
        let coordinator_unarmed =
            snapshots.iter().any(unarmed) || lacks_seal(snapshots, step);
        let latest =
            snapshots.iter().map(|it| newest_version(&it.report)).max();
        let began_by_predecessor = latest.is_some_and(|it| {
            it.0 / VERSIONS_PER_COORDINATOR == predecessor_fence
        });
        if !all_settled || !coordinator_unarmed || !began_by_predecessor {
            return Event::None;
        }
        let version = armed.map_or(snapshots[0].report.map, |it| it.0);
        self.phase = Phase::Disarming { step };
        Event::Cancelled(version)
    }

    /// Releases the hold once no rank is armed or may still arm.
    fn advance_disarming(
        &mut self,
        snapshots: &[Snapshot],
        step: u64,
    ) -> Event {
        let is_clear =
            |it: &Snapshot| it.report.armed.is_none() && is_settled(it);
        if snapshots.iter().all(is_clear) {
            let version = snapshots[0].report.map;
            self.phase = Phase::Releasing { version, step };
        }
        Event::None
    }

    /// Begins to hold once all ranks have prepared the map, or abandons the
    /// plan after the copy timeout.
    fn advance_preparing(
        &mut self,
        snapshots: &[Snapshot],
        missing: MissingRanks,
        version: Version,
        since: Millis,
        now: Millis,
    ) -> Event {
        let is_prepared = |it: &Snapshot| it.report.prepared == Some(version);
        if missing == MissingRanks::None && snapshots.iter().all(is_prepared) {
            self.timings.begin_arming(latest_step(snapshots), now);
            let step = self.boundary(snapshots);
            let holder = self.choose_holder(snapshots);
            self.phase = Phase::Holding { version, step, holder };
            return Event::None;
        }
        if now.since(since) > self.copy_timeout {
            self.phase = Phase::Idle;
            return Event::Abandoned(version);
        }
        Event::None
    }

    /// Returns the boundary: the first pass that is to use the new map.
    fn boundary(&self, snapshots: &[Snapshot]) -> u64 {
        let (min, max) = self.boundary_lead;
        latest_step(snapshots)
            + self.timings.expected_arming_passes().clamp(min, max)
    }

    /// Returns the rank that is to hold the group: the lowest rank other than
    /// the coordinator's own.
    fn choose_holder(&self, snapshots: &[Snapshot]) -> u16 {
        let ranks = snapshots.iter().map(|it| it.report.rank);
        ranks.filter(|it| *it != self.rank).min().unwrap_or(self.rank)
    }

    /// Begins to arm once the hold is reported, or chooses a later boundary if
    /// the group has passed this one.
    fn advance_holding(
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
        } else if latest_step(snapshots) >= step {
            // The group has passed the boundary. No rank is armed, so a later
            // boundary is safe.
            let step = self.boundary(snapshots);
            self.phase = Phase::Holding { version, step, holder };
        }
        Event::None
    }

    /// Releases the hold once all ranks are armed, or announces the seal once
    /// all ranks but the coordinator's own are.
    fn advance_arming(
        &mut self,
        snapshots: &[Snapshot],
        version: Version,
        step: u64,
        except: Option<u16>,
        now: Millis,
    ) {
        // An agent that obeys another coordinator could still disarm its
        // rank.
        let is_armed = |it: &Snapshot| {
            it.report.armed == Some((version, step))
                && it.obeys == ObeyedCoordinator::This
                || it.report.map == version
        };
        if snapshots.iter().all(is_armed) {
            self.timings.finish_arming(now);
            self.phase = Phase::Releasing { version, step };
            return;
        }
        let is_other = |it: &&Snapshot| Some(it.report.rank) != except;
        if except.is_some() && snapshots.iter().filter(is_other).all(is_armed)
        {
            self.phase = Phase::Sealing { version, step };
        }
    }

    /// Arms the coordinator's own rank once the holder's agent has confirmed
    /// the seal.
    fn advance_sealing(
        &mut self,
        snapshots: &[Snapshot],
        version: Version,
        step: u64,
    ) {
        let holder = self.choose_holder(snapshots);
        let has_confirmed = |it: &Snapshot| {
            it.report.rank == holder
                && it.seal == SealStatus::Received(step)
                && it.obeys == ObeyedCoordinator::This
        };
        if snapshots.iter().any(has_confirmed) {
            self.phase = Phase::Arming { version, step, except: None };
        }
    }

    /// Ends the switch once the hold is released and all ranks use the map.
    fn advance_releasing(
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
        self.phase = Phase::Idle;
        Event::Changed(version)
    }
}

/// Returns the newest map version that a rank uses, has prepared or is armed
/// for.
fn newest_version(report: &Report) -> Version {
    let armed = report.armed.map(|it| it.0);
    let prepared = report.prepared.max(armed);
    prepared.map_or(report.map, |it| it.max(report.map))
}

/// Returns whether a rank's report is complete: no unanswered *arm* order is
/// pending there, and its agent obeys this coordinator alone.
fn is_settled(snapshot: &Snapshot) -> bool {
    snapshot.arms == ArmOrders::Answered
        && snapshot.obeys == ObeyedCoordinator::This
}

/// Returns whether the holder has not received the seal of an unreachable
/// coordinator. The holder is the lowest rank other than that coordinator's.
fn lacks_seal(snapshots: &[Snapshot], step: u64) -> bool {
    let holder = snapshots.iter().min_by_key(|it| it.report.rank);
    holder.is_some_and(|it| match it.seal {
        SealStatus::NotReceived => true,
        SealStatus::Received(at) => at != step,
        SealStatus::Unknown => false,
    })
}

/// Returns the map that all ranks have prepared and none uses yet.
fn prepared_by_all(snapshots: &[Snapshot]) -> Option<Version> {
    let version = snapshots.first()?.report.prepared?;
    let is_ready = |it: &Snapshot| {
        it.report.prepared == Some(version) && it.report.map < version
    };
    snapshots.iter().all(is_ready).then_some(version)
}

/// Returns the latest pass that any rank has begun.
fn latest_step(snapshots: &[Snapshot]) -> u64 {
    snapshots.iter().map(|it| it.report.step).max().unwrap_or_default()
}
