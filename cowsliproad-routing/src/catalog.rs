//! The configuration in force: routes, services, organisations and limits.
//!
//! A [`Catalog`] is made once for each version and only read afterwards. A
//! request finds its route by host and longest prefix: the routes of a host
//! are kept from the longest prefix to the shortest, so the first that fits
//! is the one.

use std::{collections::HashMap, sync::Arc};

use cowsliproad_kernel::{Name, clock::Millis};

/// What may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Any number of runs does what one does.
    Idempotent,
    /// One run at most.
    Once,
    /// A stream of events.
    Stream(Resumption),
}

/// Whether a stream may go on at another target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Resumption {
    /// From the event after the last one delivered.
    Allowed,
    /// Only its first target may run it.
    Never,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access {
    /// Everybody.
    Public,
    /// Holders of an organisation's key.
    Keyed,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Its weight beside the others'.
    pub weight: f64,
}

/// What is done with the requests of a host and prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// The start of the paths that it takes.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest that a caller is kept waiting.
    pub timeout: Option<Millis>,
    /// The time within which an answer is wanted.
    pub aim: Option<Millis>,
    /// How long callers of a stream stay without an event.
    pub silence: Option<Millis>,
    /// Rank, 0 first.
    pub priority: u8,
    /// The services that it leads to.
    pub shares: Vec<Share>,
    /// Targets that one request may be sent to.
    pub attempts: u32,
    /// Who may use it.
    pub access: Access,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Connections that one target takes from all entries together.
    pub connections: Option<u32>,
    /// The shape of its model engines, if it has such.
    pub engine: Option<Engine>,
}

/// The shape of model engines whose ranks share experts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Sets of layers with an expert map of their own.
    pub sets: usize,
    /// Experts in each set.
    pub experts: usize,
    /// Experts that a rank holds in each set.
    pub places: usize,
    /// Experts that are new to a rank in one map, at most, in each set.
    pub spare: usize,
    /// The time in which a rank copies an expert.
    pub copy_time: Millis,
}

/// Who sends requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: Name,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// The time for a request's head.
    pub header_time: Millis,
    /// The time that a connection may stay idle.
    pub idle_time: Millis,
}

impl Limits {
    /// The limits in force while a configuration names none.
    pub fn new() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Millis(5_000),
            idle_time: Millis(60_000),
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits::new()
    }
}

/// Why a request has no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No route takes the host and path.
    NoRoute,
    /// The route asks for a key, and this one is none.
    BadKey,
}

/// Where a request goes and who sent it.
#[derive(Clone, Debug)]
pub struct Found {
    /// The rule that it goes by.
    pub route: Arc<Route>,
    /// The organisation whose key it carries.
    pub organisation: Option<Arc<Organisation>>,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Catalog {
    version: u64,
    hosts: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Service>,
    keys: HashMap<Box<str>, Arc<Organisation>>,
    keyed: bool,
    limits: Limits,
}

impl Catalog {
    /// Its number. A higher one is newer.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What callers may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// The number of routes.
    pub fn routes(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// The route of a request and the organisation that sent it.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Found, Refusal> {
        let name = host.rsplit_once(':').map_or(host, |it| it.0);
        let name = name.to_ascii_lowercase();
        let routes = self.hosts.get(name.as_str()).ok_or(Refusal::NoRoute)?;
        let fits = |route: &&Arc<Route>| path.starts_with(&*route.prefix);
        let route = routes.iter().find(fits).ok_or(Refusal::NoRoute)?.clone();
        let organisation = key.and_then(|key| self.keys.get(key)).cloned();
        let open = !self.keyed || route.access == Access::Public;
        if organisation.is_none() && !open {
            return Err(Refusal::BadKey);
        }
        Ok(Found { route, organisation })
    }
}

/// Collects a version of the configuration.
#[derive(Debug)]
pub struct Builder {
    catalog: Catalog,
}

impl Builder {
    /// A version without routes.
    pub fn new(version: u64) -> Builder {
        Builder {
            catalog: Catalog {
                version,
                hosts: HashMap::new(),
                services: HashMap::new(),
                keys: HashMap::new(),
                keyed: false,
                limits: Limits::new(),
            },
        }
    }

    /// Adds a route.
    pub fn route(&mut self, route: Route) {
        let host: Name = route.host.to_ascii_lowercase().into();
        self.catalog.hosts.entry(host).or_default().push(Arc::new(route));
    }

    /// Adds a service.
    pub fn service(&mut self, service: Service) {
        self.catalog.services.insert(service.name.clone(), service);
    }

    /// Sets the limits.
    pub fn limits(&mut self, limits: Limits) {
        self.catalog.limits = limits;
    }

    /// Asks for keys on all routes that aren't public.
    pub fn keyed(&mut self) {
        self.catalog.keyed = true;
    }

    /// Adds an organisation with its keys.
    pub fn organisation(
        &mut self,
        organisation: Organisation,
        keys: Vec<Box<str>>,
    ) {
        let organisation = Arc::new(organisation);
        for key in keys {
            self.catalog.keys.insert(key, organisation.clone());
        }
    }

    /// The version as it will be used.
    pub fn build(mut self) -> Catalog {
        for routes in self.catalog.hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        self.catalog
    }
}

impl Route {
    /// Whether a request may be sent again after it may have run.
    pub fn repeats(&self) -> bool {
        match self.kind {
            Kind::Idempotent | Kind::Stream(Resumption::Allowed) => true,
            Kind::Once | Kind::Stream(Resumption::Never) => false,
        }
    }

    /// Whether its answers are streams of events.
    pub fn streams(&self) -> bool {
        matches!(self.kind, Kind::Stream(_))
    }

    /// The service that a draw from 0 to 1 falls on.
    pub fn draw(&self, draw: f64) -> Option<&Name> {
        let total: f64 = self.shares.iter().map(|it| it.weight).sum();
        let mut left = draw * total;
        for share in &self.shares {
            left -= share.weight;
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|it| &it.service)
    }
}
