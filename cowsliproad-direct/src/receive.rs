//! A caller's request, read whole, and where it goes.

use std::rc::Rc;

use cowsliproad_admission::{patience::CallerAttempt, quarantine::WorkDigest};
use cowsliproad_kernel::clock::Millis;
use cowsliproad_platform::header;
use cowsliproad_routing::catalog::{
    Organisation, RouteError, RouteMatch, RoutingCatalog,
};
use http::{
    HeaderMap, HeaderName, HeaderValue, Response, StatusCode,
    header as standard, request,
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    call::{Call, Destination, Span, failure::FULL_BACKOFF},
    entry::Entry,
    reply::{self, Body},
};

/// How long a caller waits that doesn't say how long.
pub const DEFAULT_TIMEOUT: Millis = Millis(30_000);

/// When to come back if an entry knows no configuration or no target yet.
const STARTING_BACKOFF: Millis = Millis(400);

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    standard::CONNECTION,
    standard::TRANSFER_ENCODING,
    standard::TE,
    standard::TRAILER,
    standard::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Reads a request whole and finds out where it goes.
pub async fn receive(
    entry: &Rc<Entry>,
    mut head: request::Parts,
    body: Incoming,
    arrived: Millis,
) -> Result<Call, Response<Body>> {
    let left = number(&head.headers, &header::TIME_LEFT).map(Millis);
    let left = left.unwrap_or(DEFAULT_TIMEOUT);
    let catalog = entry.catalog();
    let most = catalog
        .as_ref()
        .map_or(usize::MAX, |it| it.request_limits().max_body_bytes);
    let body = timeout(left.duration(), Limited::new(body, most).collect());
    let body = match body.await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(reply::plain(status, "the body is too large\n"));
        }
        Ok(Err(_)) => {
            let status = StatusCode::BAD_REQUEST;
            return Err(reply::plain(status, "the body ends early\n"));
        }
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            return Err(reply::plain(status, "the body takes too long\n"));
        }
    };
    // A version that came while the body was read counts.
    let Some(catalog) = entry.catalog() else {
        return Err(reply::not_run("starting\n", STARTING_BACKOFF));
    };
    let found = find(&catalog, &head).map_err(refuse)?;
    let RouteMatch { route, organisation } = found;
    let Some(service) = route.choose_service(entry.draw()).cloned() else {
        return Err(reply::not_run(
            "the route has no service\n",
            FULL_BACKOFF,
        ));
    };
    let time = route.response_timeout.map_or(left, |it| it.min(left));
    let headers = passed_on(&head.headers, organisation.as_deref());
    let rank = organisation.as_ref().and_then(|it| it.priority);
    let target = Destination {
        priority: rank.unwrap_or(route.priority),
        route,
        service,
    };
    let most = entry.patience_of(&target.route.name, left);
    let caller_try = CallerAttempt::classify_by_time_to_deadline(left, most);
    let time = Span { arrived, until: arrived + time, caller_try };
    head.headers = headers;
    Ok(Call::new(head, body, target, time))
}

fn find(
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

fn refuse(refusal: RouteError) -> Response<Body> {
    match refusal {
        RouteError::NoRoute => {
            reply::plain(StatusCode::NOT_FOUND, "no such route\n")
        }
        RouteError::BadKey => {
            reply::plain(StatusCode::UNAUTHORIZED, "no such key\n")
        }
    }
}

/// The headers that targets get: the caller's, without those that concern
/// one connection or that only we may set.
fn passed_on(
    headers: &HeaderMap,
    organisation: Option<&Organisation>,
) -> HeaderMap {
    let mut passed = headers.clone();
    drop_hop_by_hop(&mut passed);
    for name in [
        standard::CONTENT_LENGTH,
        standard::AUTHORIZATION,
        standard::EXPECT,
        header::ORGANISATION,
        header::EXPECTED_TARGET,
        header::URGENCY,
    ] {
        passed.remove(name);
    }
    let name = organisation.map(|it| &*it.name);
    if let Some(name) = name.and_then(|it| HeaderValue::from_str(it).ok()) {
        passed.insert(header::ORGANISATION, name);
    }
    passed
}

/// Drops the headers that concern one connection only, also those that the
/// connection header names.
pub fn drop_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(standard::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| HeaderName::from_bytes(it.trim().as_bytes()).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// What a request is, by all of it that a target could run differently. Who
/// asks is known by the organisation, which is all of it that targets see.
pub fn work_of(head: &request::Parts, body: &[u8]) -> WorkDigest {
    let text =
        |name| head.headers.get(name).map_or(&[][..], |it| it.as_bytes());
    let path = head.uri.path_and_query().map_or("/", |it| it.as_str());
    WorkDigest::new(&[
        text(&header::ORGANISATION),
        text(&standard::HOST),
        head.method.as_str().as_bytes(),
        path.as_bytes(),
        body,
    ])
}
