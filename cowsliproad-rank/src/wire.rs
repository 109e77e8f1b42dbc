//! The datagrams between agents of one group.

use std::net::SocketAddr;

use cowsliproad_kernel::Name;
use cowsliproad_mapswitch::order::{
    ArmOrderStatus, Directive, Report, SealStatus, Version,
};
use serde::{Deserialize, Serialize};

use crate::plan::Sheet;

/// A datagram between agents. A service may have several groups, each with a
/// coordinator of its own, and agents know the engines of all of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope<T> {
    /// The group that it is for.
    #[serde(rename = "g")]
    pub group: Name,
    /// What it says.
    #[serde(rename = "m")]
    pub message: T,
}

/// What agents take from one another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// From each agent to the coordinator.
    #[serde(rename = "s")]
    Status(Box<Status>),
    /// From each agent to the coordinator.
    #[serde(rename = "c")]
    Choices(Choices),
    /// From the coordinator: what is to be brought about.
    #[serde(rename = "d")]
    Directive(Directive, SocketAddr),
    /// From a coordinator that stops: its fencing number.
    #[serde(rename = "f")]
    Farewell(u64),
    /// From the coordinator: the map that is to be prepared.
    #[serde(rename = "p")]
    Plan(Sheet),
}

/// What an agent knows of its engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The agent.
    #[serde(rename = "a")]
    pub agent: SocketAddr,
    /// What its engine reports.
    #[serde(rename = "r")]
    pub report: Report,
    /// What the agent vouches for beside it.
    #[serde(rename = "o")]
    pub arms: ArmOrderStatus,
    /// Whether it heard that the coordinator's rank arms.
    #[serde(rename = "l")]
    pub seal: SealStatus,
    /// How many times as long as usual its engine's work takes.
    #[serde(rename = "t")]
    pub pace: f32,
    /// The highest fencing number that it knows.
    #[serde(rename = "f")]
    pub fence: u64,
    /// The plan that it has.
    #[serde(rename = "p")]
    pub plan: Option<Version>,
    /// The engine's experts by set, and the map that they are of, where the
    /// coordinator needs them.
    #[serde(rename = "x")]
    pub experts: Option<(Version, Vec<Vec<u16>>)>,
}

/// The part of a status that a coordinator acts on at once.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    report: Report,
    arms: ArmOrderStatus,
    seal: SealStatus,
    fence: u64,
    plan: Option<Version>,
}

impl Status {
    /// What of it the coordinator acts on at once.
    pub fn news(&self) -> News {
        // Each pass would be news otherwise.
        let report = Report { step: 0, ..self.report.clone() };
        let Status { arms, seal, fence, plan, .. } = *self;
        News { report, arms, seal, fence, plan }
    }
}

/// How much oftener a rank's requests chose each expert than when it said so
/// last. A lost one makes the demand seem a little smaller for a moment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Choices {
    /// What one unit stands for.
    #[serde(rename = "s")]
    pub scale: u64,
    /// Units by set and expert, one set after the other.
    #[serde(rename = "u", with = "serde_bytes")]
    pub units: Vec<u8>,
}
