//! Reads a caller's request and chooses its route and service.
//!
//! What the head shows to be refused is refused before the body is read. The
//! body is then kept in the account of the process, see
//! [`cowsliproad_admission::memory`].

use std::{rc::Rc, sync::Arc};

use cowsliproad_admission::{
    memory::StoredBody,
    patience::CallerAttempt,
    quarantine::{Fingerprint, WorkDigest},
};
use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::body::{self, BodyError, BodyLimits};
use cowsliproad_platform::{header, prompt};
use cowsliproad_routing::catalog::{
    Organisation, RouteError, RouteMatch, RoutingCatalog,
};
use http::{
    HeaderMap, HeaderName, HeaderValue, Response, StatusCode,
    header as standard, request,
};
use http_body::Body as _;
use hyper::body::Incoming;
use slog::info;

use crate::{
    call::{
        Call, RequestDestination, RequestTimes, failure::TARGETS_FULL_BACKOFF,
    },
    callers::{CALLER_IDLE_GRACE, ConnectionActivity},
    entry::Entry,
    outcome::Outcome,
    reply::{self, Body},
};

/// The timeout of a request whose caller states none.
pub const DEFAULT_CALLER_TIMEOUT: Millis = Millis(30_000);

/// The retry delay for callers while the entry process has no configuration.
const NO_CONFIG_RETRY_DELAY: Millis = Millis(400);

/// The retry delay for callers whose body found no memory: that of others is
/// freed when they are answered, within about a second.
const NO_MEMORY_RETRY_DELAY: Millis = Millis(1_000);

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    standard::CONNECTION,
    standard::TRANSFER_ENCODING,
    standard::TE,
    standard::TRAILER,
    standard::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Chooses the route and service of a request and reads its body. Returns the
/// response to the caller if either fails.
pub async fn receive_request(
    entry: &Rc<Entry>,
    mut head: request::Parts,
    body: &mut Incoming,
    arrived: Millis,
    activity: &ConnectionActivity,
) -> Result<Call, Response<Body>> {
    let time_left =
        parse_header_number(&head.headers, &header::TIME_LEFT).map(Millis);
    let time_left = time_left.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let catalog = entry.catalog().ok_or_else(no_configuration)?;
    let mut found =
        find_route(&catalog, &head).map_err(route_error_response)?;
    let limits = catalog.request_limits();
    let body_deadline = arrived + caller_timeout(&found, time_left);
    let body_limits = BodyLimits::new(limits.max_body_bytes, body_deadline)
        .with_headway_timeout(limits.idle_timeout + CALLER_IDLE_GRACE);
    let body = match read_body(entry, body, body_limits, activity).await {
        Ok(body) => body,
        Err(error) => return Err(refuse_body(entry, &head, error, arrived)),
    };
    // The configuration may have changed while the body was read.
    let newest = entry.catalog().ok_or_else(no_configuration)?;
    if !Arc::ptr_eq(&newest, &catalog) {
        found = find_route(&newest, &head).map_err(route_error_response)?;
    }
    let timeout_left = caller_timeout(&found, time_left);
    let RouteMatch { route, organisation } = found;
    let Some(service) = route.choose_service(entry.random_fraction()).cloned()
    else {
        let no_service = reply::not_run_response(
            "the route has no service\n",
            TARGETS_FULL_BACKOFF,
        );
        return Err(Outcome::NoTarget.attach_to(no_service));
    };
    let target_headers =
        headers_for_target(&head.headers, organisation.as_deref());
    let own_priority =
        organisation.as_ref().and_then(|it| it.priority_override);
    let destination = RequestDestination {
        priority: own_priority.unwrap_or(route.priority),
        route,
        service,
    };
    let usual_caller_timeout = entry
        .update_longest_caller_timeout(&destination.route.name, time_left);
    let caller_try = CallerAttempt::classify_by_time_to_deadline(
        time_left,
        usual_caller_timeout,
    );
    let times =
        RequestTimes { arrived, deadline: arrived + timeout_left, caller_try };
    head.headers = target_headers;
    Ok(Call::new(head, body, destination, times))
}

/// How long a caller waits for the answer to a request, at most for as long as
/// its route allows.
fn caller_timeout(found: &RouteMatch, time_left: Millis) -> Millis {
    found.route.response_timeout.map_or(time_left, |it| it.min(time_left))
}

/// Reads a body, unless its connection has to make room for another one.
async fn read_body(
    entry: &Entry,
    body: &mut Incoming,
    limits: BodyLimits,
    activity: &ConnectionActivity,
) -> Result<StoredBody, BodyError> {
    if body.is_end_stream() {
        return Ok(StoredBody::default());
    }
    let _unfinished = activity.start_body();
    let account = &entry.caller_memory;
    let on_headway = |at| activity.note_body_headway(at);
    tokio::select! {
        biased;
        read = body::read_body(body, account, limits, on_headway) => read,
        () = activity.body_eviction_requested() => Err(BodyError::Evicted),
    }
}

