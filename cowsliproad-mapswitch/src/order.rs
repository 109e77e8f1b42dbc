//! Switches the expert map of a group whose engines only execute orders.
//!
//! Such engines don't vote or compare maps. An engine may execute an order
//! seconds after the order went unanswered, but it reports its own state
//! truthfully. So a switch advances by reports alone, and an unanswered order
//! counts as neither executed nor lost:
//!
//! 1. *prepare*: every rank copies the experts that are new to it, until all
//!    ranks report that they have them;
//! 2. *hold*: one rank, the holder, is ordered to stop the group before the
//!    boundary, the first pass that uses the new map, until it reports the
//!    hold;
//! 3. *arm*: every rank is ordered to switch at the boundary, until **all**
//!    ranks report that they are armed; the coordinator's own rank arms last.
//!    The hold makes a late or lost *arm* harmless: the group waits at the
//!    boundary until the *arm* has been repeated;
//! 4. *go*: the hold is released. The boundary lies some passes ahead, so a
//!    group without faults never waits.
//!
//! An *arm* that no rank reports may still be executed later. So while all
//! ranks are reachable, a switch is always completed, unless the group forms
//! again, which clears all state. A hold that belongs to no switch, for
//! example one that was executed late, is released.
//!
//! A coordinator may freeze while the hold is in place, and its VM and rank
//! are then unreachable. So the holder is another rank, which the coordinator
//! orders over the network and whose own agent can release the hold. The
//! successor may cancel the switch only if the former coordinator alone is
//! missing and its rank can't be armed. That rank arms last, and only after
//! the holder's agent has confirmed the announcement of it (the *arming
//! notice*). If any other rank is not armed, or if the holder has received no
//! arming notice and obeys the successor, the former coordinator's rank can
//! never be armed. Armed ranks are disarmed first. An unanswered *arm* forbids
//! cancelling, as it may still be executed. A switch that the former
//! coordinator had itself taken over is not cancelled either: an earlier
//! coordinator's directive may have armed its rank. Without the arming notice,
//! a coordinator that froze while the other ranks armed blocked its group for
//! the 4 s that its VM was frozen.
//!
//! A [`Coordinator`] keeps no state that it could not read from the reports,
//! so its successor continues where it stopped. Each coordinator has a
//! fencing number. Engines and agents refuse lower numbers, so a coordinator
//! that wakes after it was replaced has no effect.
//!
//! Rejected alternatives: arming far ahead without a hold (a lost order that
//! is executed late mixes maps), disarming when an *arm* is overdue (the late
//! *arm* may be executed after the *disarm*), and a hold at every rank (each
//! hold is one more order that has to be released).

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use crate::Version;
pub use coordinator::{
    Coordinator, CoordinatorConfig, MAX_PASSES_UNTIL_SWITCH, SwitchEvent,
    VERSIONS_PER_COORDINATOR,
};

mod coordinator;
pub mod fence;

/// The number of a group's formation; a group that forms again gets a new one.
/// At the start of a formation all ranks use the first map, and no rank has
/// prepared a map, is armed to switch or holds the group. A rank that holds the
/// group keeps it from beginning a certain pass.
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

/// The experts that ranks hold under an expert map, indexed by layer and then
/// by rank.
pub type ExpertsByLayerAndRank = Vec<Vec<Vec<u16>>>;

/// Whether a group accepts requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum GroupState {
    /// The group is complete and accepts requests.
    Open,
    /// A rank is missing, so the group accepts no requests.
    Broken,
}

/// The state that an engine reports of its rank.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RankReport {
    /// The group formation to which the report belongs.
    pub epoch: Epoch,
    /// The index of the reporting rank.
    pub rank: u16,
    /// The number of ranks in the group.
    pub ranks: u16,
    /// Whether the group accepts requests.
    #[serde(rename = "standing")]
    pub group_state: GroupState,
    /// The number of the last forward pass that the group began.
    #[serde(rename = "step")]
    pub latest_begun_pass: u64,
    /// The version of the expert map that the rank uses.
    pub map: Version,
    /// The newest map whose experts the rank has copied.
    #[serde(rename = "prepared")]
    pub prepared_map_version: Option<Version>,
    /// The map to which the rank is armed to switch, and the first pass that
    /// uses the map; `None` if the rank is not armed.
    #[serde(rename = "armed")]
    pub armed_map_and_pass: Option<(Version, u64)>,
    /// The pass before which this rank holds the group: the group doesn't
    /// begin the pass until the hold is released.
    #[serde(rename = "held")]
    pub held_pass: Option<u64>,
}

