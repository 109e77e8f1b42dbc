//! What the process believes, shared by all its tasks.
//!
//! All state stands here, in one place: the configuration in force, the
//! targets and how each has fared, the other entries. Tasks borrow it for a
//! moment and never across a wait.

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
    window::{RetryWindow, RetryWindowConfig},
};
use cowsliproad_kernel::{
    Name, clock::Millis, position::LogPosition, settings,
};
use cowsliproad_routing::{
    catalog::RoutingCatalog,
    cooldown::Cooldowns,
    fleet::{Target, TargetChange, TargetFleet, TargetFleetConfig},
    formation::GroupFormation,
    pick::TargetStats,
    readings::{LogReadContinuity, LogReadSchedule},
};
use rand::{SeedableRng, rngs::SmallRng};
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use crate::{
    ends::Suspicion, limits::Limits, measure::Measure, peers::Peers,
    quarantine::Quarantine, rollback::Rollbacks, settings::Settings,
    upstream::Pool,
};

pub mod choose;
mod groups;

/// Routes whose callers' patience is remembered, some 60 bytes each: more
/// than operators have had.
const MAX_ROUTES: usize = 10_000;

/// Availability zones that are kept track of, twice those of the largest
/// fleet to come.
const MAX_ZONES: usize = 64;

/// Entries of other writers that are told of.
const MAX_REFUSED: usize = 1_000;

/// Where new facts came from, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The platform's log.
    Log,
    /// Another entry.
    Peer,
    /// The entry's own requests.
    Own,
}

/// The phases of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It was told to stop and serves on until the balancer knows.
    Leaving,
    /// No new connections come: it finishes what it has.
    Closing,
}

/// What an entry keeps of one target beside what the log says.
#[derive(Debug, Default)]
pub struct Endpoint {
    /// How it fared.
    pub record: TargetStats,
    /// Idle connections.
    pub pool: Pool,
    /// Open connections, busy ones and those being made included.
    pub open: usize,
    /// Wakes requests that wait for a connection.
    pub freed: Rc<Notify>,
    /// What its agent last said of its group.
    pub group: Option<Group>,
    /// When it was last known to live: its agent read its report, or it
    /// answered.
    pub lived: Option<Millis>,
    /// When its agent last said that its process is gone.
    pub lost: Option<Millis>,
    /// Requests under which it may have ended.
    pub suspicions: Vec<Suspicion>,
    /// How many requests a second it takes.
    pub limit: CurrentLimit,
    /// Permits there that came too late for the requests that asked.
    pub permits: Vec<Permit>,
    /// When a permit there is to be asked for at the earliest.
    pub full_until: Millis,
    /// Whether a permit there is being asked for.
    pub asking: bool,
    /// Whether its last refusal stated a time that is none.
    pub unreadable: bool,
    /// What is known of it since it last asked to be left alone.
    pub recovery: Recovery,
}

/// What is known of a target since it last asked to be left alone. After that
/// one request finds out whether it takes more.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Recovery {
    /// It takes requests.
    #[default]
    Done,
    /// It has got none yet.
    Pending,
    /// One was sent then.
    Probed(Millis),
}

/// The group of a target.
#[derive(Clone, Debug)]
pub struct Group {
    /// Its name.
    pub name: Name,
    /// Its formation.
    pub epoch: u64,
    /// Whether it takes requests.
    pub open: bool,
    /// The last pass that was begun.
    pub step: u64,
    /// How long the target's work takes, in percent of the usual.
    pub pace: u32,
    /// When this was heard.
    pub heard: Millis,
}

