//! An agent's settings and their defaults.

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

use crate::adapter::AdapterPlugin;

/// The settings file of an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The target's name in the configuration.
    #[serde(rename = "name")]
    pub target_name: Name,
    /// The availability zone of the target.
    pub zone: Name,
    /// The address on which the agent accepts links from entry processes and
    /// peer agents.
    #[serde(rename = "listen")]
    pub link_listen_address: SocketAddr,
    /// The address on which `/livez`, `/readyz` and `/metrics` are served.
    #[serde(rename = "http")]
    pub http_listen_address: SocketAddr,
    /// The address on which the target listens.
    #[serde(rename = "target")]
    pub target_address: SocketAddr,
    /// The name of the adapter that calls the target: `engine` or `plain`.
    #[serde(rename = "adapter")]
    pub adapter_name: String,
    /// The key shared by entry processes and agents.
    #[serde(rename = "key")]
    pub shared_key: Secret,
    /// The maximum number of requests running at the target at once.
    #[serde(rename = "slots", default = "Settings::default_target_slots")]
    pub target_slots: u32,
    /// The maximum number of requests that wait for a slot.
    #[serde(
        rename = "queue",
        default = "Settings::default_max_queued_requests"
    )]
    pub max_queued_requests: u32,
    /// The maximum total size, in bytes, of the bodies of requests that wait
    /// for a slot.
    #[serde(
        rename = "queue_bytes",
        default = "Settings::default_max_queued_bytes"
    )]
    pub max_queued_bytes: usize,
    /// The maximum number of ticket records kept. A ticket record
    /// holds whether one submitted ticket was accepted or refused.
    #[serde(
        rename = "tickets",
        default = "Settings::default_max_ticket_records"
    )]
    pub max_ticket_records: u32,
    /// The maximum total size, in bytes, of the finished answers kept.
    #[serde(
        rename = "kept_bytes",
        default = "Settings::default_max_kept_answer_bytes"
    )]
    pub max_kept_answer_bytes: u64,
    /// How long a finished answer is kept.
    #[serde(
        rename = "kept_ms",
        default = "Settings::default_answer_retention_time"
    )]
    pub answer_retention_time: Millis,
    /// The longest time without a byte from a target that is working on a
    /// request.
    #[serde(
        rename = "silence_ms",
        default = "Settings::default_target_silence_timeout"
    )]
    pub target_silence_timeout: Millis,
    /// How long a graceful stop waits for accepted requests to finish.
    #[serde(rename = "stop_ms", default = "Settings::default_drain_timeout")]
    pub drain_timeout: Millis,
    /// The number of threads that serve requests.
    #[serde(
        rename = "threads",
        default = "Settings::default_traffic_threads"
    )]
    pub traffic_threads: usize,
    /// The level from which messages are logged.
    #[serde(rename = "log", default)]
    pub log_level: Level,
}

impl Settings {
    /// Creates the settings of a target's agent, with the default limits.
    pub fn new(
        target_name: &str,
        zone: &str,
        target_address: SocketAddr,
        adapter_name: &str,
        shared_key: Secret,
    ) -> Settings {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Settings {
            target_name: target_name.into(),
            zone: zone.into(),
            link_listen_address: any,
            http_listen_address: any,
            target_address,
            adapter_name: adapter_name.into(),
            shared_key,
            target_slots: Settings::default_target_slots(),
            max_queued_requests: Settings::default_max_queued_requests(),
            max_queued_bytes: Settings::default_max_queued_bytes(),
            max_ticket_records: Settings::default_max_ticket_records(),
            max_kept_answer_bytes: Settings::default_max_kept_answer_bytes(),
            answer_retention_time: Settings::default_answer_retention_time(),
            target_silence_timeout: Settings::default_target_silence_timeout(),
            drain_timeout: Settings::default_drain_timeout(),
            traffic_threads: Settings::default_traffic_threads(),
            log_level: Level::Info,
        }
    }

    /// The settings that `--print-default` prints.
    pub fn example() -> Settings {
        let target = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8000);
        let key = Secret([0; KEY_BYTES]);
        let mut settings =
            Settings::new("target-1", "zone-1", target, "engine", key);
        settings.link_listen_address.set_port(7100);
        settings.http_listen_address.set_port(7101);
        settings
    }

    fn default_target_slots() -> u32 {
        16
    }

    fn default_max_queued_requests() -> u32 {
        4096
    }

    fn default_max_queued_bytes() -> usize {
        64 << 20
    }

    fn default_max_ticket_records() -> u32 {
        200_000
    }

    fn default_max_kept_answer_bytes() -> u64 {
        64 << 20
    }

    fn default_answer_retention_time() -> Millis {
        Millis(10 * 60 * 1000)
    }

    fn default_target_silence_timeout() -> Millis {
        Millis(5_000)
    }

    fn default_drain_timeout() -> Millis {
        Millis(120_000)
    }

    fn default_traffic_threads() -> usize {
        2
    }
}

impl Validate for Settings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        if self.target_name.is_empty() {
            return Err(("name", "the target's name".into()));
        }
        if plugin::find_plugin::<AdapterPlugin>(&self.adapter_name).is_none() {
            let known = plugin::all_plugins::<AdapterPlugin>();
            let known: Vec<_> =
                known.iter().map(|it| it.adapter_name).collect();
            return Err(("adapter", format!("one of {}", known.join(", "))));
        }
        if self.target_slots == 0 {
            return Err(("slots", "at least 1".into()));
        }
        if self.max_queued_requests == 0 {
            return Err(("queue", "at least 1".into()));
        }
        if self.target_silence_timeout == Millis(0) {
            return Err(("silence_ms", "at least 1".into()));
        }
        Ok(())
    }
}
