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
    /// The VM's name, used in logs and sent to other entries.
    pub vm: Name,
    /// The availability zone of this entry's VM.
    pub zone: Name,
    /// The address where callers connect.
    pub callers: SocketAddr,
    /// The address that serves readiness and metrics.
    pub readiness: SocketAddr,
    /// Addresses of other entries to contact at startup. Some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The port for messages between entries and agents, the same on all VMs.
    pub peer_port: u16,
    /// The address of the platform's log.
    pub log: SocketAddr,
    /// How often a target renews its record in the log.
    pub heartbeat_ms: Millis,
    /// The time after a target leaves by which new requests must have ceased
    /// to reach it.
    pub drain_ms: Millis,
    /// The time from SIGTERM until the process is killed.
    pub grace_ms: Millis,
    /// How long a request waits for a usable target, where the route doesn't
    /// set how long callers wait without an event.
    pub wait_ms: Millis,
    /// The retry budget that all entries share.
    pub retries: Retries,
    /// The minimum level of log messages.
    #[serde(default)]
    pub log_level: Level,
}

/// The retry budget of a service, shared by all entries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, independent of the number of requests.
    pub slack: f64,
    /// The sliding window over which requests and retries are counted.
    pub span_ms: Millis,
}

impl Settings {
    /// Example settings for the help text.
    pub fn example() -> Settings {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Settings {
            vm: "entry-1".into(),
            zone: "a".into(),
            callers: local(8080),
            readiness: local(8081),
            seeds: vec![local(8082)],
            peer_port: 7340,
            log: local(8223),
            heartbeat_ms: Millis(1_200),
            drain_ms: Millis(2_000),
            grace_ms: Millis(8_000),
            wait_ms: Millis(1_500),
            retries: Retries {
                ratio: 0.2,
                slack: 90.0,
                span_ms: Millis(10_000),
            },
            log_level: Level::Info,
        }
    }

    /// Whether two settings agree in everything that needs a restart to
    /// change.
    pub fn same_addresses(&self, other: &Settings) -> bool {
        self.vm == other.vm
            && self.zone == other.zone
            && self.callers == other.callers
            && self.readiness == other.readiness
            && self.peer_port == other.peer_port
    }

    /// The address where this entry receives datagrams and calls of other
    /// entries.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.callers.ip(), self.peer_port)
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
        if self.grace_ms.0 < MIN_GRACE.0 {
            let least = format!("at least {MIN_GRACE} is needed");
            return Err(("grace_ms", least));
        }
        let share = 0.0..=1.0;
        if !share.contains(&self.retries.ratio) {
            return Err(("retries.ratio", "0 to 1 is needed".into()));
        }
        if self.retries.slack.is_nan() || self.retries.slack < 0.0 {
            return Err(("retries.slack", "0 or more is needed".into()));
        }
        if self.retries.span_ms.0 < MIN_SPAN.0 {
            let least = format!("at least {MIN_SPAN} is needed");
            return Err(("retries.span_ms", least));
        }
        Ok(())
    }
}

/// Within this time the targets are read twice, and one read may be lost.
const MIN_DRAIN: Millis = Millis(200);

/// The load balancer needs up to three seconds to notice that this entry isn't
/// ready.
const MIN_GRACE: Millis = Millis(4_000);

/// Two steps of the retry budget's sliding window.
const MIN_SPAN: Millis = Millis(1_000);