/// The state of an entry.
#[derive(Debug)]
pub struct Entry {
    settings: RefCell<Rc<Settings>>,
    /// Its logger.
    pub log: Logger,
    /// Its counters.
    pub measure: Measure,
    /// The configuration in force, as decoded and as it came.
    catalog: RefCell<Option<(Arc<RoutingCatalog>, Bytes)>>,
    /// The targets.
    pub fleet: RefCell<TargetFleet>,
    /// The longest that callers of each route were seen to wait.
    patience: RefCell<HashMap<Name, Millis>>,
    /// Keys in the log whose entries were no target's, so that each is told
    /// of once.
    refused: RefCell<HashSet<String>>,
    /// Announcements as they came, for entries that start without the log.
    pub announced: RefCell<HashMap<Name, Bytes>>,
    endpoints: RefCell<HashMap<Name, Rc<RefCell<Endpoint>>>>,
    budgets: RefCell<HashMap<Name, RetryWindow>>,
    /// What was last said of each group, by any of its ranks.
    formations: RefCell<HashMap<Name, GroupFormation>>,
    /// Requests that crash their targets.
    pub quarantine: RefCell<Quarantine>,
    /// When each availability zone was last heard from.
    zones: RefCell<HashMap<Name, Millis>>,
    /// The pace of requests to targets that name a limit.
    pub limits: RefCell<Limits>,
    /// Targets that asked to be left alone. They stand apart from what is
    /// kept of targets, which goes when one drops out of the log.
    pub cooldowns: RefCell<Cooldowns>,
    /// Other entries.
    pub peers: RefCell<Peers>,
    /// Wakes requests that wait for a target.
    pub news: Notify,
    /// Wakes those that wait for a connection to one.
    pub freed: Rc<Notify>,
    /// Counts the news, for requests that were not waiting when some came.
    pub news_told: Cell<u64>,
    /// Wakes idle connections that are to be closed.
    pub closing: Notify,
    /// Wakes the task that tells other entries.
    pub rumour: Notify,
    /// The lists of engines that agents know, by engine.
    pub lists: RefCell<HashMap<SocketAddr, u64>>,
    /// What is known of readings of the targets in the log.
    pub readings: RefCell<LogReadSchedule>,
    /// Wakes the task that reads them.
    pub behind: Notify,
    /// Times that the log came back from an older copy.
    pub rollbacks: Rollbacks,
    /// Wakes the task that waits for another entry's word at the start.
    pub met: Notify,
    /// Counts targets that joined.
    pub joined: Cell<u64>,
    /// Requests that were taken and not answered in full.
    pub under_way: Cell<usize>,
    /// What the process is doing.
    pub phase: Cell<Phase>,
    random: RefCell<SmallRng>,
}

/// A target that was chosen.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// What the entry keeps of it.
    pub endpoint: Rc<RefCell<Endpoint>>,
    /// Its cost when it was chosen, in milliseconds.
    pub cost: f64,
    /// Connections to it that this entry may have.
    pub connections: usize,
    /// The limit that it names.
    pub limit: Option<RequestRate>,
    /// The permit that the request holds there.
    pub permit: Option<Permit>,
}

impl Entry {
    /// An entry that knows nothing yet.
    pub fn new(settings: Settings, log: Logger) -> Entry {
        let peers = Peers::new(&settings);
        let readings = LogReadSchedule::new(settings.heartbeat_ms);
        Entry {
            settings: RefCell::new(Rc::new(settings)),
            log,
            measure: Measure::new(),
            catalog: RefCell::new(None),
            fleet: RefCell::new(TargetFleet::new(TargetFleetConfig::new())),
            patience: RefCell::new(HashMap::new()),
            refused: RefCell::new(HashSet::new()),
            announced: RefCell::new(HashMap::new()),
            endpoints: RefCell::new(HashMap::new()),
            budgets: RefCell::new(HashMap::new()),
            formations: RefCell::new(HashMap::new()),
            quarantine: RefCell::new(Quarantine::default()),
            zones: RefCell::new(HashMap::new()),
            limits: RefCell::new(Limits::default()),
            cooldowns: RefCell::new(Cooldowns::new()),
            peers: RefCell::new(peers),
            news: Notify::new(),
            freed: Rc::default(),
            news_told: Cell::new(0),
            closing: Notify::new(),
            rumour: Notify::new(),
            lists: RefCell::new(HashMap::new()),
            readings: RefCell::new(readings),
            behind: Notify::new(),
            rollbacks: Rollbacks::new(),
            met: Notify::new(),
            joined: Cell::new(0),
            under_way: Cell::new(0),
            phase: Cell::new(Phase::Serving),
            random: RefCell::new(SmallRng::from_os_rng()),
        }
    }

