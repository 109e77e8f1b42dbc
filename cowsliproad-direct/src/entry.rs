//! State of the entry process, shared by all its tasks.
//!
//! The state holds the configuration in force, the known targets with their
//! health, load and connections, and the other entry processes. Tasks borrow
//! the state briefly and never across an await.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use cowsliproad_admission::{
    limit::{CurrentLimit, Permit, RequestRate},
    memory::Account,
    shared_budget::SharedBudget,
};
use cowsliproad_kernel::{
    Name, clock::Millis, position::LogPosition, settings,
};
use cowsliproad_routing::{
    catalog::RoutingCatalog,
    confirmation::ConfigConfirmation,
    cooldown::Cooldowns,
    fleet::{Target, TargetChange, TargetFleet, TargetFleetConfig},
    formation::GroupFormation,
    listing::ListingSchedule,
    pick::TargetStats,
    readings::{LogReadContinuity, LogReadSchedule},
};
use rand::{SeedableRng, rngs::SmallRng};
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use crate::{
    callers::connections::{CallerConnections, LineLimit, MemoryBudget},
    ends::CrashSuspicion,
    limits::RateLimits,
    measure::EntryMetrics,
    peers::Peers,
    quarantine::RequestQuarantine,
    retries,
    rollback::LogRollbacks,
    settings::Settings,
    upstream::ConnectionPool,
};

pub mod choose;
mod groups;

/// Routes whose longest caller timeout is kept, some 60 bytes each. No
/// operator has had so many routes.
const MAX_REMEMBERED_ROUTES: usize = 10_000;

/// Availability zones that are tracked, twice those of the largest fleet to
/// come.
const MAX_TRACKED_ZONES: usize = 64;

/// Malformed records of the targets topic that are logged, each key once.
const MAX_INVALID_TARGET_KEYS: usize = 1_000;

/// How long before its end another entry process's read of the targets may have
/// begun.
const MAX_PEER_READ_TIME: Millis = Millis(1_500);

/// Where a state change came from, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StateChangeSource {
    /// The change was read from the platform's log.
    Log,
    /// The change came in a digest or state snapshot of another entry process.
    Peer,
    /// The change was observed on this entry process's own requests.
    Own,
}

/// Where news of a target came from, for logs.
#[derive(Clone, Debug)]
pub struct TargetNews {
    source: StateChangeSource,
    /// The entry process that sent the news.
    peer: Option<Name>,
}

impl TargetNews {
    /// News that this entry process read from the log or observed itself.
    pub fn new(source: StateChangeSource) -> TargetNews {
        TargetNews { source, peer: None }
    }

    /// News in a digest or state of the entry process with this name or
    /// address.
    pub fn from_peer(peer: Name) -> TargetNews {
        TargetNews { source: StateChangeSource::Peer, peer: Some(peer) }
    }
}

/// The phases of an entry process, from serving to the end of its shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessPhase {
    /// The process accepts connections and requests.
    Serving,
    /// The process got a stop signal and still accepts connections until the
    /// load balancer notices.
    Leaving,
    /// The process accepts no new connections and finishes the requests in
    /// flight.
    Closing,
}

/// Whether an entry process can serve.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// The process serves, and has a configuration and a usable target.
    Ready,
    /// The process got a stop signal.
    Stopping,
    /// The process has no configuration yet.
    NoConfiguration,
    /// The process knows no target.
    NoTarget,
}

impl Readiness {
    /// The name of the state in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Readiness::Ready => "ready",
            Readiness::Stopping => "stopping",
            Readiness::NoConfiguration => "no_configuration",
            Readiness::NoTarget => "no_target",
        }
    }
}

