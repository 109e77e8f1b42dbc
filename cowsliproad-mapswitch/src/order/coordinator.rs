//! The state machine of the coordinator of a map switch. The parent module
//! explains why each step is needed.

use cowsliproad_kernel::clock::Millis;

use super::{
    Aim, ArmOrderStatus, Directive, Epoch, MissingRanks, ObeyedCoordinator,
    RankSnapshot, Report, SealStatus, Version,
};

/// Settings of a coordinator of map switches.
#[derive(Clone, Copy, Debug)]
pub struct CoordinatorConfig {
    boundary_lead_passes: (u64, u64),
    expert_copy_timeout: Millis,
}

impl CoordinatorConfig {
    /// Returns the default settings.
    pub fn new() -> CoordinatorConfig {
        CoordinatorConfig {
            boundary_lead_passes: BOUNDARY_LEAD_PASSES,
            expert_copy_timeout: EXPERT_COPY_TIMEOUT,
        }
    }

    /// Sets the minimum and maximum number of passes from the latest pass to
    /// the boundary, the first pass that uses the new map.
    pub fn with_boundary_lead(
        self,
        min_passes: u64,
        max_passes: u64,
    ) -> CoordinatorConfig {
        CoordinatorConfig {
            boundary_lead_passes: (min_passes, max_passes),
            ..self
        }
    }
}

impl Default for CoordinatorConfig {
    fn default() -> CoordinatorConfig {
        CoordinatorConfig::new()
    }
}

/// The minimum and maximum number of passes from the latest pass to the
/// boundary, the first pass that uses the new map. Within these bounds the
/// boundary is as far ahead as recent arming took, so that the group doesn't
/// stop while orders go unanswered. With half of the orders lost, arming takes
/// some 200 ms.
const BOUNDARY_LEAD_PASSES: (u64, u64) = (2, MAX_BOUNDARY_LEAD);

/// The maximum number of passes between an *arm* order and the pass at which
/// the rank switches maps.
pub const MAX_BOUNDARY_LEAD: u64 = 10;

/// The minimum time to plan for the arming of all ranks. *Hold*, *arm* and
/// *go* together take 30 to 60 ms when every order is answered, and the
/// reported pass is up to 30 ms old.
const MIN_ARMING_TIME: Millis = Millis(90);

/// How long the ranks may copy the experts of a new map before the plan is
/// abandoned.
const EXPERT_COPY_TIMEOUT: Millis = Millis(3_000);

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

/// A transition of a map switch that the latest reports caused, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwitchEvent {
    /// No transition to be logged.
    None,
    /// All ranks have switched to this map.
    Changed(Version),
    /// The plan for this map was abandoned before any rank was armed to switch
    /// to it.
    Abandoned(Version),
    /// This coordinator has begun to complete a switch to this map that
    /// another coordinator started.
    Resumed(Version),
    /// This coordinator has begun to cancel a switch to this map that another
    /// coordinator started.
    Cancelled(Version),
    /// The group formed again under this epoch, and the coordinator discarded
    /// the state of the previous formation.
    Reset(Epoch),
}

/// Coordinates the switches of a group from one expert map to the next.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Coordinator {
    boundary_lead_passes: (u64, u64),
    expert_copy_timeout: Millis,
    fence: u64,
    own_rank: u16,
    epoch: Epoch,
    /// The newest map version that this coordinator planned.
    newest_planned_version: Version,
    phase: Phase,
    timings: ArmingTimings,
}

/// Recent durations of arming and of passes, from which the coordinator
/// chooses the first pass that uses a new map.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct ArmingTimings {
    /// How long arming took recently: from the *hold* order until all ranks
    /// were armed.
    arming_time: Millis,
    /// When the current arming began.
    arming_began: Millis,
    /// The mean duration of recent forward passes.
    mean_pass_time: Millis,
    /// The pass from which passes are counted to derive their duration.
    first_counted_pass: u64,
    /// When the counting of passes for their duration began.
    counting_began: Millis,
}

impl ArmingTimings {
    fn new() -> ArmingTimings {
        ArmingTimings {
            arming_time: Millis(0),
            arming_began: Millis(0),
            mean_pass_time: DEFAULT_PASS_TIME,
            first_counted_pass: 0,
            counting_began: Millis(0),
        }
    }

    /// Starts counting passes at this pass, to derive their duration.
    fn start_counting_passes(&mut self, pass: u64, now: Millis) {
        self.first_counted_pass = pass;
        self.counting_began = now;
    }

