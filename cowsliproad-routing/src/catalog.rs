//! The configuration in force: routes, services, organisations and limits.
//!
//! A [`RoutingCatalog`] is built once for each version of the configuration and
//! is immutable. A request matches a route by its host and the longest path
//! prefix: the routes of a host are sorted from the longest prefix to the
//! shortest, so the first match is the right one.

use std::{collections::HashMap, sync::Arc};

use cowsliproad_kernel::{Name, clock::Millis};

/// Whether the requests of a route may be sent again, and whether they are
/// answered by a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Running a request several times has the same effect as running it once.
    Idempotent,
    /// A request may run once at most.
    NonIdempotent,
    /// A request is answered by a stream of events.
    Stream(StreamResumption),
}

/// Whether another target may continue a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamResumption {
    /// Another target may continue the stream after the last event delivered.
    Allowed,
    /// Only the first target may run the stream.
    Never,
}

/// Which callers may use a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteAccess {
    /// Callers of the route need no key.
    Public,
    /// Callers of the route need the key of an organisation.
    KeyRequired,
}

/// One of the services that a route's requests are split among, and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// The name of the service that gets the requests.
    pub service: Name,
    /// The weight by which the service gets requests of the route, relative to
    /// the weights of the route's other services.
    pub relative_traffic_weight: f64,
}

/// The settings for the requests with a host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route in log messages.
    pub name: Name,
    /// The host that the route's requests are addressed to, without a port.
    pub host: Name,
    /// The prefix that the paths of the route's requests have.
    pub path_prefix: Name,
    /// Whether the route's requests may be sent again, and whether they are
    /// answered by a stream.
    pub kind: RouteKind,
    /// The longest time that a caller waits for the response.
    pub response_timeout: Option<Millis>,
    /// The time within which the response to a request should arrive.
    pub latency_goal: Option<Millis>,
    /// How long a caller of a stream waits without an event before the caller
    /// leaves.
    pub caller_idle_timeout: Option<Millis>,
    /// The priority of the route's requests; 0 is the highest priority.
    pub priority: u8,
    /// The services that the route's requests are split among.
    pub service_shares: Vec<ServiceShare>,
    /// The largest number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Which callers may use the route.
    pub access: RouteAccess,
}

/// A service that routes send requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// The largest number of connections to one target, from all entry
    /// processes together.
    pub max_connections_per_target: Option<u32>,
    /// The expert layout of the service's model engines, if it runs any.
    pub expert_layout: Option<ExpertLayout>,
}

/// The expert layout of model engines whose ranks share experts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExpertLayout {
    /// The number of sets of layers; each set has its own expert map.
    pub layer_set_count: usize,
    /// The number of experts in each set of layers.
    pub experts_per_layer_set: usize,
    /// The number of experts that one rank holds of each set of layers.
    pub experts_per_rank: usize,
    /// The largest number of experts of each set of layers that a new expert
    /// map may add to a rank.
    pub max_experts_added_to_rank_per_layer_set: usize,
    /// The time that a rank needs to copy one expert.
    pub expert_copy_time: Millis,
}

/// A customer that sends requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// The name of the organisation.
    pub name: Name,
    /// The priority of the organisation's requests, which overrides the
    /// priority of the route.
    pub priority_override: Option<u8>,
}

/// Limits on the size of requests and on the time to receive them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// The largest request head, in bytes.
    pub max_header_bytes: usize,
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// The time within which a request's head must arrive.
    pub header_timeout: Millis,
    /// How long a caller's connection may stay idle.
    pub idle_timeout: Millis,
}

impl RequestLimits {
    /// The request limits used when a configuration contains none.
    pub fn new() -> RequestLimits {
        RequestLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Millis(5_000),
            idle_timeout: Millis(60_000),
        }
    }
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits::new()
    }
}

/// The reason why a request matches no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// No route matches the host and path of the request.
    NoRoute,
    /// The route requires a key, and the request has no valid key.
    BadKey,
}

/// The result of matching a request against the routes.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The route that matches the request.
    pub route: Arc<Route>,
    /// The organisation whose key the request carries; `None` if the request
    /// carries no valid key.
    pub organisation: Option<Arc<Organisation>>,
}