    /// Its settings.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Puts settings that were read again in force. Addresses stay what they
    /// were: connections and other entries depend on them.
    pub fn reload(&self, read: Result<Settings, settings::Error>) {
        let new = match read {
            Ok(new) => new,
            Err(error) => {
                warn!(self.log, "settings_refused"; "error" => %error);
                return;
            }
        };
        let old = self.settings();
        info!(self.log, "settings_read";
            "changed" => new != *old,
            "needs_restart" => !new.same_addresses(&old));
        let kept = Settings {
            vm: old.vm.clone(),
            zone: old.zone.clone(),
            callers: old.callers,
            readiness: old.readiness,
            peer_port: old.peer_port,
            ..new
        };
        if kept.retries != old.retries {
            self.budgets.borrow_mut().clear();
        }
        self.peers.borrow_mut().reseed(&kept);
        *self.settings.borrow_mut() = Rc::new(kept);
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Arc<RoutingCatalog>> {
        self.catalog.borrow().as_ref().map(|it| it.0.clone())
    }

    /// The configuration in force as it came.
    pub fn raw_catalog(&self) -> Option<Bytes> {
        self.catalog.borrow().as_ref().map(|it| it.1.clone())
    }

    /// The number of the configuration in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.catalog.borrow().as_ref().map_or(0, |it| it.0.config_version())
    }

    /// Puts a configuration in force unless it is older than what is.
    pub fn adopt(&self, catalog: RoutingCatalog, raw: Bytes, source: Source) {
        let before = self.version();
        if before >= catalog.config_version() {
            return;
        }
        info!(self.log, "catalog_in_force";
            "version" => catalog.config_version(),
            "before" => before, "routes" => catalog.route_count(),
            "source" => ?source);
        *self.catalog.borrow_mut() = Some((Arc::new(catalog), raw));
        self.tell_news();
        self.rumour.notify_one();
    }

    /// Notes an entry that is no target's.
    pub fn refuse_target(&self, key: &str, error: &serde_json::Error) {
        let mut refused = self.refused.borrow_mut();
        if refused.len() < MAX_REFUSED && refused.insert(key.into()) {
            warn!(self.log, "target_refused"; "target" => key,
                "error" => %error);
        }
    }

    /// Notes what became of a target.
    pub fn changed(&self, id: &str, change: TargetChange, source: Source) {
        match change {
            TargetChange::None => return,
            // Known here, but maybe not to other entries.
            TargetChange::Returned => return self.note_change(source),
            TargetChange::Joined | TargetChange::Restarted => {
                self.note_change(source);
                if change == TargetChange::Restarted {
                    info!(self.log, "target_restarted"; "target" => id,
                        "source" => ?source);
                    // Requests there, connections and what its agent said
                    // were of the start before.
                    self.endpoints.borrow_mut().remove(id);
                    self.limits.borrow_mut().forget(id);
                }
                let fleet = self.fleet.borrow();
                let Some(target) = fleet.get(id) else { return };
                info!(self.log, "target_joined"; "target" => id,
                    "service" => &*target.service,
                    "address" => %target.address, "source" => ?source);
                self.joined.set(self.joined.get() + 1);
                self.rumour.notify_one();
                drop(fleet);
                self.recall_limit(id, Millis::now());
            }
            TargetChange::Left => {
                self.note_change(source);
                info!(self.log, "target_left"; "target" => id,
                    "source" => ?source);
                self.endpoints.borrow_mut().remove(id);
                self.limits.borrow_mut().forget(id);
                let addresses: HashSet<SocketAddr> = self
                    .fleet
                    .borrow()
                    .ready_targets()
                    .map(|it| it.address)
                    .collect();
                self.lists.borrow_mut().retain(|it, _| addresses.contains(it));
                self.announced.borrow_mut().remove(id);
                self.rumour.notify_one();
            }
        }
        self.tell_news();
    }

