//! The entry's settings file.

use std::net::SocketAddr;

use cowsliproad_kernel::{
    Name, clock::Millis, log::Level, settings::Validate,
};
use serde::{Deserialize, Serialize};

/// All that an entry is told before it starts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, for logs and other entries.
    pub vm: Name,
    /// The availability zone.
    pub zone: Name,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness and metrics are asked for.
    pub readiness: SocketAddr,
    /// Entries to ask first. Some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The port on which entries and agents reach one another.
    pub peer_port: u16,
    /// The platform's log.
    pub log: SocketAddr,
    /// How often a target renews its entry in the log.
    pub heartbeat_ms: Millis,
    /// How soon after a target's leaving nothing new may reach it.
    pub drain_ms: Millis,
    /// The time from SIGTERM to the process's end by force.
    pub grace_ms: Millis,
    /// How long a request waits for a target to be usable, where its route
    /// doesn't say how long callers stay without an event.
    pub wait_ms: Millis,
    /// What all entries together may send again.
    pub retries: Retries,
    /// How much is logged.
    #[serde(default)]
    pub log_level: Level,
}

/// The retry budget of a service over all entries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that.
    pub slack: f64,
    /// The span over which both are counted.
    pub span_ms: Millis,
}

impl Settings {
    /// Settings to start from.
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

    /// Whether all that can't change without a restart is alike.
    pub fn same_addresses(&self, other: &Settings) -> bool {
        self.vm == other.vm
            && self.zone == other.zone
            && self.callers == other.callers
            && self.readiness == other.readiness
            && self.peer_port == other.peer_port
    }

    /// Where this entry takes datagrams and calls of other entries.
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

/// Targets are read twice in this time, and a reading may be lost.
const MIN_DRAIN: Millis = Millis(200);

/// The balancer needs up to three seconds to notice that we aren't ready.
const MIN_GRACE: Millis = Millis(4_000);

/// Two steps in which the budget's span slides.
const MIN_SPAN: Millis = Millis(1_000);