/// State that an entry process keeps for one target in addition to the
/// target's record in the log.
#[derive(Debug, Default)]
pub struct Endpoint {
    /// In-flight requests, reported load, latencies and failures of the
    /// target.
    pub request_stats: TargetStats,
    /// Idle connections to the target.
    pub connection_pool: ConnectionPool,
    /// Open connections to the target, including busy connections and those
    /// being established.
    pub open_connection_count: usize,
    /// Wakes requests that wait for a connection to the target.
    pub connection_freed: Rc<Notify>,
    /// State of the target's group from the latest report of the target's
    /// agent.
    pub group: Option<GroupReport>,
    /// When the target was last known to be alive: its agent read the engine's
    /// report, or the target answered a request.
    pub last_seen_alive: Option<Millis>,
    /// When the target's agent last reported that the engine process is gone.
    pub target_exit_reported_at: Option<Millis>,
    /// Requests during which the target may have crashed.
    pub crash_suspicions: Vec<CrashSuspicion>,
    /// The rate limit that the target states in its answers.
    pub rate_limit: CurrentLimit,
    /// Permits for the target that were granted after their requests stopped
    /// waiting.
    pub spare_permits: Vec<Permit>,
    /// The earliest time at which to request the next permit for the target.
    pub next_permit_request_at: Millis,
    /// The fraction of all entry processes that this one reached when a permit
    /// was last denied. Permits are denied for longer while there are few.
    pub permit_denied_at_fraction: f64,
    /// Whether a permit request for the target is in flight.
    pub permit_request_in_flight: bool,
    /// Whether the target's latest Retry-After header was unreadable; logged
    /// only once.
    pub last_retry_after_header_invalid: bool,
    /// Whether the target takes requests again after its latest cooldown.
    pub cooldown_recovery: CooldownRecovery,
}

/// State of a target after a cooldown that the target requested with
/// Retry-After. When the cooldown ends, one probe request shows whether the
/// target takes more.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CooldownRecovery {
    /// The target accepts requests as usual.
    #[default]
    Done,
    /// No request was sent to the target since the cooldown.
    Pending,
    /// The probe request was sent to the target at this time.
    Probed(Millis),
}

/// The group of engine ranks that a target belongs to, as last reported by the
/// target's agent.
#[derive(Clone, Debug)]
pub struct GroupReport {
    /// The group's name.
    pub group_name: Name,
    /// Epoch of the group's formation, raised each time that the group forms
    /// again.
    pub group_formation_epoch: u64,
    /// Whether the group accepts requests.
    pub accepts_requests: bool,
    /// The number of the last forward pass that the group began.
    pub last_forward_pass: u64,
    /// How long the target's work takes, in percent of the usual time.
    pub service_time_percent_of_normal: u32,
    /// When the agent's report on the group arrived.
    pub reported_at: Millis,
}

