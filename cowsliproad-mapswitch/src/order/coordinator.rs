//! The state machine of the coordinator of a map switch. The parent module
//! explains why each step is needed.

use cowsliproad_kernel::clock::Millis;

use super::{
    ArmOrderStatus, CoordinatorArmingNotice, DesiredState, Directive, Epoch,
    MissingRanks, ObeyedCoordinator, RankReport, RankSnapshot, Version,
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
            boundary_lead_passes: BOUNDARY_LEAD_PASS_RANGE,
            expert_copy_timeout: EXPERT_COPY_TIMEOUT,
        }
    }

    /// Sets the minimum and maximum number of passes from the latest pass to
    /// the boundary, the first pass that uses the new map.
    pub fn with_switch_lead_passes(
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
const BOUNDARY_LEAD_PASS_RANGE: (u64, u64) = (2, MAX_PASSES_UNTIL_SWITCH);

/// The maximum number of passes between an *arm* order and the pass at which
/// the rank switches maps.
pub const MAX_PASSES_UNTIL_SWITCH: u64 = 10;

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
enum SwitchPhase {
    Idle,
    Preparing { version: Version, since: Millis },
    Holding { version: Version, step: u64, holder: u16 },
    Arming { version: Version, step: u64, except: Option<u16> },
    AnnouncingOwnArming { version: Version, step: u64 },
    Disarming { step: u64 },
    Releasing { version: Version, step: u64 },
}

/// A transition of a map switch that the latest reports caused, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwitchEvent {
    /// No transition to be logged.
    None,
    /// All ranks have switched to the map of this version.
    Changed(Version),
    /// The plan for the map of this version was abandoned before any rank was
    /// armed to switch maps.
    Abandoned(Version),
    /// This coordinator has begun to complete a switch, started by another
    /// coordinator, to the map of this version.
    Resumed(Version),
    /// This coordinator has begun to cancel a switch, started by another
    /// coordinator, to the map of this version.
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
    fencing_number: u64,
    own_rank: u16,
    epoch: Epoch,
    /// The newest map version that this coordinator planned.
    newest_planned_version: Version,
    phase: SwitchPhase,
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

    /// Starts counting passes at `pass`, to derive their mean duration.
    fn start_counting_passes(&mut self, pass: u64, now: Millis) {
        self.first_counted_pass = pass;
        self.counting_began = now;
    }

    /// Updates the mean duration of a pass from the passes counted since the
    /// plan began, and records the start of arming.
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
    fn expected_arming_pass_count(&self) -> u64 {
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
        fencing_number: u64,
        own_rank: u16,
    ) -> Coordinator {
        Coordinator {
            boundary_lead_passes: config.boundary_lead_passes,
            expert_copy_timeout: config.expert_copy_timeout,
            fencing_number,
            own_rank,
            epoch: Epoch(0),
            newest_planned_version: Version(0),
            phase: SwitchPhase::Idle,
            timings: ArmingTimings::new(),
        }
    }

    /// The coordinator's fencing number.
    pub fn fencing_number(&self) -> u64 {
        self.fencing_number
    }

    /// Returns whether no switch is in progress, so that a plan may begin.
    pub fn is_idle(&self) -> bool {
        self.phase == SwitchPhase::Idle
    }

    /// Returns the coordinator's directive, to be sent to all agents.
    pub fn directive(&self) -> Directive {
        let aim = match self.phase {
            SwitchPhase::Idle => DesiredState::Rest,
            SwitchPhase::Preparing { version, .. } => {
                DesiredState::Prepared(version)
            }
            SwitchPhase::Holding { step, holder, .. } => {
                DesiredState::Held { step, holder }
            }
            SwitchPhase::Arming { version, step, except } => {
                DesiredState::Armed { version, step, except }
            }
            SwitchPhase::AnnouncingOwnArming { version, step } => {
                DesiredState::Sealed { version, step, except: self.own_rank }
            }
            SwitchPhase::Disarming { .. } => DesiredState::Disarmed,
            SwitchPhase::Releasing { step, .. } => {
                DesiredState::Released(step)
            }
        };
        Directive {
            fencing_number: self.fencing_number,
            epoch: self.epoch,
            desired_state: aim,
        }
    }

    /// Begins to prepare a new map and returns its version. Requires snapshots
    /// of all ranks.
    pub fn begin_plan(
        &mut self,
        snapshots: &[RankSnapshot],
        now: Millis,
    ) -> Version {
        let newest = snapshots
            .iter()
            .map(|it| newest_known_map_version(&it.report))
            .max();
        let known = newest
            .unwrap_or(self.newest_planned_version)
            .max(self.newest_planned_version);
        let own = self.fencing_number * VERSIONS_PER_COORDINATOR;
        let version = Version(own.max(known.0 + 1));
        self.newest_planned_version = version;
        self.phase = SwitchPhase::Preparing { version, since: now };
        self.timings.start_counting_passes(latest_begun_pass(snapshots), now);
        version
    }

    /// Abandons the plan in preparation, if any, and returns its version. No
    /// *hold* or *arm* order was sent for it, and ranks may finish copying
    /// its experts without harm.
    pub fn abandon_plan(&mut self) -> Option<Version> {
        let SwitchPhase::Preparing { version, .. } = self.phase else {
            return None;
        };
        self.phase = SwitchPhase::Idle;
        Some(version)
    }

    /// Advances the switch according to the latest reports.
    pub fn advance_switch(
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
            self.phase = SwitchPhase::Idle;
            return SwitchEvent::Reset(epoch);
        }
        match (self.phase, missing) {
            (SwitchPhase::Idle, MissingRanks::None) => {
                self.resume_switch_or_release_hold(snapshots)
            }
            (SwitchPhase::Idle, MissingRanks::Predecessor(fencing_number)) => {
                self.cancel_switch(snapshots, fencing_number)
            }
            // Keep disarming even if all ranks have reported: an agent may
            // still act on the directive to disarm.
            (
                SwitchPhase::Disarming { step },
                MissingRanks::Predecessor(_) | MissingRanks::None,
            ) => self.release_hold_if_all_disarmed(snapshots, step),
            (SwitchPhase::Releasing { version, step }, _) => {
                self.finish_switch_if_released(snapshots, version, step)
            }
            (SwitchPhase::Preparing { version, since }, _) => self
                .begin_hold_if_prepared(
                    snapshots, missing, version, since, now,
                ),
            (_, MissingRanks::Predecessor(_) | MissingRanks::Others) => {
                SwitchEvent::None
            }
            (SwitchPhase::Holding { version, step, holder }, _) => self
                .begin_arming_if_group_is_held(
                    snapshots, version, step, holder,
                ),
            (SwitchPhase::Arming { version, step, except }, _) => {
                self.announce_own_arming_or_release_hold(
                    snapshots, version, step, except, now,
                );
                SwitchEvent::None
            }
            (SwitchPhase::AnnouncingOwnArming { version, step }, _) => {
                self.arm_own_rank_if_notice_confirmed(
                    snapshots, version, step,
                );
                SwitchEvent::None
            }
        }
    }

    /// Completes a switch that another coordinator left unfinished, or
    /// releases a hold that belongs to no switch.
    fn resume_switch_or_release_hold(
        &mut self,
        snapshots: &[RankSnapshot],
    ) -> SwitchEvent {
        let armed =
            snapshots.iter().find_map(|it| it.report.armed_map_and_pass);
        if let Some((version, step)) = armed {
            self.phase = SwitchPhase::Arming { version, step, except: None };
            return SwitchEvent::Resumed(version);
        }
        let Some(step) = snapshots.iter().find_map(|it| it.report.held_pass)
        else {
            return SwitchEvent::None;
        };
        // An *arm* order for pass `step` may still reach any rank that has
        // prepared the next map. Completing the switch is safe whether or not
        // such an order exists.
        self.phase = match map_version_prepared_by_all_ranks(snapshots) {
            Some(version) => {
                SwitchPhase::Arming { version, step, except: None }
            }
            None => SwitchPhase::Releasing {
                version: snapshots[0].report.map,
                step,
            },
        };
        SwitchEvent::None
    }

    /// Cancels the switch of a former coordinator that is unreachable.
    fn cancel_switch(
        &mut self,
        snapshots: &[RankSnapshot],
        predecessor_fencing_number: u64,
    ) -> SwitchEvent {
        let held = snapshots.iter().find_map(|it| it.report.held_pass);
        let Some(step) = held else { return SwitchEvent::None };
        let armed =
            snapshots.iter().find_map(|it| it.report.armed_map_and_pass);
        // The former coordinator's rank arms last. So if some other rank is
        // not armed and never will be, the coordinator's rank is not armed
        // either. While some rank's armed state may still change, waiting is
        // better: if the former coordinator comes back, the switch is
        // completed.
        let all_settled = snapshots.iter().all(is_armed_state_final);
        let unarmed = |it: &RankSnapshot| {
            it.report.armed_map_and_pass.is_none()
                && it.report.latest_begun_pass < step
        };
        let coordinator_unarmed = snapshots.iter().any(unarmed)
            || has_holding_rank_missed_arming_notice(snapshots, step);
        let latest = snapshots
            .iter()
            .map(|it| newest_known_map_version(&it.report))
            .max();
        let began_by_predecessor = latest.is_some_and(|it| {
            it.0 / VERSIONS_PER_COORDINATOR == predecessor_fencing_number
        });
        if !all_settled || !coordinator_unarmed || !began_by_predecessor {
            return SwitchEvent::None;
        }
        let version = armed.map_or(snapshots[0].report.map, |it| it.0);
        self.phase = SwitchPhase::Disarming { step };
        SwitchEvent::Cancelled(version)
    }

    /// Releases the hold of the group once no rank is armed or may still arm.
    fn release_hold_if_all_disarmed(
        &mut self,
        snapshots: &[RankSnapshot],
        step: u64,
    ) -> SwitchEvent {
        let is_clear = |it: &RankSnapshot| {
            it.report.armed_map_and_pass.is_none() && is_armed_state_final(it)
        };
        if snapshots.iter().all(is_clear) {
            let version = snapshots[0].report.map;
            self.phase = SwitchPhase::Releasing { version, step };
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
        let is_prepared = |it: &RankSnapshot| {
            it.report.prepared_map_version == Some(version)
        };
        if missing == MissingRanks::None && snapshots.iter().all(is_prepared) {
            self.timings.begin_arming(latest_begun_pass(snapshots), now);
            let step = self.choose_boundary_pass(snapshots);
            let holder = self.choose_holding_rank(snapshots);
            self.phase = SwitchPhase::Holding { version, step, holder };
            return SwitchEvent::None;
        }
        if now.since(since) > self.expert_copy_timeout {
            self.phase = SwitchPhase::Idle;
            return SwitchEvent::Abandoned(version);
        }
        SwitchEvent::None
    }

    /// Returns the boundary: the first pass that is to use the new map.
    fn choose_boundary_pass(&self, snapshots: &[RankSnapshot]) -> u64 {
        let (min, max) = self.boundary_lead_passes;
        latest_begun_pass(snapshots)
            + self.timings.expected_arming_pass_count().clamp(min, max)
    }

    /// Returns the rank that is to hold the group: the lowest rank other than
    /// the coordinator's own.
    fn choose_holding_rank(&self, snapshots: &[RankSnapshot]) -> u16 {
        let ranks = snapshots.iter().map(|it| it.report.rank);
        ranks.filter(|it| *it != self.own_rank).min().unwrap_or(self.own_rank)
    }

    /// Begins to arm the ranks once a rank reports that it holds the group, or
    /// chooses a later boundary if the group has begun the boundary pass.
    fn begin_arming_if_group_is_held(
        &mut self,
        snapshots: &[RankSnapshot],
        version: Version,
        step: u64,
        holder: u16,
    ) -> SwitchEvent {
        let held =
            snapshots.iter().any(|it| it.report.held_pass == Some(step));
        if held {
            let except = Some(self.own_rank);
            self.phase = SwitchPhase::Arming { version, step, except };
        } else if latest_begun_pass(snapshots) >= step {
            // The group has begun the boundary pass with the old map. No rank
            // is armed, so a later boundary is safe.
            let step = self.choose_boundary_pass(snapshots);
            self.phase = SwitchPhase::Holding { version, step, holder };
        }
        SwitchEvent::None
    }

    /// Releases the hold of the group once all ranks are armed. Once all ranks
    /// but the coordinator's are armed, announces that the coordinator's rank
    /// arms next (the arming notice).
    fn announce_own_arming_or_release_hold(
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
            it.report.armed_map_and_pass == Some((version, step))
                && it.obeyed_coordinator == ObeyedCoordinator::This
                || it.report.map == version
        };
        if snapshots.iter().all(is_armed) {
            self.timings.finish_arming(now);
            self.phase = SwitchPhase::Releasing { version, step };
            return;
        }
        let is_other = |it: &&RankSnapshot| Some(it.report.rank) != except;
        if except.is_some() && snapshots.iter().filter(is_other).all(is_armed)
        {
            self.phase = SwitchPhase::AnnouncingOwnArming { version, step };
        }
    }

    /// Arms the coordinator's own rank once the agent of the rank that holds
    /// the group has confirmed the arming notice: the announcement that
    /// the coordinator's rank arms.
    fn arm_own_rank_if_notice_confirmed(
        &mut self,
        snapshots: &[RankSnapshot],
        version: Version,
        step: u64,
    ) {
        let holder = self.choose_holding_rank(snapshots);
        let has_confirmed = |it: &RankSnapshot| {
            it.report.rank == holder
                && it.coordinator_arming_notice
                    == CoordinatorArmingNotice::Received(step)
                && it.obeyed_coordinator == ObeyedCoordinator::This
        };
        if snapshots.iter().any(has_confirmed) {
            self.phase = SwitchPhase::Arming { version, step, except: None };
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
        let held =
            snapshots.iter().any(|it| it.report.held_pass == Some(step));
        let changed = snapshots.iter().all(|it| it.report.map == version);
        if held || !changed {
            return SwitchEvent::None;
        }
        self.phase = SwitchPhase::Idle;
        SwitchEvent::Changed(version)
    }
}

