//! The settings file of the entry process.

use std::net::SocketAddr;

use cowsliproad_kernel::{
    Name, clock::Millis, log::Level, settings::Validate,
};
use serde::{Deserialize, Serialize};

/// Settings of an entry process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, used in logs and sent to other entry processes.
    pub vm: Name,
    /// The availability zone of this entry process's VM.
    pub zone: Name,
    /// The address where callers connect.
    #[serde(rename = "callers")]
    pub caller_listen_address: SocketAddr,
    /// The address that serves readiness and metrics.
    #[serde(rename = "readiness")]
    pub readiness_address: SocketAddr,
    /// Addresses of other entry processes to contact at startup. Some may be
    /// gone.
    #[serde(rename = "seeds")]
    pub seed_addresses: Vec<SocketAddr>,
    /// The port for messages between entry processes and agents, the same on
    /// all VMs.
    pub peer_port: u16,
    /// The address of the platform's log.
    #[serde(rename = "log")]
    pub log_address: SocketAddr,
    /// How often a target renews its record in the log.
    pub heartbeat_ms: Millis,
    /// How long new requests may still reach a target after it has announced
    /// its departure.
    pub drain_ms: Millis,
    /// How soon a new configuration must be in force.
    pub config_apply_ms: Millis,
    /// The time from SIGTERM until the process is killed.
    #[serde(rename = "grace_ms")]
    pub shutdown_grace_ms: Millis,
    /// How long a request waits for a usable target, unless its route sets
    /// `caller_idle_timeout`: a caller of such a route leaves after that time
    /// without an event of the response stream, so a request waits for a
    /// target slightly less long than that.
    #[serde(rename = "wait_ms")]
    pub target_wait_ms: Millis,
    /// Whether the whole system starts for the first time, so that no earlier
    /// process can have spent retries.
    #[serde(default)]
    pub first_start: bool,
    /// The retry budget that all entry processes share.
    pub retries: RetryBudgetSettings,
    /// The files that the process may have open, if that is less than the
    /// operating system's limit. Callers' connections take half of them at
    /// most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_open_files: Option<u64>,
    /// The memory that the process may use. A quarter of it is for bodies and
    /// answers that callers make the process hold, and half for connections.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// The minimum level of log messages.
    #[serde(default)]
    pub log_level: Level,
}

/// The retry budget of a service, shared by all entry processes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Retries allowed per request.
    #[serde(rename = "ratio")]
    pub retries_per_request: f64,
    /// Retries allowed per window in addition to the retries per request,
    /// independent of the number of requests.
    #[serde(rename = "slack")]
    pub extra_retries: f64,
    /// The sliding window over which requests and retries are counted.
    #[serde(rename = "span_ms")]
    pub window_ms: Millis,
}

impl Settings {
    /// Example settings for the help text.
    pub fn example() -> Settings {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Settings {
            vm: "entry-1".into(),
            zone: "a".into(),
            caller_listen_address: local(8080),
            readiness_address: local(8081),
            seed_addresses: vec![local(8082)],
            peer_port: 7340,
            log_address: local(8223),
            heartbeat_ms: Millis(1_200),
            drain_ms: Millis(2_000),
            config_apply_ms: Millis(2_000),
            shutdown_grace_ms: Millis(8_000),
            target_wait_ms: Millis(1_500),
            first_start: true,
            retries: RetryBudgetSettings {
                retries_per_request: 0.2,
                extra_retries: 90.0,
                window_ms: Millis(10_000),
            },
            max_open_files: Some(4_096),
            memory_mb: default_memory_mb(),
            log_level: Level::Info,
        }
    }

    /// Whether two settings agree in everything that needs a restart to
    /// change.
    pub fn has_same_settings_requiring_restart(
        &self,
        other: &Settings,
    ) -> bool {
        self.vm == other.vm
            && self.zone == other.zone
            && self.caller_listen_address == other.caller_listen_address
            && self.readiness_address == other.readiness_address
            && self.peer_port == other.peer_port
    }

    /// The address where this entry process receives datagrams and calls of
    /// other entry processes.
    pub fn own_peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.caller_listen_address.ip(), self.peer_port)
    }
}

impl Validate for Settings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        if self.vm.is_empty() {
            return Err(("vm", "a name is needed".into()));
        }
        if self.heartbeat_ms.0 == 0 {
            return Err(("heartbeat_ms", "at least 1 is needed".into()));
        }
        if self.drain_ms.0 < MIN_DRAIN.0 {
            let least = format!("at least {MIN_DRAIN} is needed");
            return Err(("drain_ms", least));
        }
        if self.config_apply_ms.0 < MIN_CONFIG_APPLY.0 {
            let least = format!("at least {MIN_CONFIG_APPLY} is needed");
            return Err(("config_apply_ms", least));
        }
        if self.shutdown_grace_ms.0 < MIN_GRACE.0 {
            let least = format!("at least {MIN_GRACE} is needed");
            return Err(("grace_ms", least));
        }
        if self.max_open_files.is_some_and(|it| it < MIN_OPEN_FILES) {
            let least = format!("at least {MIN_OPEN_FILES} is needed");
            return Err(("max_open_files", least));
        }
        if self.memory_mb < MIN_MEMORY_MB {
            let least = format!("at least {MIN_MEMORY_MB} is needed");
            return Err(("memory_mb", least));
        }
        let share = 0.0..=1.0;
        if !share.contains(&self.retries.retries_per_request) {
            return Err(("retries.ratio", "0 to 1 is needed".into()));
        }
        if self.retries.extra_retries.is_nan()
            || self.retries.extra_retries < 0.0
        {
            return Err(("retries.slack", "0 or more is needed".into()));
        }
        if self.retries.window_ms.0 < MIN_SPAN.0 {
            let least = format!("at least {MIN_SPAN} is needed");
            return Err(("retries.span_ms", least));
        }
        Ok(())
    }
}

/// The least `drain_ms`: within this time the targets topic is read twice, and
/// one read may be lost.
const MIN_DRAIN: Millis = Millis(200);

/// The least `config_apply_ms`: within this time the log is asked for a newer
/// configuration twice, and one call may be lost.
const MIN_CONFIG_APPLY: Millis = Millis(1_000);

/// The least `grace_ms`: the load balancer needs up to three seconds to notice
/// that this entry process isn't ready.
const MIN_GRACE: Millis = Millis(4_000);

/// The least `max_open_files`: for a few requests, the log and other entry
/// processes.
const MIN_OPEN_FILES: u64 = 64;

/// The least `memory_mb`: a quarter of it has room for one request with a body
/// and an answer of the largest sizes.
const MIN_MEMORY_MB: u64 = 64;

/// The memory of a process whose settings state none.
fn default_memory_mb() -> u64 {
    256
}

/// The least span of the retry budget's sliding window: two steps of that
/// window.
const MIN_SPAN: Millis = Millis(1_000);
