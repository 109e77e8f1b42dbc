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
    Object, State,
    object::{self, Backend},
};
use cowsliproad_kernel::{Name, clock::Millis, id};
use cowsliproad_routing::health::{self, Admission};
use tokio::sync::watch;

use crate::target::Target;

/// The retries earned by 100 successful requests.
const RETRY_PERCENT: u32 = 10;

/// The maximum number of retries that a service can save up.
const RETRY_RESERVE: u32 = 50;

/// The configuration in force, indexed for requests.
#[derive(Debug, Default)]
pub struct View {
    /// The state folded from the configuration log.
    pub state: Arc<State>,
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
    pub declared: object::Organisation,
    /// The number of the organisation's requests in flight through this entry
    /// process. Successive views share the counter.
    pub in_flight: Arc<AtomicU32>,
}

/// A service with its request types and targets.
#[derive(Debug)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// The kind of back end that the targets of the service run.
    pub backend: Backend,
    /// The request types of the service, by name.
    pub types: HashMap<Name, Arc<object::RequestType>>,
    /// The targets of the service.
    pub targets: Vec<Arc<Target>>,
    /// Whether so many targets of the service are ejected that ejections are
    /// ignored.
    pub ejections_doubted: AtomicBool,
    /// The retry budget of the service, shared by successive views.
    pub budget: Arc<Mutex<RetryBudget>>,
}

impl View {
    /// Indexes a configuration state. Counters and retry budgets are taken
    /// over from `old`, and `target` returns the state of each declared
    /// target.
    pub fn new(
        state: Arc<State>,
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
                Object::Organisation(it) => {
                    view.add_organisation(it, &counters);
                }
                Object::RequestType(it) => {
                    types
                        .entry(it.service.clone())
                        .or_default()
                        .push(it.clone());
                }
                Object::Target(it) => {
                    let target = target(it);
                    let of_service = targets.entry(it.service.clone());
                    of_service.or_default().push(target.clone());
                    view.targets.insert(it.name.clone(), target);
                }
                Object::Service(_) | Object::Group(_) | Object::Drain(_) => {}
            }
        }
        for versioned in state.objects() {
            let Object::Service(it) = &versioned.object else { continue };
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

    /// Counts the ejected targets of each service and decides whether its
    /// ejections are ignored.
    pub fn weigh_ejections(&self, now: Millis) {
        let config = health::EjectionConfig::new();
        for service in self.services.values() {
            let targets = &service.targets;
            // A cooldown that the target itself asked for is not an ejection.
            let guessed = targets.iter().filter(|it| {
                it.admits(now) == Admission::Deny
                    && it.cooldown_end(now).is_none()
            });
            let doubted =
                config.exceeds_ejection_limit(guessed.count(), targets.len());
            service.ejections_doubted.store(doubted, Ordering::Relaxed);
        }
    }

    /// Returns a linked target whose agent is, or answers for, an agent
    /// process. The target `name`, which ran that process, is checked first,
    /// since it mostly still does.
    pub fn holder(
        &self,
        name: &str,
        incarnation: id::Incarnation,
    ) -> Option<Arc<Target>> {
        let named = self.targets.get(name).into_iter();
        let mut targets = named.chain(self.targets.values());
        targets.find(|target| target.answers_for(incarnation)).cloned()
    }

    /// Adds an organisation under the hash of each of its keys.
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
        for key in &declared.key_hashes {
            self.organisations.insert(key.clone(), organisation.clone());
        }
    }
}

impl Organisation {
    /// Counts a request of the organisation as in flight. Returns `None` if
    /// the organisation already has its maximum number of requests in flight.
    pub fn enter(&self) -> Option<InFlight> {
        let limit = self.declared.max_in_flight;
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let guard = InFlight { counter: self.in_flight.clone() };
        (before < limit).then_some(guard)
    }
}

/// Keeps a request of an organisation counted as in flight until dropped.
#[derive(Debug)]
pub struct InFlight {
    counter: Arc<AtomicU32>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The view in force, and a channel that announces the next log offset of each
/// new view.
#[derive(Debug)]
pub struct Published {
    view: ArcSwap<View>,
    next: watch::Sender<u64>,
    snapshot: AtomicU64,
    log_up: AtomicBool,
}

impl Published {
    /// Publishes an empty view.
    pub fn new() -> Published {
        Published {
            view: ArcSwap::from_pointee(View::default()),
            next: watch::Sender::new(0),
            snapshot: AtomicU64::new(0),
            log_up: AtomicBool::new(false),
        }
    }

    /// The next log offset of the latest snapshot written to or read from the
    /// log.
    pub fn snapshot(&self) -> u64 {
        self.snapshot.load(Ordering::Relaxed)
    }

    /// Records that the log holds a snapshot with this next offset.
    pub fn set_snapshot(&self, next: u64) {
        self.snapshot.fetch_max(next, Ordering::Relaxed);
    }

    /// Whether the last read of the log succeeded.
    pub fn is_log_up(&self) -> bool {
        self.log_up.load(Ordering::Relaxed)
    }

    /// Records whether the log can be read, and returns the previous value.
    pub fn set_log_up(&self, up: bool) -> bool {
        self.log_up.swap(up, Ordering::Relaxed)
    }

    /// Returns the view in force.
    pub fn load(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Puts a view in force and announces its next log offset.
    pub fn publish(&self, view: View) {
        let next = view.state.next_offset();
        self.view.store(Arc::new(view));
        self.next.send_replace(next);
    }

    /// Subscribes to the offset after the last log record in force.
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

/// The counters of requests in flight of a view's organisations, by
/// organisation name.
fn counters(view: &View) -> HashMap<Name, Arc<AtomicU32>> {
    let organisations = view.organisations.values();
    organisations
        .map(|it| (it.declared.name.clone(), it.in_flight.clone()))
        .collect()
}
