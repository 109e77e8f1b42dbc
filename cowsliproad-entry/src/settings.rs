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
    pub http: SocketAddr,
    /// The address at which operators connect.
    pub admin: SocketAddr,
    /// The address at which other entry processes connect.
    pub link: SocketAddr,
    /// The link addresses of the other entry processes.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Link addresses of agents in the same availability zone that were known
    /// when the VM was created. While the entry process has no configuration
    /// it asks these agents for it, so that an availability zone that is cut
    /// off recovers by itself.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The local address for outgoing connections, on a VM with several
    /// addresses.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// The address of the platform's log.
    pub log_service: SocketAddr,
    /// The address of the platform's VM list.
    pub vm_list: SocketAddr,
    /// The key shared by entry processes and agents.
    pub key: Secret,
    /// The maximum number of requests in flight through the entry process.
    #[serde(default = "Settings::max_in_flight")]
    pub max_in_flight: u32,
    /// How long a caller may take to send a request body.
    #[serde(default = "Settings::body_ms")]
    pub body_ms: Millis,
    /// How long a stopping entry process goes on accepting requests, while the
    /// load balancer in front of it notices.
    #[serde(default = "Settings::grace_ms")]
    pub grace_ms: Millis,
    /// How long a stopping entry process waits for its requests in flight
    /// after the grace time.
    #[serde(default = "Settings::stop_ms")]
    pub stop_ms: Millis,
    /// How long a request waits for a broken link to come up again before it
    /// is retried elsewhere or answered without the link.
    #[serde(default = "Settings::resume_ms")]
    pub resume_ms: Millis,
    /// The maximum time between two snapshots in the log, well within the
    /// retention time of the log.
    #[serde(default = "Settings::snapshot_ms")]
    pub snapshot_ms: Millis,
    /// The round-trip time to another availability zone, in microseconds.
    #[serde(default = "Settings::zone_us")]
    pub zone_us: u32,
    /// The number of threads that serve requests.
    #[serde(default = "Settings::threads")]
    pub threads: usize,
    /// The level from which messages are logged.
    #[serde(default)]
    pub log: Level,
}

impl Settings {
    /// Creates settings with the default limits.
    pub fn new(
        name: &str,
        zone: &str,
        log_service: SocketAddr,
        vm_list: SocketAddr,
        key: Secret,
    ) -> Settings {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Settings {
            name: name.into(),
            zone: zone.into(),
            http: any,
            admin: any,
            link: any,
            peers: Vec::new(),
            seeds: Vec::new(),
            source: None,
            log_service,
            vm_list,
            key,
            max_in_flight: Settings::max_in_flight(),
            body_ms: Settings::body_ms(),
            grace_ms: Settings::grace_ms(),
            stop_ms: Settings::stop_ms(),
            resume_ms: Settings::resume_ms(),
            snapshot_ms: Settings::snapshot_ms(),
            zone_us: Settings::zone_us(),
            threads: Settings::threads(),
            log: Level::Info,
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
        settings.http = local(8080);
        settings.admin = local(8081);
        settings.link = local(8082);
        settings
    }

    fn max_in_flight() -> u32 {
        20_000
    }

    fn body_ms() -> Millis {
        Millis(10_000)
    }

    fn grace_ms() -> Millis {
        Millis(1_000)
    }

    fn stop_ms() -> Millis {
        Millis(120_000)
    }

    fn resume_ms() -> Millis {
        Millis(1_000)
    }

    fn snapshot_ms() -> Millis {
        Millis(6 * 60 * 60 * 1000)
    }

    fn zone_us() -> u32 {
        3_000
    }

    fn threads() -> usize {
        4
    }
}

impl Validate for Settings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        if self.name.is_empty() {
            return Err(("name", "the name of the VM".into()));
        }
        if self.max_in_flight == 0 {
            return Err(("max_in_flight", "at least 1".into()));
        }
        if self.snapshot_ms < Millis(2) {
            return Err(("snapshot_ms", "at least 2".into()));
        }
        if self.peers.contains(&self.link) {
            return Err(("peers", "the other entries, not this one".into()));
        }
        Ok(())
    }
}
