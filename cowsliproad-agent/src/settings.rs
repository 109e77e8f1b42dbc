//! An agent's settings.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use cowsliproad_kernel::{
    Name,
    clock::Millis,
    log::Level,
    plugin,
    secret::{KEY_BYTES, Secret},
    settings::Validate,
};
use serde::{Deserialize, Serialize};

use crate::adapter::Plugin;

/// An agent's settings file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The target's name in the configuration.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where entries dial.
    pub listen: SocketAddr,
    /// Where `/livez`, `/readyz` and `/metrics` are served.
    pub http: SocketAddr,
    /// Where the target listens.
    pub target: SocketAddr,
    /// The plug-in that speaks to the target: `engine` or `plain`.
    pub adapter: String,
    /// The key shared by entries and agents.
    pub key: Secret,
    /// Requests at the target at once.
    #[serde(default = "Settings::slots")]
    pub slots: u32,
    /// Requests that may wait.
    #[serde(default = "Settings::queue")]
    pub queue: u32,
    /// Ticket records that are kept.
    #[serde(default = "Settings::tickets")]
    pub tickets: u32,
    /// Bytes of finished answers that are kept.
    #[serde(default = "Settings::kept_bytes")]
    pub kept_bytes: u64,
    /// How long a finished answer is kept.
    #[serde(default = "Settings::kept_ms")]
    pub kept_ms: Millis,
    /// The longest time without a byte from a target that works.
    #[serde(default = "Settings::silence_ms")]
    pub silence_ms: Millis,
    /// The longest time a graceful stop may take.
    #[serde(default = "Settings::stop_ms")]
    pub stop_ms: Millis,
    /// Traffic threads.
    #[serde(default = "Settings::threads")]
    pub threads: usize,
    /// How much is logged.
    #[serde(default)]
    pub log: Level,
}

impl Settings {
    /// Settings for a target, with the usual limits.
    pub fn new(
        name: &str,
        zone: &str,
        target: SocketAddr,
        adapter: &str,
        key: Secret,
    ) -> Settings {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Settings {
            name: name.into(),
            zone: zone.into(),
            listen: any,
            http: any,
            target,
            adapter: adapter.into(),
            key,
            slots: Settings::slots(),
            queue: Settings::queue(),
            tickets: Settings::tickets(),
            kept_bytes: Settings::kept_bytes(),
            kept_ms: Settings::kept_ms(),
            silence_ms: Settings::silence_ms(),
            stop_ms: Settings::stop_ms(),
            threads: Settings::threads(),
            log: Level::Info,
        }
    }

    /// What `--print-default` shows.
    pub fn example() -> Settings {
        let target = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8000);
        let key = Secret([0; KEY_BYTES]);
        let mut settings =
            Settings::new("target-1", "zone-1", target, "engine", key);
        settings.listen.set_port(7100);
        settings.http.set_port(7101);
        settings
    }

    fn slots() -> u32 {
        16
    }

    fn queue() -> u32 {
        4096
    }

    fn tickets() -> u32 {
        200_000
    }

    fn kept_bytes() -> u64 {
        64 << 20
    }

    fn kept_ms() -> Millis {
        Millis(10 * 60 * 1000)
    }

    fn silence_ms() -> Millis {
        Millis(5_000)
    }

    fn stop_ms() -> Millis {
        Millis(120_000)
    }

    fn threads() -> usize {
        2
    }
}

impl Validate for Settings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        if self.name.is_empty() {
            return Err(("name", "the target's name".into()));
        }
        if plugin::find_plugin::<Plugin>(&self.adapter).is_none() {
            let known = plugin::all_plugins::<Plugin>();
            let known: Vec<_> = known.iter().map(|it| it.name).collect();
            return Err(("adapter", format!("one of {}", known.join(", "))));
        }
        if self.slots == 0 {
            return Err(("slots", "at least 1".into()));
        }
        if self.queue == 0 {
            return Err(("queue", "at least 1".into()));
        }
        if self.silence_ms == Millis(0) {
            return Err(("silence_ms", "at least 1".into()));
        }
        Ok(())
    }
}
