//! The datagrams between agents of one group.

use std::{net::SocketAddr, sync::Arc};

use cowsliproad_mapswitch::order::{
    Arms, Directive, Epoch, Experts, Report, Version,
};
use serde::{Deserialize, Serialize};

/// What agents take from one another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// From each agent to the coordinator.
    #[serde(rename = "s")]
    Status(Box<Status>),
    /// From the coordinator: what is to be brought about.
    #[serde(rename = "d")]
    Directive(Directive, SocketAddr),
    /// From the coordinator: the map that is to be prepared.
    #[serde(rename = "p")]
    Plan(Plan),
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
    pub arms: Arms,
    /// How many times as long as usual its engine's work takes.
    #[serde(rename = "t")]
    pub pace: f32,
    /// The highest fencing number that it knows.
    #[serde(rename = "f")]
    pub fence: u64,
    /// The plan that it has.
    #[serde(rename = "p")]
    pub plan: Option<Version>,
    /// The engine's experts by set, and the map that they are of.
    #[serde(rename = "x")]
    pub experts: Option<(Version, Vec<Vec<u16>>)>,
    /// How often its requests chose each expert, by set.
    #[serde(rename = "c")]
    pub counts: Option<Vec<Vec<u64>>>,
}

/// A map to be prepared.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Plan {
    /// The coordinator's fencing number.
    #[serde(rename = "f")]
    pub fence: u64,
    /// The formation that it is for.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Its number.
    #[serde(rename = "v")]
    pub version: Version,
    /// The experts of every rank.
    #[serde(rename = "x")]
    pub experts: Arc<Experts>,
}
