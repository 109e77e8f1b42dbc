//! The datagrams between the agents of one group.

use std::net::SocketAddr;

use cowsliproad_kernel::Name;
use cowsliproad_mapswitch::order::{
    ArmOrderStatus, CoordinatorArmingNotice, Directive, RankReport, Version,
};
use serde::{Deserialize, Serialize};

use crate::plan::PlanUpdate;

/// A datagram between agents, labelled with a group. A service may have
/// several groups, each with its own coordinator, and agents know the engines
/// of all groups.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupMessage<T> {
    /// The group whose agents the datagram addresses.
    #[serde(rename = "g")]
    pub group_name: Name,
    /// The content of the datagram.
    #[serde(rename = "m")]
    pub agent_message: T,
}

/// A message from one agent to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum AgentMessage {
    /// The state of a rank, from each agent to the coordinator.
    #[serde(rename = "s")]
    Status(Box<RankStatus>),
    /// The increase of a rank's selection counts, from each agent to the
    /// coordinator.
    #[serde(rename = "c")]
    SelectionCountIncrease(SelectionCountIncrease),
    /// The coordinator's directive to all agents, and the coordinator's
    /// address.
    #[serde(rename = "d")]
    Directive(Directive, SocketAddr),
    /// The fencing number of a coordinator that stops.
    #[serde(rename = "f")]
    CoordinatorStop(u64),
    /// The coordinator's map that all ranks have to prepare.
    #[serde(rename = "p")]
    Plan(PlanUpdate),
}

/// The state of a rank, as its agent knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RankStatus {
    /// The address of the rank's agent.
    #[serde(rename = "a")]
    pub agent_address: SocketAddr,
    /// The report of the rank's engine.
    #[serde(rename = "r")]
    pub engine_report: RankReport,
    /// Whether the engine may still execute an *arm* order that the engine's
    /// report doesn't show.
    #[serde(rename = "o")]
    pub arm_order_status: ArmOrderStatus,
    /// Whether the agent has received the announcement that the coordinator's
    /// own rank arms.
    #[serde(rename = "l")]
    pub coordinator_arming_notice_receipt: CoordinatorArmingNotice,
    /// The factor by which the engine's work takes longer than normal.
    #[serde(rename = "t")]
    pub slowdown_factor: f32,
    /// The highest fencing number that the agent has received.
    #[serde(rename = "f")]
    pub max_known_fencing_number: u64,
    /// The version of the plan that the agent has.
    #[serde(rename = "p")]
    pub held_plan_version: Option<Version>,
    /// The experts that the engine holds, by set of layers, with the version
    /// of the map that assigns them. Present only if the coordinator needs the
    /// lists.
    #[serde(rename = "x")]
    pub map_version_and_experts_by_layer_set: Option<(Version, Vec<Vec<u16>>)>,
}

/// The part of a rank's status whose changes are sent to the coordinator
/// without delay.
#[derive(Clone, Debug, PartialEq)]
pub struct UrgentRankStatus {
    engine_report: RankReport,
    arm_order_status: ArmOrderStatus,
    coordinator_arming_notice_receipt: CoordinatorArmingNotice,
    max_known_fencing_number: u64,
    held_plan_version: Option<Version>,
}

impl RankStatus {
    /// Returns the part of the status whose changes are sent to the
    /// coordinator without delay.
    pub fn urgent_rank_status(&self) -> UrgentRankStatus {
        // The pass number is left out: it changes with each pass.
        let engine_report =
            RankReport { latest_begun_pass: 0, ..self.engine_report.clone() };
        let RankStatus {
            arm_order_status,
            coordinator_arming_notice_receipt,
            max_known_fencing_number,
            held_plan_version,
            ..
        } = *self;
        UrgentRankStatus {
            engine_report,
            arm_order_status,
            coordinator_arming_notice_receipt,
            max_known_fencing_number,
            held_plan_version,
        }
    }
}

/// The increase of a rank's selection counts in one window: how often requests
/// selected each expert. A lost datagram makes the demand seem slightly lower
/// for a moment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SelectionCountIncrease {
    /// The number of expert selections that one unit in
    /// `increase_units_by_expert` stands for.
    #[serde(rename = "s")]
    pub selections_per_increase_unit: u64,
    /// The increase of each expert's selection count, in units of
    /// `selections_per_increase_unit`: the experts of the first set of layers,
    /// then those of the next sets.
    #[serde(rename = "u", with = "serde_bytes")]
    pub increase_units_by_expert: Vec<u8>,
}