impl RankReport {
    /// Creates the report of a rank whose group has just formed.
    pub fn new(epoch: Epoch, rank: u16, ranks: u16) -> RankReport {
        RankReport {
            epoch,
            rank,
            ranks,
            group_state: GroupState::Open,
            latest_begun_pass: 0,
            map: Version(0),
            prepared_map_version: None,
            armed_map_and_pass: None,
            held_pass: None,
        }
    }
}

/// An order to an engine, as part of a switch of maps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Copy the experts that the map of this version newly assigns to the
    /// rank.
    Prepare(Version, Arc<ExpertsByLayerAndRank>),
    /// Switch to the map of this version at the start of the pass of this
    /// number.
    Arm(Version, u64),
    /// Cancel the switch to this map for which the rank is armed.
    Disarm(Version),
    /// Hold the group: don't begin the pass of this number until a *go* order.
    Hold(u64),
    /// Release the hold of the group before the pass of this number.
    Go(u64),
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The engine is executing the order or has executed it.
    Taken,
    /// The engine refused the order, which doesn't fit its state.
    Unfit,
    /// The engine refused the order because it has seen a higher fencing
    /// number.
    Fenced,
}

/// Whether a rank may still execute an *arm* order (to switch maps at a pass)
/// that the rank's report doesn't show.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum ArmOrderStatus {
    /// Every *arm* order that the rank's agent sent was answered.
    Answered,
    /// An unanswered *arm* order may still be executed, or the rank's agent
    /// started too recently to know.
    InDoubt,
}

/// Whether a rank's agent has received the arming notice: the announcement
/// that the coordinator's own rank arms.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum CoordinatorArmingNotice {
    /// The agent has received no announcement that the coordinator's rank
    /// arms.
    #[serde(rename = "Unheard")]
    NotReceived,
    /// The agent has received the announcement that the coordinator's rank
    /// arms for a switch at the pass of this number.
    #[serde(rename = "Heard")]
    Received(u64),
    /// The agent started too recently to know whether its previous process
    /// had received the announcement that the coordinator's rank arms.
    Unknown,
}

/// Which coordinator's directives a rank's agent obeys.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ObeyedCoordinator {
    /// The agent obeys the coordinator that reads the snapshot, and refuses
    /// every earlier coordinator.
    This,
    /// The agent may still obey an earlier coordinator: it has received no
    /// directive from the coordinator that reads the snapshot.
    Another,
}

/// A rank's report, with its agent's knowledge of pending orders and of the
/// coordinator.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RankSnapshot {
    /// The state that the rank's engine reported.
    pub report: RankReport,
    /// Whether an *arm* order that the report doesn't show may still be
    /// executed.
    pub arm_order_status: ArmOrderStatus,
    /// Whether the rank's agent has received the arming notice: the
    /// announcement that the coordinator's own rank arms.
    pub coordinator_arming_notice: CoordinatorArmingNotice,
    /// Which coordinator's directives the rank's agent obeys.
    pub obeyed_coordinator: ObeyedCoordinator,
}

/// The ranks from which a coordinator has no recent report.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MissingRanks {
    /// All ranks have reported recently.
    None,
    /// Only the rank of the former coordinator, which had this fencing
    /// number, is missing.
    Predecessor(u64),
    /// A rank other than the former coordinator's is missing, or several ranks
    /// are missing.
    Others,
}