    /// Takes another entry's reading of the targets in.
    pub fn note_reading(&self, at: Millis, changed: LogPosition, now: Millis) {
        let found =
            self.readings.borrow_mut().merge_peer_log_read(at, changed);
        self.note_gap(found, now);
        if self.readings.borrow().has_unread_target_change() {
            self.behind.notify_one();
        }
    }

    /// Notes that the targets changed, so that other entries read too.
    fn note_change(&self, source: Source) {
        if source == Source::Log {
            self.readings.borrow_mut().record_target_change();
        }
    }

    /// Gives targets that may have lapsed unseen the time to come back.
    pub fn note_gap(&self, found: LogReadContinuity, now: Millis) {
        if found == LogReadContinuity::Gap {
            info!(self.log, "readings_resumed");
            self.fleet.borrow_mut().start_record_renewal_grace(now);
        }
    }

    /// Tells requests under way that targets or groups have changed.
    pub fn tell_news(&self) {
        self.news_told.set(self.news_told.get() + 1);
        self.news.notify_waiters();
    }

    /// What is kept of a target, if anything is.
    pub fn known_endpoint(&self, id: &str) -> Option<Rc<RefCell<Endpoint>>> {
        self.endpoints.borrow().get(id).cloned()
    }

    /// What is kept of a target.
    pub fn endpoint(&self, id: &Name) -> Rc<RefCell<Endpoint>> {
        let new = || {
            let freed = self.freed.clone();
            Rc::new(RefCell::new(Endpoint { freed, ..Endpoint::default() }))
        };
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.entry(id.clone()).or_insert_with(new).clone()
    }

    /// Whether the entry can serve: it knows routes and targets.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving
            && self.catalog.borrow().is_some()
            && self.fleet.borrow().ready_targets().next().is_some()
    }

    /// Takes in how long a caller of a route will wait, and says how long
    /// callers do on their first try.
    pub fn patience_of(&self, route: &Name, left: Millis) -> Millis {
        let mut patience = self.patience.borrow_mut();
        if patience.len() > MAX_ROUTES {
            patience.clear();
        }
        let longest = patience.entry(route.clone()).or_default();
        *longest = left.max(*longest);
        *longest
    }

    /// Notes that a VM of an availability zone was heard from.
    pub fn heard_from(&self, zone: &Name, at: Millis) {
        let mut zones = self.zones.borrow_mut();
        if let Some(heard) = zones.get_mut(zone) {
            *heard = at.max(*heard);
        } else if zones.len() < MAX_ZONES {
            zones.insert(zone.clone(), at);
        }
    }

    /// Whether there is a way to an availability zone since a moment: one of
    /// its VMs was heard from, or, for the own zone, any other VM was.
    pub fn reaches(&self, zone: &Name, since: Millis) -> bool {
        let own = self.settings().zone == *zone;
        let zones = self.zones.borrow();
        let mut heard = zones.iter().filter(|it| own || it.0 == zone);
        heard.any(|it| *it.1 >= since)
    }

    /// Notes a request in its service's retry budget.
    pub fn count_request(&self, service: &Name, now: Millis) {
        self.budget(service, |it| it.record_request(now));
    }

    /// Spends a retry of a service, if there is one left.
    pub fn spend_retry(&self, service: &Name, now: Millis) -> bool {
        let entries = self.peers.borrow().entries();
        self.budget(service, |it| it.try_spend_retry(entries, now))
    }

    /// A random number from 0 to 1.
    pub fn draw(&self) -> f64 {
        rand::Rng::random(&mut *self.random.borrow_mut())
    }

    fn budget<T>(
        &self,
        service: &Name,
        with: impl FnOnce(&mut RetryWindow) -> T,
    ) -> T {
        let retries = self.settings().retries;
        let config = RetryWindowConfig::new(
            retries.ratio,
            retries.slack,
            retries.span_ms,
        );
        let mut budgets = self.budgets.borrow_mut();
        let window = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(config));
        with(window)
    }
}
