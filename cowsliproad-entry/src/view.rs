//! The immutable view of the configuration that requests read.

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

/// The retries earned by 100 successful requests.
const RETRIES_PER_100_SUCCESSES: u32 = 10;

/// The maximum number of retries that a service can save up.
const MAX_SAVED_RETRIES: u32 = 50;

/// The configuration in force, indexed for requests.
#[derive(Debug, Default)]
pub struct ConfigView {
    /// The state folded from the configuration log.
    pub config_state: Arc<ConfigState>,
    /// The organisations by the hash of each of their keys.
    pub organisations: HashMap<Name, Arc<Organisation>>,
    /// The services by name.
    pub services: HashMap<Name, Arc<Service>>,
    /// The targets by name.
    pub targets: HashMap<Name, Arc<Target>>,
}

/// An organisation and its requests in flight through this entry process.
#[derive(Debug)]
pub struct Organisation {
    /// The declaration of the organisation.
    pub declaration: object::Organisation,
    /// The number of the organisation's requests in flight through this entry
    /// process. Successive views share the counter.
    pub in_flight_requests: Arc<AtomicU32>,
}

/// A service with its request types and targets.
#[derive(Debug)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// The kind of back end that the targets of the service run.
    pub backend: Backend,
    /// The request types of the service, by name.
    pub request_types: HashMap<Name, Arc<object::RequestType>>,
    /// The targets of the service.
    pub targets: Vec<Arc<Target>>,
    /// Whether so many targets of the service are ejected that ejections are
    /// ignored.
    pub ignores_ejections: AtomicBool,
    /// The retry budget of the service, shared by successive views.
    pub retry_budget: Arc<Mutex<RetryBudget>>,
}

impl ConfigView {
    /// Indexes a configuration state. Counters and retry budgets are taken
    /// over from `old`, and `target_state` returns the state of each declared
    /// target.
    pub fn new(
        state: Arc<ConfigState>,
        old: &ConfigView,
        mut target_state: impl FnMut(&object::Target) -> Arc<Target>,
    ) -> ConfigView {
        let mut view = ConfigView {
            config_state: state.clone(),
            ..ConfigView::default()
        };
        let mut types: HashMap<Name, Vec<object::RequestType>> =
            HashMap::new();
        let mut targets: HashMap<Name, Vec<Arc<Target>>> = HashMap::new();
        let in_flight_counters = in_flight_counters(old);
        for versioned in state.objects() {
            match &versioned.object {
                ConfigObject::Organisation(it) => {
                    view.add_organisation(it, &in_flight_counters);
                }
                ConfigObject::RequestType(it) => {
                    types
                        .entry(it.service.clone())
                        .or_default()
                        .push(it.clone());
                }
                ConfigObject::Target(it) => {
                    let target = target_state(it);
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
                request_types: types
                    .into_iter()
                    .map(|it| (it.name.clone(), Arc::new(it)))
                    .collect(),
                targets: targets.remove(&it.name).unwrap_or_default(),
                ignores_ejections: AtomicBool::new(false),
                retry_budget: old.services.get(&it.name).map_or_else(
                    || Arc::new(Mutex::new(new_retry_budget())),
                    |old| old.retry_budget.clone(),
                ),
            };
            view.services.insert(it.name.clone(), Arc::new(service));
        }
        view
    }

    /// Counts the ejected targets of each service and decides whether its
    /// ejections are ignored.
    pub fn update_ignored_ejections(&self, now: Millis) {
        let config = health::EjectionConfig::new();
        for service in self.services.values() {
            let targets = &service.targets;
            // A cooldown that the target itself asked for is not an ejection.
            let ejected = targets.iter().filter(|it| {
                it.health_admission(now) == AttemptAdmission::Deny
                    && it.cooldown_end(now).is_none()
            });
            let ignored =
                config.exceeds_ejection_limit(ejected.count(), targets.len());
            service.ignores_ejections.store(ignored, Ordering::Relaxed);
        }
    }

    /// Returns a linked target whose agent is, or took over from, an agent
    /// process. The target `name`, which ran that process, is checked first,
    /// since it mostly still does.
    pub fn target_answering_for(
        &self,
        name: &str,
        incarnation: id::Incarnation,
    ) -> Option<Arc<Target>> {
        let named = self.targets.get(name).into_iter();
        let mut targets = named.chain(self.targets.values());
        targets
            .find(|target| target.answers_for_incarnation(incarnation))
            .cloned()
    }

    /// Adds an organisation under the hash of each of its keys.
    fn add_organisation(
        &mut self,
        declaration: &object::Organisation,
        in_flight_counters: &HashMap<Name, Arc<AtomicU32>>,
    ) {
        let in_flight_requests =
            in_flight_counters.get(&declaration.name).cloned();
        let organisation = Arc::new(Organisation {
            declaration: declaration.clone(),
            in_flight_requests: in_flight_requests.unwrap_or_default(),
        });
        for key in &declaration.api_key_hashes {
            self.organisations.insert(key.clone(), organisation.clone());
        }
    }
}

impl Organisation {
    /// Counts a request of the organisation as in flight. Returns `None` if
    /// the organisation already has its maximum number of requests in flight.
    pub fn try_begin_request(&self) -> Option<OrganisationInFlightGuard> {
        let limit = self.declaration.max_in_flight;
        let before = self.in_flight_requests.fetch_add(1, Ordering::Relaxed);
        let guard = OrganisationInFlightGuard {
            counter: self.in_flight_requests.clone(),
        };
        (before < limit).then_some(guard)
    }
}

/// Keeps a request of an organisation counted as in flight until dropped.
#[derive(Debug)]
pub struct OrganisationInFlightGuard {
    counter: Arc<AtomicU32>,
}

impl Drop for OrganisationInFlightGuard {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The view in force, and a channel that announces the next log offset of each
/// new view.
#[derive(Debug)]
pub struct PublishedView {
    current_view: ArcSwap<ConfigView>,
    next_offset: watch::Sender<u64>,
    snapshot_offset: AtomicU64,
    log_reachable: AtomicBool,
}

impl PublishedView {
    /// Publishes an empty view.
    pub fn new() -> PublishedView {
        PublishedView {
            current_view: ArcSwap::from_pointee(ConfigView::default()),
            next_offset: watch::Sender::new(0),
            snapshot_offset: AtomicU64::new(0),
            log_reachable: AtomicBool::new(false),
        }
    }