/// Returns the newest map version that a rank uses, has prepared or is armed
/// for.
fn newest_known_map_version(report: &RankReport) -> Version {
    let armed = report.armed_map_and_pass.map(|it| it.0);
    let prepared = report.prepared_map_version.max(armed);
    prepared.map_or(report.map, |it| it.max(report.map))
}

/// Returns whether a rank's reported armed state is final unless this
/// coordinator changes it: no unanswered *arm* order may still be executed
/// there, and the rank's agent obeys this coordinator alone.
fn is_armed_state_final(snapshot: &RankSnapshot) -> bool {
    snapshot.arm_order_status == ArmOrderStatus::Answered
        && snapshot.obeyed_coordinator == ObeyedCoordinator::This
}

/// Returns whether the agent of the rank that holds the group has certainly
/// not received the arming notice: the announcement that the unreachable
/// coordinator's rank arms. The holding rank is the lowest rank but that
/// coordinator's.
fn has_holding_rank_missed_arming_notice(
    snapshots: &[RankSnapshot],
    step: u64,
) -> bool {
    let holder = snapshots.iter().min_by_key(|it| it.report.rank);
    holder.is_some_and(|it| match it.coordinator_arming_notice {
        CoordinatorArmingNotice::NotReceived => true,
        CoordinatorArmingNotice::Received(at) => at != step,
        CoordinatorArmingNotice::Unknown => false,
    })
}

/// Returns the version of the map that all ranks have prepared and no rank
/// uses yet; `None` if there is no such map.
fn map_version_prepared_by_all_ranks(
    snapshots: &[RankSnapshot],
) -> Option<Version> {
    let version = snapshots.first()?.report.prepared_map_version?;
    let is_ready = |it: &RankSnapshot| {
        it.report.prepared_map_version == Some(version)
            && it.report.map < version
    };
    snapshots.iter().all(is_ready).then_some(version)
}

/// Returns the latest pass that any rank has begun.
fn latest_begun_pass(snapshots: &[RankSnapshot]) -> u64 {
    snapshots
        .iter()
        .map(|it| it.report.latest_begun_pass)
        .max()
        .unwrap_or_default()
}