    /// Updates the duration of a pass from the passes since counting began,
    /// and records the start of arming.
    fn begin_arming(&mut self, latest_pass: u64, now: Millis) {
        let passes = latest_pass.saturating_sub(self.first_counted_pass);
        if let Some(pass) =
            now.since(self.counting_began).0.checked_div(passes)
        {
            self.mean_pass_time = Millis(pass.max(1));
        }
        self.arming_began = now;
    }

    /// Records how long arming all ranks took. Slow arming is likely to recur,
    /// so the previous duration decays by half only.
    fn finish_arming(&mut self, now: Millis) {
        let elapsed = now.since(self.arming_began);
        let decayed = Millis(self.arming_time.0 / 2);
        self.arming_time = elapsed.max(decayed);
    }

    /// The number of passes within which arming all ranks is expected to
    /// finish. The next pass may begin at any moment, so it is not counted.
    fn expected_arming_passes(&self) -> u64 {
        let time = (self.arming_time.0 + self.arming_time.0 / 4)
            .max(MIN_ARMING_TIME.0);
        time / self.mean_pass_time.0 + 2
    }
}

/// The assumed duration of a pass until passes have been counted.
const DEFAULT_PASS_TIME: Millis = Millis(50);

impl Coordinator {
    /// Creates a coordinator on the VM of `own_rank` with this fencing number.
    /// It has received no reports yet.
    pub fn new(
        config: CoordinatorConfig,
        fence: u64,
        own_rank: u16,
    ) -> Coordinator {
        Coordinator {
            boundary_lead_passes: config.boundary_lead_passes,
            expert_copy_timeout: config.expert_copy_timeout,
            fence,
            own_rank,
            epoch: Epoch(0),
            newest_planned_version: Version(0),
            phase: Phase::Idle,
            timings: ArmingTimings::new(),
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

    /// Returns the coordinator's directive, to be sent to all agents.
    pub fn directive(&self) -> Directive {
        let aim = match self.phase {
            Phase::Idle => Aim::Rest,
            Phase::Preparing { version, .. } => Aim::Prepared(version),
            Phase::Holding { step, holder, .. } => Aim::Held { step, holder },
            Phase::Arming { version, step, except } => {
                Aim::Armed { version, step, except }
            }
            Phase::Sealing { version, step } => {
                Aim::Sealed { version, step, except: self.own_rank }
            }
            Phase::Disarming { .. } => Aim::Disarmed,
            Phase::Releasing { step, .. } => Aim::Released(step),
        };
        Directive { fence: self.fence, epoch: self.epoch, aim }
    }

    /// Begins to prepare a new map and returns its version. Requires snapshots
    /// of all ranks.
    pub fn begin_plan(
        &mut self,
        snapshots: &[RankSnapshot],
        now: Millis,
    ) -> Version {
        let newest =
            snapshots.iter().map(|it| newest_known_version(&it.report)).max();
        let known = newest
            .unwrap_or(self.newest_planned_version)
            .max(self.newest_planned_version);
        let own = self.fence * VERSIONS_PER_COORDINATOR;
        let version = Version(own.max(known.0 + 1));
        self.newest_planned_version = version;
        self.phase = Phase::Preparing { version, since: now };
        self.timings.start_counting_passes(latest_begun_step(snapshots), now);
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
        snapshots: &[RankSnapshot],
        missing: MissingRanks,
        now: Millis,
    ) -> SwitchEvent {
        let Some(first) = snapshots.first() else { return SwitchEvent::None };
        let epoch = first.report.epoch;
        // Ranks learn of a new formation at different times, so their epochs
        // may differ for a while.
        if snapshots.iter().any(|it| it.report.epoch != epoch) {
            return SwitchEvent::None;
        }
        if epoch != self.epoch {
            self.epoch = epoch;
            self.phase = Phase::Idle;
            return SwitchEvent::Reset(epoch);
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
            ) => self.release_hold_if_disarmed(snapshots, step),
            (Phase::Releasing { version, step }, _) => {
                self.finish_switch_if_released(snapshots, version, step)
            }
            (Phase::Preparing { version, since }, _) => self
                .begin_hold_if_prepared(
                    snapshots, missing, version, since, now,
                ),
            (_, MissingRanks::Predecessor(_) | MissingRanks::Others) => {
                SwitchEvent::None
            }
            (Phase::Holding { version, step, holder }, _) => {
                self.begin_arming_if_held(snapshots, version, step, holder)
            }
            (Phase::Arming { version, step, except }, _) => {
                self.seal_or_release_if_armed(
                    snapshots, version, step, except, now,
                );
                SwitchEvent::None
            }
            (Phase::Sealing { version, step }, _) => {
                self.arm_own_rank_if_sealed(snapshots, version, step);
                SwitchEvent::None
            }
        }
    }

    /// Completes a switch that another coordinator left unfinished, or
    /// releases a hold that belongs to no switch.
    fn resume_or_release(
        &mut self,
        snapshots: &[RankSnapshot],
    ) -> SwitchEvent {
        let armed = snapshots.iter().find_map(|it| it.report.armed);
        if let Some((version, step)) = armed {
            self.phase = Phase::Arming { version, step, except: None };
            return SwitchEvent::Resumed(version);
        }
        let Some(step) = snapshots.iter().find_map(|it| it.report.held) else {
            return SwitchEvent::None;
        };
        // An *arm* order for this pass may still reach any rank that has
        // prepared the next map. Completing the switch is safe whether or not
        // such an order exists.
        self.phase = match version_prepared_by_all(snapshots) {
            Some(version) => Phase::Arming { version, step, except: None },
            None => {
                Phase::Releasing { version: snapshots[0].report.map, step }
            }
        };
        SwitchEvent::None
    }

    /// Cancels the switch of a former coordinator that is unreachable.
    fn cancel_switch(
        &mut self,
        snapshots: &[RankSnapshot],
        predecessor_fence: u64,
    ) -> SwitchEvent {
        let held = snapshots.iter().find_map(|it| it.report.held);
        let Some(step) = held else { return SwitchEvent::None };
        let armed = snapshots.iter().find_map(|it| it.report.armed);
        // The former coordinator's rank arms last. So if some other rank is
        // not armed and never will be, the coordinator's rank is not armed
        // either. While some rank's armed state may still change, waiting is
        // better: if the former coordinator comes back, the switch is
        // completed.
        let all_settled = snapshots.iter().all(is_armed_state_final);
        let unarmed = |it: &RankSnapshot| {
            it.report.armed.is_none() && it.report.step < step
        };
        let coordinator_unarmed = snapshots.iter().any(unarmed)
            || holder_lacks_seal(snapshots, step);
        let latest =
            snapshots.iter().map(|it| newest_known_version(&it.report)).max();
        let began_by_predecessor = latest.is_some_and(|it| {
            it.0 / VERSIONS_PER_COORDINATOR == predecessor_fence
        });
        if !all_settled || !coordinator_unarmed || !began_by_predecessor {
            return SwitchEvent::None;
        }
        let version = armed.map_or(snapshots[0].report.map, |it| it.0);
        self.phase = Phase::Disarming { step };
        SwitchEvent::Cancelled(version)
    }

    /// Releases the hold of the group once no rank is armed or may still arm.
    fn release_hold_if_disarmed(
        &mut self,
        snapshots: &[RankSnapshot],
        step: u64,
    ) -> SwitchEvent {
        let is_clear = |it: &RankSnapshot| {
            it.report.armed.is_none() && is_armed_state_final(it)
        };
        if snapshots.iter().all(is_clear) {
            let version = snapshots[0].report.map;
            self.phase = Phase::Releasing { version, step };
        }
        SwitchEvent::None
    }

    /// Begins to hold the group once all ranks have prepared the new map, or
    /// abandons the plan after the copy timeout.
    fn begin_hold_if_prepared(
        &mut self,
        snapshots: &[RankSnapshot],
        missing: MissingRanks,
        version: Version,
        since: Millis,
        now: Millis,
    ) -> SwitchEvent {
        let is_prepared =
            |it: &RankSnapshot| it.report.prepared == Some(version);
        if missing == MissingRanks::None && snapshots.iter().all(is_prepared) {
            self.timings.begin_arming(latest_begun_step(snapshots), now);
            let step = self.next_boundary(snapshots);
            let holder = self.choose_holding_rank(snapshots);
            self.phase = Phase::Holding { version, step, holder };
            return SwitchEvent::None;
        }
        if now.since(since) > self.expert_copy_timeout {
            self.phase = Phase::Idle;
            return SwitchEvent::Abandoned(version);
        }
        SwitchEvent::None
    }

    /// Returns the boundary: the first pass that is to use the new map.
    fn next_boundary(&self, snapshots: &[RankSnapshot]) -> u64 {
        let (min, max) = self.boundary_lead_passes;
        latest_begun_step(snapshots)
            + self.timings.expected_arming_passes().clamp(min, max)
    }

    /// Returns the rank that is to hold the group: the lowest rank other than
    /// the coordinator's own.
    fn choose_holding_rank(&self, snapshots: &[RankSnapshot]) -> u16 {
        let ranks = snapshots.iter().map(|it| it.report.rank);
        ranks.filter(|it| *it != self.own_rank).min().unwrap_or(self.own_rank)
    }

    /// Begins to arm the ranks once a rank reports that it holds the group, or
    /// chooses a later boundary if the group has begun the boundary pass.
    fn begin_arming_if_held(
        &mut self,
        snapshots: &[RankSnapshot],
        version: Version,
        step: u64,
        holder: u16,
    ) -> SwitchEvent {
        let held = snapshots.iter().any(|it| it.report.held == Some(step));
        if held {
            let except = Some(self.own_rank);
            self.phase = Phase::Arming { version, step, except };
        } else if latest_begun_step(snapshots) >= step {
            // The group has begun the boundary pass with the old map. No rank
            // is armed, so a later boundary is safe.
            let step = self.next_boundary(snapshots);
            self.phase = Phase::Holding { version, step, holder };
        }
        SwitchEvent::None
    }

    /// Releases the hold of the group once all ranks are armed. Once all ranks
    /// but the coordinator's are armed, announces that its rank arms next (the
    /// seal).
    fn seal_or_release_if_armed(
        &mut self,
        snapshots: &[RankSnapshot],
        version: Version,
        step: u64,
        except: Option<u16>,
        now: Millis,
    ) {
        // An agent that obeys another coordinator could still disarm its own
        // rank.
        let is_armed = |it: &RankSnapshot| {
            it.report.armed == Some((version, step))
                && it.obeys == ObeyedCoordinator::This
                || it.report.map == version
        };
        if snapshots.iter().all(is_armed) {
            self.timings.finish_arming(now);
            self.phase = Phase::Releasing { version, step };
            return;
        }
        let is_other = |it: &&RankSnapshot| Some(it.report.rank) != except;
        if except.is_some() && snapshots.iter().filter(is_other).all(is_armed)
        {
            self.phase = Phase::Sealing { version, step };
        }
    }

    /// Arms the coordinator's own rank once the agent of the rank that holds
    /// the group has confirmed the seal: the announcement that the
    /// coordinator's rank arms.
    fn arm_own_rank_if_sealed(
        &mut self,
        snapshots: &[RankSnapshot],
        version: Version,
        step: u64,
    ) {
        let holder = self.choose_holding_rank(snapshots);
        let has_confirmed = |it: &RankSnapshot| {
            it.report.rank == holder
                && it.seal == SealStatus::Received(step)
                && it.obeys == ObeyedCoordinator::This
        };
        if snapshots.iter().any(has_confirmed) {
            self.phase = Phase::Arming { version, step, except: None };
        }
    }

    /// Ends the switch once the hold of the group is released and all ranks
    /// use the new map.
    fn finish_switch_if_released(
        &mut self,
        snapshots: &[RankSnapshot],
        version: Version,
        step: u64,
    ) -> SwitchEvent {
        let held = snapshots.iter().any(|it| it.report.held == Some(step));
        let changed = snapshots.iter().all(|it| it.report.map == version);
        if held || !changed {
            return SwitchEvent::None;
        }
        self.phase = Phase::Idle;
        SwitchEvent::Changed(version)
    }
}

/// Returns the newest map version that a rank uses, has prepared or is armed
/// for.
fn newest_known_version(report: &Report) -> Version {
    let armed = report.armed.map(|it| it.0);
    let prepared = report.prepared.max(armed);
    prepared.map_or(report.map, |it| it.max(report.map))
}

/// Returns whether a rank's reported armed state is final unless this
/// coordinator changes it: no unanswered *arm* order may still be executed
/// there, and the rank's agent obeys this coordinator alone.
fn is_armed_state_final(snapshot: &RankSnapshot) -> bool {
    snapshot.arms == ArmOrderStatus::Answered
        && snapshot.obeys == ObeyedCoordinator::This
}

/// Returns whether the agent of the rank that holds the group has certainly
/// not received the seal: the announcement that the unreachable coordinator's
/// rank arms. The holding rank is the lowest rank but that coordinator's.
fn holder_lacks_seal(snapshots: &[RankSnapshot], step: u64) -> bool {
    let holder = snapshots.iter().min_by_key(|it| it.report.rank);
    holder.is_some_and(|it| match it.seal {
        SealStatus::NotReceived => true,
        SealStatus::Received(at) => at != step,
        SealStatus::Unknown => false,
    })
}

/// Returns the version of the map that all ranks have prepared and no rank
/// uses yet; `None` if there is no such map.
fn version_prepared_by_all(snapshots: &[RankSnapshot]) -> Option<Version> {
    let version = snapshots.first()?.report.prepared?;
    let is_ready = |it: &RankSnapshot| {
        it.report.prepared == Some(version) && it.report.map < version
    };
    snapshots.iter().all(is_ready).then_some(version)
}

/// Returns the latest pass that any rank has begun.
fn latest_begun_step(snapshots: &[RankSnapshot]) -> u64 {
    snapshots.iter().map(|it| it.report.step).max().unwrap_or_default()
}
