//! The agent's settings file.

use std::net::{IpAddr, SocketAddr};

use cowsliproad_kernel::{Name, log::Level, settings::Validate};
use serde::{Deserialize, Serialize};

/// All that an agent is told before it starts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, for logs.
    pub vm: Name,
    /// The VM's address.
    pub address: IpAddr,
    /// The engine on this VM.
    pub engine: SocketAddr,
    /// The port on which entries and agents reach one another.
    pub peer_port: u16,
    /// The port on which agents reach one another.
    pub agent_port: u16,
    /// The platform's log.
    pub log: SocketAddr,
    /// What moving an expert to a rank costs, as a share of the mean load of
    /// a rank that a better map must save for it.
    pub move_price: f64,
    /// How much is logged.
    #[serde(default)]
    pub log_level: Level,
}

impl Settings {
    /// Settings to start from.
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
