//! Reads a caller's request and chooses its route and service.

use std::rc::Rc;

use cowsliproad_admission::{
    patience::CallerAttempt,
    quarantine::{Fingerprint, WorkDigest},
};
use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::timer::timeout;
use cowsliproad_platform::{header, prompt};
use cowsliproad_routing::catalog::{
    Organisation, RouteError, RouteMatch, RoutingCatalog,
};
use http::{
    HeaderMap, HeaderName, HeaderValue, Response, StatusCode,
    header as standard, request,
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::{
    call::{
        Call, RequestDestination, RequestTimes, failure::TARGETS_FULL_BACKOFF,
    },
    entry::Entry,
    outcome::Outcome,
    reply::{self, Body},
};

/// The timeout of a request whose caller states none.
pub const DEFAULT_CALLER_TIMEOUT: Millis = Millis(30_000);

/// The retry delay for callers while the entry process has no configuration.
const NO_CONFIG_RETRY_DELAY: Millis = Millis(400);

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

/// Reads the body of a request and chooses its route and service. Returns the
/// response to the caller if either fails.
pub async fn receive_request(
    entry: &Rc<Entry>,
    mut head: request::Parts,
    body: Incoming,
    arrived: Millis,
) -> Result<Call, Response<Body>> {
    let time_left =
        parse_header_number(&head.headers, &header::TIME_LEFT).map(Millis);
    let time_left = time_left.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let catalog = entry.catalog();
    let max_body_bytes = catalog
        .as_ref()
        .map_or(usize::MAX, |it| it.request_limits().max_body_bytes);
    let body = timeout(
        time_left.duration(),
        Limited::new(body, max_body_bytes).collect(),
    );
    let body = match body.await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(bad_request(status, "the body is too large\n"));
        }
        Ok(Err(_)) => {
            let status = StatusCode::BAD_REQUEST;
            return Err(bad_request(status, "the body ends early\n"));
        }
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            return Err(bad_request(status, "the body takes too long\n"));
        }
    };
    // The configuration may have changed while the body was read.
    let Some(catalog) = entry.catalog() else {
        let starting =
            reply::not_run_response("starting\n", NO_CONFIG_RETRY_DELAY);
        return Err(Outcome::NoConfiguration.attach_to(starting));
    };
    let found = find_route(&catalog, &head).map_err(route_error_response)?;
    let RouteMatch { route, organisation } = found;
    let Some(service) = route.choose_service(entry.random_fraction()).cloned()
    else {
        let no_service = reply::not_run_response(
            "the route has no service\n",
            TARGETS_FULL_BACKOFF,
        );
        return Err(Outcome::NoTarget.attach_to(no_service));
    };
    let timeout_left =
        route.response_timeout.map_or(time_left, |it| it.min(time_left));
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
pub fn compute_fingerprint(head: &request::Parts, body: &[u8]) -> Fingerprint {
    let text =
        |name| head.headers.get(name).map_or(&[][..], |it| it.as_bytes());
    let path = head.uri.path_and_query().map_or("/", |it| it.as_str());
    let request = WorkDigest::new(&[
        text(&header::ORGANISATION),
        text(&standard::HOST),
        head.method.as_str().as_bytes(),
        path.as_bytes(),
        body,
    ]);
    Fingerprint::new(request)
        .with_prompt_parts(&prompt::shared_part_ids(&head.headers))
}
