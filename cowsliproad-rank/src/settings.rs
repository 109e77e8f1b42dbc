//! The settings file of an agent.

use std::net::{IpAddr, SocketAddr};

use cowsliproad_kernel::{Name, log::Level, settings::Validate};
use serde::{Deserialize, Serialize};

/// The settings of an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the agent's VM, for logs.
    #[serde(rename = "vm")]
    pub vm_name: Name,
    /// The address of the agent's VM.
    #[serde(rename = "address")]
    pub vm_address: IpAddr,
    /// The address of the model engine on the agent's VM.
    #[serde(rename = "engine")]
    pub engine_address: SocketAddr,
    /// The port for datagrams between entry processes and agents.
    #[serde(rename = "peer_port")]
    pub entry_datagram_port: u16,
    /// The port for datagrams between agents.
    #[serde(rename = "agent_port")]
    pub agent_datagram_port: u16,
    /// The address of the platform's log.
    #[serde(rename = "log")]
    pub platform_log_address: SocketAddr,
    /// The cost of moving an expert to a rank: the share of a rank's mean load
    /// that a better map has to save for each move.
    #[serde(rename = "move_price")]
    pub expert_move_cost: f64,
    /// The level from which messages are logged.
    #[serde(default)]
    pub log_level: Level,
}

impl Settings {
    /// Returns example settings.
    pub fn example() -> Settings {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Settings {
            vm_name: "agent-1".into(),
            vm_address: local(0).ip(),
            engine_address: local(8228),
            entry_datagram_port: 7340,
            agent_datagram_port: 7341,
            platform_log_address: local(8223),
            expert_move_cost: 0.03,
            log_level: Level::Info,
        }
    }
}

impl Validate for Settings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        if self.vm_name.is_empty() {
            return Err(("vm", "a name is needed".into()));
        }
        if self.entry_datagram_port == self.agent_datagram_port {
            let reason = "a port other than peer_port is needed";
            return Err(("agent_port", reason.into()));
        }
        if !(0.0..=1.0).contains(&self.expert_move_cost) {
            return Err(("move_price", "0 to 1 is needed".into()));
        }
        Ok(())
    }
}