    /// The next log offset of the latest snapshot written to or read from the
    /// log.
    pub fn snapshot_offset(&self) -> u64 {
        self.snapshot_offset.load(Ordering::Relaxed)
    }

    /// Records that the log holds a snapshot of the configuration up to this
    /// offset.
    pub fn record_snapshot_offset(&self, next_offset: u64) {
        self.snapshot_offset.fetch_max(next_offset, Ordering::Relaxed);
    }

    /// Whether the last read of the log succeeded.
    pub fn is_log_reachable(&self) -> bool {
        self.log_reachable.load(Ordering::Relaxed)
    }

    /// Records whether the log can be read, and returns the previous value.
    pub fn set_log_reachable(&self, reachable: bool) -> bool {
        self.log_reachable.swap(reachable, Ordering::Relaxed)
    }

    /// Returns the view in force.
    pub fn current_view(&self) -> Arc<ConfigView> {
        self.current_view.load_full()
    }

    /// Puts a view in force and announces its next log offset.
    pub fn publish_view(&self, view: ConfigView) {
        let next = view.config_state.next_offset();
        self.current_view.store(Arc::new(view));
        self.next_offset.send_replace(next);
    }

    /// Subscribes to the offset after the last log record in force.
    pub fn subscribe_offsets(&self) -> watch::Receiver<u64> {
        self.next_offset.subscribe()
    }
}

impl Default for PublishedView {
    fn default() -> PublishedView {
        PublishedView::new()
    }
}

fn new_retry_budget() -> RetryBudget {
    RetryBudget::new(RETRIES_PER_100_SUCCESSES, MAX_SAVED_RETRIES)
}

/// The counters of requests in flight of a view's organisations, by
/// organisation name.
fn in_flight_counters(view: &ConfigView) -> HashMap<Name, Arc<AtomicU32>> {
    let organisations = view.organisations.values();
    organisations
        .map(|it| (it.declaration.name.clone(), it.in_flight_requests.clone()))
        .collect()
}
