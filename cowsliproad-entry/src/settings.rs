//! The settings of an entry process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use cowsliproad_kernel::{
    Name,
    clock::Millis,
    log::Level,
    secret::{KEY_BYTES, Secret},
    settings::Validate,
};
use serde::{Deserialize, Serialize};

/// The settings file of an entry process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the VM on which the entry process runs.
    pub name: Name,
    /// The availability zone of the entry process.
    pub zone: Name,
    /// The address at which callers connect.
    #[serde(rename = "http")]
    pub caller_address: SocketAddr,
    /// The address at which operators connect.
    #[serde(rename = "admin")]
    pub admin_address: SocketAddr,
    /// The address at which other entry processes connect.
    #[serde(rename = "link")]
    pub link_address: SocketAddr,
    /// The link addresses of the other entry processes.
    #[serde(rename = "peers", default)]
    pub peer_link_addresses: Vec<SocketAddr>,
    /// Link addresses of agents in the same availability zone that were known
    /// when the VM was created. While the entry process has no configuration
    /// it asks these agents for it, so that an availability zone that is cut
    /// off recovers by itself.
    #[serde(rename = "seeds", default)]
    pub seed_agent_addresses: Vec<SocketAddr>,
    /// The local address for outgoing connections, on a VM with several
    /// addresses.
    #[serde(rename = "source", default)]
    pub source_address: Option<IpAddr>,
    /// The address of the platform's log.
    #[serde(rename = "log_service")]
    pub log_service_address: SocketAddr,
    /// The address of the platform's VM list.
    #[serde(rename = "vm_list")]
    pub vm_list_address: SocketAddr,
    /// The key shared by entry processes and agents.
    #[serde(rename = "key")]
    pub shared_key: Secret,
    /// The maximum number of requests in flight through the entry process.
    #[serde(
        rename = "max_in_flight",
        default = "Settings::default_max_in_flight_requests"
    )]
    pub max_in_flight_requests: u32,
    /// The memory that the process may use, in MiB. A quarter of it is for
    /// bodies and answers that callers make the process hold.
    #[serde(default = "Settings::default_memory_mb")]
    pub memory_mb: u64,
    /// How long a caller may take to send a request body.
    #[serde(rename = "body_ms", default = "Settings::default_body_timeout")]
    pub body_timeout: Millis,
    /// How long a stopping entry process goes on accepting requests, while the
    /// load balancer in front of it notices.
    #[serde(
        rename = "grace_ms",
        default = "Settings::default_stop_grace_time"
    )]
    pub stop_grace_time: Millis,
    /// How long a stopping entry process waits for its requests in flight
    /// after the grace time.
    #[serde(rename = "stop_ms", default = "Settings::default_stop_timeout")]
    pub stop_timeout: Millis,
    /// How long a request waits for a broken link to come up again before it
    /// is retried elsewhere or answered without the link.
    #[serde(
        rename = "resume_ms",
        default = "Settings::default_link_resume_timeout"
    )]
    pub link_resume_timeout: Millis,
    /// The maximum time between two snapshots in the log, well within the
    /// retention time of the log.
    #[serde(
        rename = "snapshot_ms",
        default = "Settings::default_max_snapshot_interval"
    )]
    pub max_snapshot_interval: Millis,
    /// The round-trip time to another availability zone, in microseconds.
    #[serde(rename = "zone_us", default = "Settings::default_zone_rtt_us")]
    pub zone_rtt_us: u32,
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
    /// Creates settings with the default limits.
    pub fn new(
        name: &str,
        zone: &str,
        log_service_address: SocketAddr,
        vm_list_address: SocketAddr,
        shared_key: Secret,
    ) -> Settings {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Settings {
            name: name.into(),
            zone: zone.into(),
            caller_address: any,
            admin_address: any,
            link_address: any,
            peer_link_addresses: Vec::new(),
            seed_agent_addresses: Vec::new(),
            source_address: None,
            log_service_address,
            vm_list_address,
            shared_key,
            max_in_flight_requests: Settings::default_max_in_flight_requests(),
            memory_mb: Settings::default_memory_mb(),
            body_timeout: Settings::default_body_timeout(),
            stop_grace_time: Settings::default_stop_grace_time(),
            stop_timeout: Settings::default_stop_timeout(),
            link_resume_timeout: Settings::default_link_resume_timeout(),
            max_snapshot_interval: Settings::default_max_snapshot_interval(),
            zone_rtt_us: Settings::default_zone_rtt_us(),
            traffic_threads: Settings::default_traffic_threads(),
            log_level: Level::Info,
        }
    }

    /// The settings that `--print-default` prints.
    pub fn example() -> Settings {
        let local =
            |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let mut settings = Settings::new(
            "entry-1",
            "zone-1",
            local(9000),
            local(9001),
            Secret([0; KEY_BYTES]),
        );
        settings.caller_address = local(8080);
        settings.admin_address = local(8081);
        settings.link_address = local(8082);
        settings
    }

    fn default_max_in_flight_requests() -> u32 {
        20_000
    }

    fn default_memory_mb() -> u64 {
        1_024
    }

    fn default_body_timeout() -> Millis {
        Millis(10_000)
    }

    fn default_stop_grace_time() -> Millis {
        Millis(1_000)
    }

    fn default_stop_timeout() -> Millis {
        Millis(120_000)
    }

    fn default_link_resume_timeout() -> Millis {
        Millis(1_000)
    }

    fn default_max_snapshot_interval() -> Millis {
        Millis(6 * 60 * 60 * 1000)
    }

    fn default_zone_rtt_us() -> u32 {
        3_000
    }

    fn default_traffic_threads() -> usize {
        4
    }
}

/// The least `memory_mb`: an idle entry process takes up to a third of it.
const MIN_MEMORY_MB: u64 = 128;

impl Validate for Settings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        if self.name.is_empty() {
            return Err(("name", "the name of the VM".into()));
        }
        if self.max_in_flight_requests == 0 {
            return Err(("max_in_flight", "at least 1".into()));
        }
        if self.memory_mb < MIN_MEMORY_MB {
            return Err(("memory_mb", format!("at least {MIN_MEMORY_MB}")));
        }
        if self.max_snapshot_interval < Millis(2) {
            return Err(("snapshot_ms", "at least 2".into()));
        }
        if self.peer_link_addresses.contains(&self.link_address) {
            return Err(("peers", "the other entries, not this one".into()));
        }
        Ok(())
    }
}
