//! The immutable view of the configuration that traffic reads.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use cowsliproad_admission::budget::RetryBudget;
use cowsliproad_config::{
    ConfigObject, ConfigState,
    object::{self, Backend},
};
use cowsliproad_kernel::{Name, clock::Millis, id};
use cowsliproad_routing::health::{self, AttemptAdmission};
use tokio::sync::watch;

use crate::target::Target;

/// Retries earned by 100 successes.
const RETRY_PERCENT: u32 = 10;

/// Retries that can be saved up.
const RETRY_RESERVE: u32 = 50;

/// A configuration in force, indexed for traffic.
#[derive(Debug, Default)]
pub struct View {
    /// The folded state.
    pub state: Arc<ConfigState>,
    /// Organisations by the hash of each of their keys.
    pub organisations: HashMap<Name, Arc<Organisation>>,
    /// Services by name.
    pub services: HashMap<Name, Arc<Service>>,
    /// Targets by name.
    pub targets: HashMap<Name, Arc<Target>>,
}

/// An organisation and its requests in flight here.
#[derive(Debug)]
pub struct Organisation {
    /// What was declared.
    pub declared: object::Organisation,
    /// Requests in flight through this entry, shared by successive views.
    pub in_flight: Arc<AtomicU32>,
}

/// A service with its types and targets.
#[derive(Debug)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// What its targets are.
    pub backend: Backend,
    /// Its request types by name.
    pub types: HashMap<Name, Arc<object::RequestType>>,
    /// Its targets.
    pub targets: Vec<Arc<Target>>,
    /// Whether so many targets are ejected that none is left out for it.
    pub ejections_doubted: AtomicBool,
    /// Its retry budget, shared by successive views.
    pub budget: Arc<Mutex<RetryBudget>>,
}

impl View {
    /// Indexes a state, taking over counters and targets from an older view.
    pub fn new(
        state: Arc<ConfigState>,
        old: &View,
        mut target: impl FnMut(&object::Target) -> Arc<Target>,
    ) -> View {
        let mut view = View { state: state.clone(), ..View::default() };
        let mut types: HashMap<Name, Vec<object::RequestType>> =
            HashMap::new();
        let mut targets: HashMap<Name, Vec<Arc<Target>>> = HashMap::new();
        let counters = counters(old);
        for versioned in state.objects() {
            match &versioned.object {
                ConfigObject::Organisation(it) => {
                    view.add_organisation(it, &counters);
                }
                ConfigObject::RequestType(it) => {
                    types
                        .entry(it.service.clone())
                        .or_default()
                        .push(it.clone());
                }
                ConfigObject::Target(it) => {
                    let target = target(it);
                    let of_service = targets.entry(it.service.clone());
                    of_service.or_default().push(target.clone());
                    view.targets.insert(it.name.clone(), target);
                }
                ConfigObject::Service(_)
                | ConfigObject::Group(_)
                | ConfigObject::Drain(_) => {}
            }
        }
        for versioned in state.objects() {
            let ConfigObject::Service(it) = &versioned.object else {
                continue;
            };
            let types = types.remove(&it.name).unwrap_or_default();
            let service = Service {
                name: it.name.clone(),
                backend: it.backend,
                types: types
                    .into_iter()
                    .map(|it| (it.name.clone(), Arc::new(it)))
                    .collect(),
                targets: targets.remove(&it.name).unwrap_or_default(),
                ejections_doubted: AtomicBool::new(false),
                budget: old.services.get(&it.name).map_or_else(
                    || Arc::new(Mutex::new(budget())),
                    |old| old.budget.clone(),
                ),
            };
            view.services.insert(it.name.clone(), Arc::new(service));
        }
        view
    }

    /// Counts each service's ejected targets anew.
    pub fn weigh_ejections(&self, now: Millis) {
        let config = health::EjectionConfig::new();
        for service in self.services.values() {
            let targets = &service.targets;
            // What targets asked for themselves is not doubted.
            let guessed = targets.iter().filter(|it| {
                it.admits(now) == AttemptAdmission::Deny
                    && it.cooldown_end(now).is_none()
            });
            let doubted =
                config.exceeds_ejection_limit(guessed.count(), targets.len());
            service.ejections_doubted.store(doubted, Ordering::Relaxed);
        }
    }

    /// The linked target whose agent is, or answers for, a process. The one
    /// that ran it is asked first, since it mostly still does.
    pub fn holder(
        &self,
        name: &str,
        incarnation: id::Incarnation,
    ) -> Option<Arc<Target>> {
        let named = self.targets.get(name).into_iter();
        let mut targets = named.chain(self.targets.values());
        targets.find(|target| target.answers_for(incarnation)).cloned()
    }

    fn add_organisation(
        &mut self,
        declared: &object::Organisation,
        counters: &HashMap<Name, Arc<AtomicU32>>,
    ) {
        let in_flight = counters.get(&declared.name).cloned();
        let organisation = Arc::new(Organisation {
            declared: declared.clone(),
            in_flight: in_flight.unwrap_or_default(),
        });
        for key in &declared.api_key_hashes {
            self.organisations.insert(key.clone(), organisation.clone());
        }
    }
}

impl Organisation {
    /// Counts a request in, unless the organisation has its limit in flight.
    pub fn enter(&self) -> Option<InFlight> {
        let limit = self.declared.max_in_flight;
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let guard = InFlight { counter: self.in_flight.clone() };
        (before < limit).then_some(guard)
    }
}

/// Counts a request out when dropped.
#[derive(Debug)]
pub struct InFlight {
    counter: Arc<AtomicU32>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The view in force and the announcement of new ones.
#[derive(Debug)]
pub struct Published {
    view: ArcSwap<View>,
    next: watch::Sender<u64>,
    snapshot: AtomicU64,
    log_up: AtomicBool,
}

impl Published {
    /// An empty view.
    pub fn new() -> Published {
        Published {
            view: ArcSwap::from_pointee(View::default()),
            next: watch::Sender::new(0),
            snapshot: AtomicU64::new(0),
            log_up: AtomicBool::new(false),
        }
    }

    /// The offset up to which a snapshot was last written or seen.
    pub fn snapshot(&self) -> u64 {
        self.snapshot.load(Ordering::Relaxed)
    }

    /// Notes a snapshot.
    pub fn set_snapshot(&self, next: u64) {
        self.snapshot.fetch_max(next, Ordering::Relaxed);
    }

    /// Whether the log answered last time.
    pub fn is_log_up(&self) -> bool {
        self.log_up.load(Ordering::Relaxed)
    }

    /// Notes whether the log answers and tells whether it did before.
    pub fn set_log_up(&self, up: bool) -> bool {
        self.log_up.swap(up, Ordering::Relaxed)
    }

    /// The view in force.
    pub fn load(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Puts a view in force and announces it.
    pub fn publish(&self, view: View) {
        let next = view.state.next_offset();
        self.view.store(Arc::new(view));
        self.next.send_replace(next);
    }

    /// Told of the offset after the last record in force.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.next.subscribe()
    }
}

impl Default for Published {
    fn default() -> Published {
        Published::new()
    }
}

fn budget() -> RetryBudget {
    RetryBudget::new(RETRY_PERCENT, RETRY_RESERVE)
}

fn counters(view: &View) -> HashMap<Name, Arc<AtomicU32>> {
    let organisations = view.organisations.values();
    organisations
        .map(|it| (it.declared.name.clone(), it.in_flight.clone()))
        .collect()
}