/// The shared state of an entry process.
#[derive(Debug)]
pub struct Entry {
    settings: RefCell<Rc<Settings>>,
    /// Logger of this entry process.
    pub log: Logger,
    /// Counters and histograms of this entry process.
    pub metrics: EntryMetrics,
    /// The configuration in force, decoded and as raw bytes.
    catalog: RefCell<Option<(Arc<RoutingCatalog>, Bytes)>>,
    /// The known targets.
    pub fleet: RefCell<TargetFleet>,
    /// The longest timeout that a caller's request has stated on each route.
    longest_caller_timeouts: RefCell<HashMap<Name, Millis>>,
    /// Keys of malformed records in the targets topic, so that each key is
    /// logged once.
    invalid_target_keys: RefCell<HashSet<String>>,
    /// Raw target announcements by target id, served to entry processes that
    /// start without the log.
    pub raw_announcements_by_target: RefCell<HashMap<Name, Bytes>>,
    endpoints: RefCell<HashMap<Name, Rc<RefCell<Endpoint>>>>,
    /// This process's part of the retry budgets of all services.
    pub retry_budget: RefCell<SharedBudget>,
    /// The newest known formation of each group, reported by any of its ranks.
    formations: RefCell<HashMap<Name, GroupFormation>>,
    /// Quarantine of crash-inducing requests.
    pub request_quarantine: RefCell<RequestQuarantine>,
    /// The account of the bytes that callers make the process hold.
    pub caller_memory: Account,
    /// Bounds the log lines of bodies that are not kept.
    pub refused_body_line: LineLimit,
    /// The open connections of callers.
    pub caller_connections: RefCell<CallerConnections>,
    /// Bounds the log lines of connections that are closed for others.
    pub closed_connections_line: LineLimit,
    /// Bounds the log lines of connections that are turned away.
    pub turned_away_line: LineLimit,
    /// When this process tries a refused prompt part, from 0 to 1 of the time
    /// over which all entry processes spread their trials.
    pub trial_rank: f64,
    /// When a VM of each availability zone last sent a message.
    zone_last_seen: RefCell<HashMap<Name, Millis>>,
    /// Rate limiters of targets that state a limit, and open permit requests.
    pub limits: RefCell<RateLimits>,
    /// Cooldowns that targets requested with Retry-After. They are kept apart
    /// from the endpoints, which are removed when a target is no longer listed
    /// in the log.
    pub cooldowns: RefCell<Cooldowns>,
    /// The other entry processes.
    pub peers: RefCell<Peers>,
    /// Wakes requests that wait for a change of targets or groups.
    pub targets_changed: Notify,
    /// Wakes requests that wait for a connection to any target.
    pub connection_freed: Rc<Notify>,
    /// Counts the changes of targets and groups, so that a request that wasn't
    /// waiting detects those that it missed.
    pub target_change_count: Cell<u64>,
    /// Wakes idle caller connections that have to be closed at shutdown.
    pub idle_close_requested: Notify,
    /// Wakes the task that broadcasts digests to other entry processes.
    pub digest_wakeup: Notify,
    /// The id of the target list that each engine's agent has, by the engine's
    /// address.
    pub agent_target_list_ids: RefCell<HashMap<SocketAddr, u64>>,
    /// When the targets topic was last read, by this entry process or by
    /// another, and up to which position.
    pub log_read_schedule: RefCell<LogReadSchedule>,
    /// When this entry process reads all targets that the log lists.
    pub target_listing: RefCell<ListingSchedule>,
    /// Wakes the task that reads the targets topic.
    pub targets_read_wakeup: Notify,
    /// When the platform's log last answered each kind of call, by topic and
    /// purpose of the call.
    pub log_answer_times:
        RefCell<HashMap<(&'static str, &'static str), Millis>>,
    /// The latest read of the log that found no newer configuration, by this
    /// entry process or another one.
    pub config_confirmation: RefCell<ConfigConfirmation>,
    /// Wakes the task that checks the long poll for the configuration.
    pub config_check_wakeup: Notify,
    /// Rollbacks of the platform's log to an older copy.
    pub rollbacks: LogRollbacks,
    /// Wakes the task that waits at startup for digests of other entry
    /// processes.
    pub digest_received: Notify,
    /// Counts targets that joined or restarted, so that agents are asked to
    /// report at once.
    pub joined_target_count: Cell<u64>,
    /// Accepted requests whose answers are not complete yet.
    pub unfinished_request_count: Cell<usize>,
    /// The current phase of this entry process, from serving to the end of its
    /// shutdown.
    pub process_phase: Cell<ProcessPhase>,
    rng: RefCell<SmallRng>,
}

/// A target that was chosen for a request.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    /// The chosen target.
    pub target: Target,
    /// The state that the entry process keeps for the chosen target.
    pub endpoint: Rc<RefCell<Endpoint>>,
    /// The target's cost when it was chosen, in milliseconds.
    pub cost_ms: f64,
    /// The largest number of connections that this entry process may have to
    /// the target.
    pub max_connections: usize,
    /// The rate limit that the target states.
    pub rate_limit: Option<RequestRate>,
    /// The permit that the request holds, granted by the target's rate
    /// limiter.
    pub permit: Option<Permit>,
}