/// The state that a coordinator wants all ranks to reach.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum DesiredState {
    /// No state is required of the ranks: no switch is in progress.
    Rest,
    /// All ranks have copied the experts of this map.
    Prepared(Version),
    /// One rank, the holder, makes the group wait before a pass. The
    /// coordinator sends the *hold* order to the holder's engine over the
    /// network.
    Held {
        /// The number of the pass that the group must not begin.
        step: u64,
        /// The rank that holds the group.
        holder: u16,
    },
    /// All ranks but `except` are armed to switch to map `version` at pass
    /// `step`.
    Armed {
        /// The new map.
        version: Version,
        /// The first pass that uses the new map.
        step: u64,
        /// The coordinator's rank, which must not arm yet; `None` once this
        /// rank may arm too.
        except: Option<u16>,
    },
    /// All ranks but the coordinator's are armed, and the coordinator's rank
    /// arms next. Each agent confirms that it has received this announcement,
    /// the arming notice.
    Sealed {
        /// The new map.
        version: Version,
        /// The first pass that uses the new map.
        step: u64,
        /// The coordinator's rank, which must not arm yet.
        except: u16,
    },
    /// No rank is armed to switch maps.
    Disarmed,
    /// No rank makes the group wait before the pass of this number.
    Released(u64),
}

/// The instruction that a coordinator sends to all agents.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Directive {
    /// The coordinator's fencing number.
    #[serde(rename = "fence")]
    pub fencing_number: u64,
    /// The group formation for which the directive is valid.
    pub epoch: Epoch,
    /// The state that all ranks have to reach.
    #[serde(rename = "aim")]
    pub desired_state: DesiredState,
}

/// Returns the order that an agent has to send to its own engine, given the
/// engine's last report, or `None` if no order is needed. Called again after
/// each report, so that a lost order is repeated and an executed order is not.
pub fn next_order(
    directive: &Directive,
    report: &RankReport,
    plan: Option<(Version, &Arc<ExpertsByLayerAndRank>)>,
) -> Option<Order> {
    if directive.epoch != report.epoch {
        return None;
    }
    match directive.desired_state {
        DesiredState::Rest => None,
        DesiredState::Prepared(version) => {
            let is_prepared = report.prepared_map_version == Some(version);
            let is_acceptable =
                report.armed_map_and_pass.is_none() && report.map < version;
            let (planned, experts) = plan?;
            (!is_prepared && is_acceptable && planned == version)
                .then(|| Order::Prepare(version, experts.clone()))
        }
        DesiredState::Held { .. } => None,
        DesiredState::Armed { version, step, except } => {
            due_arm_order(report, version, step, except)
        }
        DesiredState::Sealed { version, step, except } => {
            due_arm_order(report, version, step, Some(except))
        }
        DesiredState::Disarmed => {
            report.armed_map_and_pass.map(|it| Order::Disarm(it.0))
        }
        DesiredState::Released(step) => {
            (report.held_pass == Some(step)).then_some(Order::Go(step))
        }
    }
}

/// Returns the *arm* order to send to a rank, or `None` if the rank is already
/// armed, uses the map, has begun the switch's pass or is the exempt rank.
fn due_arm_order(
    report: &RankReport,
    version: Version,
    step: u64,
    except: Option<u16>,
) -> Option<Order> {
    let is_due = report.armed_map_and_pass != Some((version, step))
        && report.map < version
        && report.latest_begun_pass < step
        && except != Some(report.rank);
    is_due.then_some(Order::Arm(version, step))
}

/// Returns the pass of the switch for which a directive announces that the
/// coordinator's own rank arms (the arming notice), or `None` if the directive
/// announces nothing.
pub fn announced_coordinator_arming_step(
    directive: &Directive,
) -> Option<u64> {
    match directive.desired_state {
        DesiredState::Sealed { step, .. } => Some(step),
        DesiredState::Armed { step, except: None, .. } => Some(step),
        _ => None,
    }
}

/// Returns the *hold* order that the coordinator has to send to the reporting
/// engine. `None` unless the directive is to hold this group, the holder is
/// the reporting rank, and that rank neither reports the hold nor has begun
/// the pass before which the group is to be held.
pub fn due_hold_order(
    directive: &Directive,
    report: &RankReport,
) -> Option<Order> {
    let DesiredState::Held { step, holder } = directive.desired_state else {
        return None;
    };
    let is_due = report.rank == holder
        && report.epoch == directive.epoch
        && report.held_pass != Some(step)
        && report.latest_begun_pass < step;
    is_due.then_some(Order::Hold(step))
}
