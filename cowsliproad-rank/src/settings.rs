//! The settings file of an agent.

use std::net::{IpAddr, SocketAddr};

use cowsliproad_kernel::{Name, log::Level, settings::Validate};
use serde::{Deserialize, Serialize};

/// The settings of an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the VM, for logs.
    pub vm: Name,
    /// The address of the VM.
    pub address: IpAddr,
    /// The address of the engine on this VM.
    pub engine: SocketAddr,
    /// The port for datagrams between entry processes and agents.
    pub peer_port: u16,
    /// The port for datagrams between agents.
    pub agent_port: u16,
    /// The address of the platform's log.
    pub log: SocketAddr,
    /// The cost of moving an expert to a rank: the share of a rank's mean load
    /// that a better map has to save for each move.
    pub move_price: f64,
    /// The level from which messages are logged.
    #[serde(default)]
    pub log_level: Level,
}

impl Settings {
    /// Returns example settings.
    pub fn example() -> Settings {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Settings {
            vm: "agent-1".into(),
            address: local(0).ip(),
            engine: local(8228),
            peer_port: 7340,
            agent_port: 7341,
            log: local(8223),
            move_price: 0.03,
            log_level: Level::Info,
        }
    }
}

impl Validate for Settings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        if self.vm.is_empty() {
            return Err(("vm", "a name is needed".into()));
        }
        if self.peer_port == self.agent_port {
            let reason = "a port other than peer_port is needed";
            return Err(("agent_port", reason.into()));
        }
        if !(0.0..=1.0).contains(&self.move_price) {
            return Err(("move_price", "0 to 1 is needed".into()));
        }
        Ok(())
    }
}