/// The routes, services, organisations and limits of one version of the
/// configuration.
#[derive(Clone, Debug)]
pub struct RoutingCatalog {
    version: u64,
    routes_by_host: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Service>,
    organisations_by_key: HashMap<Box<str>, Arc<Organisation>>,
    requires_caller_keys: bool,
    request_limits: RequestLimits,
}

impl RoutingCatalog {
    /// The version number of the configuration. A higher number is newer.
    pub fn config_version(&self) -> u64 {
        self.version
    }

    /// The limits on the size of requests and on the time to receive them.
    pub fn request_limits(&self) -> RequestLimits {
        self.request_limits
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services in the catalog.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// The number of routes in the catalog.
    pub fn route_count(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }

    /// Finds the route of a request and the organisation that sent the
    /// request.
    pub fn find_route(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch, RouteError> {
        let name = host.rsplit_once(':').map_or(host, |it| it.0);
        let name = name.to_ascii_lowercase();
        let routes = self
            .routes_by_host
            .get(name.as_str())
            .ok_or(RouteError::NoRoute)?;
        let matches =
            |route: &&Arc<Route>| path.starts_with(&*route.path_prefix);
        let route =
            routes.iter().find(matches).ok_or(RouteError::NoRoute)?.clone();
        let organisation =
            key.and_then(|key| self.organisations_by_key.get(key)).cloned();
        let is_public =
            !self.requires_caller_keys || route.access == RouteAccess::Public;
        if organisation.is_none() && !is_public {
            return Err(RouteError::BadKey);
        }
        Ok(RouteMatch { route, organisation })
    }
}

/// Builds a [`RoutingCatalog`].
#[derive(Debug)]
pub struct RoutingCatalogBuilder {
    catalog: RoutingCatalog,
}

impl RoutingCatalogBuilder {
    /// Starts a catalog without routes, services and organisations.
    pub fn new(version: u64) -> RoutingCatalogBuilder {
        RoutingCatalogBuilder {
            catalog: RoutingCatalog {
                version,
                routes_by_host: HashMap::new(),
                services: HashMap::new(),
                organisations_by_key: HashMap::new(),
                requires_caller_keys: false,
                request_limits: RequestLimits::new(),
            },
        }
    }

    /// Adds a route to the catalog.
    pub fn add_route(&mut self, route: Route) {
        let host: Name = route.host.to_ascii_lowercase().into();
        self.catalog
            .routes_by_host
            .entry(host)
            .or_default()
            .push(Arc::new(route));
    }

    /// Adds a service to the catalog.
    pub fn add_service(&mut self, service: Service) {
        self.catalog.services.insert(service.name.clone(), service);
    }

    /// Sets the limits on the size of requests and on the time to receive them.
    pub fn set_request_limits(&mut self, limits: RequestLimits) {
        self.catalog.request_limits = limits;
    }

    /// Requires the key of an organisation from callers of all routes that
    /// aren't public. Without this call, no route requires a key.
    pub fn require_caller_keys(&mut self) {
        self.catalog.requires_caller_keys = true;
    }

    /// Adds an organisation and the keys of its callers.
    pub fn add_organisation(
        &mut self,
        organisation: Organisation,
        keys: Vec<Box<str>>,
    ) {
        let organisation = Arc::new(organisation);
        for key in keys {
            self.catalog
                .organisations_by_key
                .insert(key, organisation.clone());
        }
    }

    /// Sorts the routes by path prefix and returns the catalog.
    pub fn build(mut self) -> RoutingCatalog {
        for routes in self.catalog.routes_by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.path_prefix.len()));
        }
        self.catalog
    }
}

impl Route {
    /// Whether a request may be sent again when it may have run already.
    pub fn allows_resend(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent
            | RouteKind::Stream(StreamResumption::Allowed) => true,
            RouteKind::NonIdempotent
            | RouteKind::Stream(StreamResumption::Never) => false,
        }
    }

    /// Whether the route's responses are streams of events.
    pub fn has_stream_responses(&self) -> bool {
        matches!(self.kind, RouteKind::Stream(_))
    }

    /// The service that gets a request, by a random number from 0 to 1.
    pub fn choose_service(&self, random_fraction: f64) -> Option<&Name> {
        let total: f64 = self
            .service_shares
            .iter()
            .map(|it| it.relative_traffic_weight)
            .sum();
        let mut remaining = random_fraction * total;
        for share in &self.service_shares {
            remaining -= share.relative_traffic_weight;
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.service_shares.last().map(|it| &it.service)
    }
}