/// The response to a request whose body was not read to its end.
fn refuse_body(
    entry: &Entry,
    head: &request::Parts,
    error: BodyError,
    arrived: Millis,
) -> Response<Body> {
    entry.metrics.record_refused_body(error.label());
    let usage = entry.caller_memory.usage();
    if let Some(count) = entry.refused_body_line.count(Millis::now()) {
        let id = head.headers.get(&header::REQUEST_ID);
        let id = id.and_then(|it| it.to_str().ok()).unwrap_or("-");
        info!(entry.log, "body_refused"; "request" => id, "count" => count,
            "reason" => error.label(), "held" => usage.held_bytes,
            "allowed" => usage.capacity_bytes,
            "unfinished" => usage.upload_count,
            "took" => Millis::now().since(arrived).0);
    }
    let mut refusal = match error {
        BodyError::TooLarge => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            bad_request(status, "the body is too large\n")
        }
        BodyError::Incomplete => {
            let status = StatusCode::BAD_REQUEST;
            bad_request(status, "the body ends early\n")
        }
        BodyError::TimedOut => {
            let status = StatusCode::REQUEST_TIMEOUT;
            bad_request(status, "the body takes too long\n")
        }
        BodyError::NoRoom => Outcome::NoMemory.attach_to(
            reply::not_run_response("no memory\n", NO_MEMORY_RETRY_DELAY),
        ),
        BodyError::Evicted => {
            Outcome::BodyEvicted.attach_to(reply::not_run_response(
                "the body made no headway\n",
                NO_MEMORY_RETRY_DELAY,
            ))
        }
    };
    reply::set_connection_close(&mut refusal);
    refusal
}

fn no_configuration() -> Response<Body> {
    let starting =
        reply::not_run_response("starting\n", NO_CONFIG_RETRY_DELAY);
    Outcome::NoConfiguration.attach_to(starting)
}

fn find_route(
    catalog: &RoutingCatalog,
    head: &request::Parts,
) -> Result<RouteMatch, RouteError> {
    let text = |name: HeaderName| {
        head.headers.get(name).and_then(|it| it.to_str().ok())
    };
    let host = text(standard::HOST).or(head.uri.host()).unwrap_or_default();
    let key = text(standard::AUTHORIZATION).and_then(|it| {
        let (scheme, key) = it.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
    });
    catalog.find_route(host, head.uri.path(), key)
}

fn route_error_response(error: RouteError) -> Response<Body> {
    let (outcome, status, text) = match error {
        RouteError::NoRoute => {
            (Outcome::NoRoute, StatusCode::NOT_FOUND, "no such route\n")
        }
        RouteError::BadKey => {
            (Outcome::BadKey, StatusCode::UNAUTHORIZED, "no such key\n")
        }
    };
    outcome.attach_to(reply::plain_text_response(status, text))
}

fn bad_request(status: StatusCode, text: &'static str) -> Response<Body> {
    Outcome::BadRequest.attach_to(reply::plain_text_response(status, text))
}

/// The caller's headers as they are sent to targets, without hop-by-hop
/// headers and headers that only the entry process may set.
fn headers_for_target(
    headers: &HeaderMap,
    organisation: Option<&Organisation>,
) -> HeaderMap {
    let mut target_headers = headers.clone();
    remove_hop_by_hop_headers(&mut target_headers);
    for name in [
        standard::CONTENT_LENGTH,
        standard::AUTHORIZATION,
        standard::EXPECT,
        header::ORGANISATION,
        header::EXPECTED_TARGET,
        header::URGENCY,
    ] {
        target_headers.remove(name);
    }
    let name = organisation.map(|it| &*it.name);
    if let Some(name) = name.and_then(|it| HeaderValue::from_str(it).ok()) {
        target_headers.insert(header::ORGANISATION, name);
    }
    target_headers
}

/// Removes hop-by-hop headers, including those that the `Connection` header
/// lists.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed_headers: Vec<HeaderName> = headers
        .get_all(standard::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| HeaderName::from_bytes(it.trim().as_bytes()).ok())
        .collect();
    for name in listed_headers.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

fn parse_header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// The fingerprint of a request: a digest of everything that affects how a
/// target runs it, and the shared parts of its prompt. The organisation stands
/// for the caller, of whom targets see nothing else.
pub fn compute_fingerprint(
    head: &request::Parts,
    body: &StoredBody,
) -> Fingerprint {
    let text =
        |name| head.headers.get(name).map_or(&[][..], |it| it.as_bytes());
    let path = head.uri.path_and_query().map_or("/", |it| it.as_str());
    let parts = [
        text(&header::ORGANISATION),
        text(&standard::HOST),
        head.method.as_str().as_bytes(),
        path.as_bytes(),
    ];
    let pieces = body.pieces().iter().map(|it| &**it);
    let request = WorkDigest::new_with_body(&parts, pieces);
    Fingerprint::new(request)
        .with_prompt_parts(&prompt::shared_part_ids(&head.headers))
}