impl Entry {
    /// Creates an entry process without configuration, targets or peers.
    pub fn new(settings: Settings, log: Logger) -> Entry {
        let peers = Peers::new(&settings);
        let mut retry_budget =
            retries::new_budget(&settings, peers.own_incarnation());
        retry_budget.set_min_entry_count(peers.seed_count() + 1);
        let log_read_schedule = LogReadSchedule::new(settings.heartbeat_ms);
        let budget = MemoryBudget::new(settings.memory_mb);
        let caller_connections = CallerConnections::new(
            settings.max_open_files,
            budget.max_connections,
        );
        Entry {
            settings: RefCell::new(Rc::new(settings)),
            log,
            metrics: EntryMetrics::new(),
            catalog: RefCell::new(None),
            fleet: RefCell::new(TargetFleet::new(TargetFleetConfig::new())),
            longest_caller_timeouts: RefCell::new(HashMap::new()),
            invalid_target_keys: RefCell::new(HashSet::new()),
            raw_announcements_by_target: RefCell::new(HashMap::new()),
            endpoints: RefCell::new(HashMap::new()),
            retry_budget: RefCell::new(retry_budget),
            formations: RefCell::new(HashMap::new()),
            request_quarantine: RefCell::new(RequestQuarantine::default()),
            caller_memory: Account::new(budget.caller_bytes),
            refused_body_line: LineLimit::default(),
            caller_connections: RefCell::new(caller_connections),
            closed_connections_line: LineLimit::default(),
            turned_away_line: LineLimit::default(),
            trial_rank: rand::random(),
            zone_last_seen: RefCell::new(HashMap::new()),
            limits: RefCell::new(RateLimits::default()),
            cooldowns: RefCell::new(Cooldowns::new()),
            peers: RefCell::new(peers),
            targets_changed: Notify::new(),
            connection_freed: Rc::default(),
            target_change_count: Cell::new(0),
            idle_close_requested: Notify::new(),
            digest_wakeup: Notify::new(),
            agent_target_list_ids: RefCell::new(HashMap::new()),
            log_read_schedule: RefCell::new(log_read_schedule),
            target_listing: RefCell::new(ListingSchedule::new()),
            targets_read_wakeup: Notify::new(),
            log_answer_times: RefCell::new(HashMap::new()),
            config_confirmation: RefCell::new(ConfigConfirmation::new()),
            config_check_wakeup: Notify::new(),
            rollbacks: LogRollbacks::new(),
            digest_received: Notify::new(),
            joined_target_count: Cell::new(0),
            unfinished_request_count: Cell::new(0),
            process_phase: Cell::new(ProcessPhase::Serving),
            rng: RefCell::new(SmallRng::from_os_rng()),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Puts reloaded settings in force and logs invalid ones. Names and
    /// addresses of this entry process keep their old values: connections and
    /// other entry processes depend on them.
    pub fn reload_settings(
        &self,
        read_result: Result<Settings, settings::Error>,
    ) {
        let new = match read_result {
            Ok(new) => new,
            Err(error) => {
                warn!(self.log, "settings_refused"; "error" => %error);
                return;
            }
        };
        let old = self.settings();
        info!(self.log, "settings_read";
            "changed" => new != *old,
            "needs_restart" => !new.has_same_settings_requiring_restart(&old));
        let kept = Settings {
            vm: old.vm.clone(),
            zone: old.zone.clone(),
            caller_listen_address: old.caller_listen_address,
            readiness_address: old.readiness_address,
            peer_port: old.peer_port,
            ..new
        };
        self.peers.borrow_mut().replace_seeds(&kept);
        let seeds = self.peers.borrow().seed_count();
        let mut retry_budget = self.retry_budget.borrow_mut();
        retry_budget.set_config(retries::window_config(&kept.retries));
        retry_budget.set_min_entry_count(seeds + 1);
        *self.settings.borrow_mut() = Rc::new(kept);
    }

    /// The configuration in force, if there is one.
    pub fn catalog(&self) -> Option<Arc<RoutingCatalog>> {
        self.catalog.borrow().as_ref().map(|it| it.0.clone())
    }

    /// The raw bytes of the configuration in force, if there is one.
    pub fn encoded_routing_catalog(&self) -> Option<Bytes> {
        self.catalog.borrow().as_ref().map(|it| it.1.clone())
    }

    /// The version of the configuration in force; 0 without a configuration.
    pub fn catalog_version(&self) -> u64 {
        self.catalog.borrow().as_ref().map_or(0, |it| it.0.config_version())
    }

    /// Puts a configuration in force if its version is newer than the one in
    /// force.
    pub fn adopt_catalog(
        &self,
        catalog: RoutingCatalog,
        raw: Bytes,
        source: StateChangeSource,
    ) {
        let before = self.catalog_version();
        if before >= catalog.config_version() {
            if before > catalog.config_version() {
                info!(self.log, "catalog_outdated";
                    "version" => catalog.config_version(),
                    "in_force" => before, "source" => ?source);
            }
            return;
        }
        info!(self.log, "catalog_in_force"; "version" => catalog.config_version(),
            "before" => before, "routes" => catalog.route_count(),
            "source" => ?source);
        *self.catalog.borrow_mut() = Some((Arc::new(catalog), raw));
        self.notify_target_change();
        self.digest_wakeup.notify_one();
    }

    /// Logs a malformed record of the targets topic, once for each key.
    pub fn record_invalid_target(&self, key: &str, error: &serde_json::Error) {
        let mut invalid_target_keys = self.invalid_target_keys.borrow_mut();
        if invalid_target_keys.len() < MAX_INVALID_TARGET_KEYS
            && invalid_target_keys.insert(key.into())
        {
            warn!(self.log, "target_refused"; "target" => key,
                "error" => %error);
        }
    }

    /// Applies a change of a target to the rest of the state: drops the
    /// endpoint of a target that restarted or left, and wakes waiting requests
    /// and the digest broadcaster.
    pub fn apply_target_change(
        &self,
        id: &str,
        change: TargetChange,
        news: &TargetNews,
    ) {
        let (source, peer) = (news.source, news.peer.as_deref());
        match change {
            TargetChange::None => return,
            // The target is known here, but maybe not to other entry
            // processes.
            TargetChange::Returned => {
                return self.record_target_change_in_log(source);
            }
            TargetChange::Joined | TargetChange::Restarted => {
                self.record_target_change_in_log(source);
                if change == TargetChange::Restarted {
                    info!(self.log, "target_restarted"; "target" => id,
                        "source" => ?source, "peer" => peer);
                    // In-flight requests, connections and agent reports belong
                    // to the previous start of the target.
                    self.endpoints.borrow_mut().remove(id);
                    self.limits.borrow_mut().remove_target_limiter(id);
                }
                let fleet = self.fleet.borrow();
                let Some(target) = fleet.get(id) else { return };
                let announced_at = fleet.announcement_position(id);
                info!(self.log, "target_joined"; "target" => id,
                    "service" => &*target.service,
                    "address" => %target.address,
                    "announced_at" => %announced_at.unwrap_or_default(),
                    "source" => ?source, "peer" => peer);
                self.joined_target_count
                    .set(self.joined_target_count.get() + 1);
                self.digest_wakeup.notify_one();
                drop(fleet);
                self.apply_early_limit(id, Millis::now());
            }
            TargetChange::Left => {
                self.record_target_change_in_log(source);
                let positions = self.fleet.borrow().departure_positions(id);
                let positions = positions.unwrap_or_default();
                info!(self.log, "target_left"; "target" => id,
                    "announced_at" => %positions.announced_at,
                    "withdrawn_before" => %positions.end_position,
                    "source" => ?source, "peer" => peer);
                self.endpoints.borrow_mut().remove(id);
                self.limits.borrow_mut().remove_target_limiter(id);
                let addresses: HashSet<SocketAddr> = self
                    .fleet
                    .borrow()
                    .ready_targets()
                    .map(|it| it.address)
                    .collect();
                self.agent_target_list_ids
                    .borrow_mut()
                    .retain(|it, _| addresses.contains(it));
                self.raw_announcements_by_target.borrow_mut().remove(id);
                self.digest_wakeup.notify_one();
            }
        }
        self.notify_target_change();
    }

    /// Merges another entry process's latest read of the targets topic: when
    /// it was read and the position of the last change.
    pub fn merge_peer_targets_read(
        &self,
        at: Millis,
        changed: LogPosition,
        now: Millis,
    ) {
        let continuity = self
            .log_read_schedule
            .borrow_mut()
            .merge_peer_log_read(at, changed);
        self.extend_target_leases_after_log_read_gap(continuity, now);
        if self.log_read_schedule.borrow().has_unread_target_change() {
            self.targets_read_wakeup.notify_one();
            return;
        }
        // Nothing has changed since, so a record that was missing then wasn't
        // renewed before that read began.
        let last_read_at = self.log_read_schedule.borrow().last_log_read_at();
        let begun = last_read_at - MAX_PEER_READ_TIME;
        let gone = self.fleet.borrow_mut().apply_due_withdrawals(begun);
        let news = TargetNews::new(StateChangeSource::Peer);
        for id in gone {
            self.apply_target_change(&id, TargetChange::Left, &news);
        }
    }

    /// Records a change of the targets that was read from the log, so that
    /// other entry processes read the change too.
    fn record_target_change_in_log(&self, source: StateChangeSource) {
        if source == StateChangeSource::Log {
            self.log_read_schedule.borrow_mut().record_target_change();
        }
    }

    /// Extends the leases of all targets after a gap in the reads of the
    /// targets topic, since targets may have renewed them unobserved.
    pub fn extend_target_leases_after_log_read_gap(
        &self,
        continuity: LogReadContinuity,
        now: Millis,
    ) {
        if continuity == LogReadContinuity::Gap {
            info!(self.log, "readings_resumed");
            self.fleet.borrow_mut().start_record_renewal_grace(now);
        }
    }

    /// Wakes waiting requests because targets or groups have changed.
    pub fn notify_target_change(&self) {
        self.target_change_count.set(self.target_change_count.get() + 1);
        self.targets_changed.notify_waiters();
    }

    /// The state kept for a target, if there is any.
    pub fn existing_endpoint(
        &self,
        id: &str,
    ) -> Option<Rc<RefCell<Endpoint>>> {
        self.endpoints.borrow().get(id).cloned()
    }

    /// The state kept for a target, created if there is none.
    pub fn endpoint_or_insert(&self, id: &Name) -> Rc<RefCell<Endpoint>> {
        let new = || {
            let connection_freed = self.connection_freed.clone();
            Rc::new(RefCell::new(Endpoint {
                connection_freed,
                ..Endpoint::default()
            }))
        };
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.entry(id.clone()).or_insert_with(new).clone()
    }

    /// Whether the entry process can serve: it isn't stopping, and it has a
    /// configuration and at least one known target.
    pub fn is_ready_to_serve(&self) -> bool {
        self.readiness() == Readiness::Ready
    }

    /// Whether the entry process can serve, or why not.
    pub fn readiness(&self) -> Readiness {
        if self.process_phase.get() != ProcessPhase::Serving {
            Readiness::Stopping
        } else if self.catalog.borrow().is_none() {
            Readiness::NoConfiguration
        } else if self.fleet.borrow().ready_targets().next().is_none() {
            Readiness::NoTarget
        } else {
            Readiness::Ready
        }
    }

    /// Records the timeout that a caller's request states and returns the
    /// longest timeout stated on the same route, which is about that of a
    /// caller's first try.
    pub fn update_longest_caller_timeout(
        &self,
        route: &Name,
        stated_timeout: Millis,
    ) -> Millis {
        let mut timeouts = self.longest_caller_timeouts.borrow_mut();
        if timeouts.len() > MAX_REMEMBERED_ROUTES {
            timeouts.clear();
        }
        let longest = timeouts.entry(route.clone()).or_default();
        *longest = stated_timeout.max(*longest);
        *longest
    }

    /// Records that a message of a VM in an availability zone arrived.
    pub fn record_zone_contact(&self, zone: &Name, at: Millis) {
        let mut zones = self.zone_last_seen.borrow_mut();
        if let Some(last_seen) = zones.get_mut(zone) {
            *last_seen = at.max(*last_seen);
        } else if zones.len() < MAX_TRACKED_ZONES {
            zones.insert(zone.clone(), at);
        }
    }

    /// Whether an availability zone was reachable since a moment: a VM of the
    /// zone sent a message or, for this entry process's own zone, any other VM
    /// did.
    pub fn has_zone_contact_since(&self, zone: &Name, since: Millis) -> bool {
        let own = self.settings().zone == *zone;
        let zones = self.zone_last_seen.borrow();
        let mut last_seen = zones.iter().filter(|it| own || it.0 == zone);
        last_seen.any(|it| *it.1 >= since)
    }

    /// A random number from 0 to 1.
    pub fn random_fraction(&self) -> f64 {
        rand::Rng::random(&mut *self.rng.borrow_mut())
    }
}
