//! The naive baseline on the users' platform: what one would write in an
//! afternoon, and what every figure of `cowsliproad-direct` is to show
//! against. It is measured and never shipped.
//!
//! A random ready target, no second try, no resumption, no order of urgency,
//! nothing held back, and nobody who leads an expert map. The platform's log
//! is polled. What comes back is passed on as it comes.

#![forbid(unsafe_code)]

use std::{
    cell::RefCell, collections::BTreeMap, convert::Infallible, io,
    process::ExitCode, rc::Rc, sync::Arc,
};

use bytes::Bytes;
use cowsliproad_direct::settings::Settings;
use cowsliproad_kernel::{Name, clock::Millis};
use cowsliproad_net::program;
use cowsliproad_platform::{
    READINESS_PATH, SETTINGS_VARIABLE, catalog, header,
    log::{CONFIG_TOPIC, Client, Page, TARGETS_TOPIC},
    target,
};
use cowsliproad_routing::{
    catalog::RoutingCatalog,
    fleet::{Target, TargetState},
};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    body::Incoming, client::conn::http1 as outgoing,
    server::conn::http1 as incoming, service::service_fn,
};
use hyper_util::rt::TokioIo;
use rand::seq::IteratorRandom;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// How often the log is polled.
const POLL_TIME: Millis = Millis(1_000);

type Body = UnsyncBoxBody<Bytes, hyper::Error>;

/// What it knows.
#[derive(Default)]
struct Front {
    catalog: Option<Arc<RoutingCatalog>>,
    targets: BTreeMap<Name, Target>,
}

type Shared = Rc<RefCell<Front>>;

fn main() -> ExitCode {
    let about = "Passes requests on to random targets";
    let (_, settings) = program::load_settings_or_env(
        "cowsliproad-naive",
        about,
        &Settings::example(),
        SETTINGS_VARIABLE,
    );
    match program::run_single_threaded(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("can't run: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings) -> io::Result<()> {
    let front = Shared::default();
    tokio::task::spawn_local(follow(front.clone(), settings.clone()));
    let readiness = TcpListener::bind(settings.readiness_address).await?;
    tokio::task::spawn_local(serve(front.clone(), readiness));
    let callers = TcpListener::bind(settings.caller_listen_address).await?;
    tokio::select! {
        () = serve(front, callers) => {}
        () = program::wait_for_stop_signal() => {}
    }
    Ok(())
}

async fn follow(front: Shared, settings: Settings) {
    let mut client = Client::new(settings.log_address);
    loop {
        // What could not be read is read the next time.
        if let Ok(page) = client.read_newest(CONFIG_TOPIC).await {
            take_catalog(&front, page);
        }
        if let Ok(page) = client.read_newest(TARGETS_TOPIC).await {
            take_targets(&front, page);
        }
        sleep(POLL_TIME.duration()).await;
    }
}

fn take_catalog(front: &Shared, page: Page) {
    let record =
        page.records.into_iter().find(|it| it.key == catalog::CONFIG_KEY);
    let raw = record.and_then(|it| it.value);
    if let Some(Ok(read)) = raw.map(|it| catalog::decode(&it)) {
        front.borrow_mut().catalog = Some(Arc::new(read));
    }
}

fn take_targets(front: &Shared, page: Page) {
    let read = page.records.iter().filter_map(|record| {
        target::decode(&record.key, record.value.as_ref()?).ok()
    });
    let ready = read.filter(|it| it.state == TargetState::Ready);
    front.borrow_mut().targets = ready.map(|it| (it.id.clone(), it)).collect();
}

async fn serve(front: Shared, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let front = front.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let front = front.clone();
                async move { Ok::<_, Infallible>(answer(&front, request).await) }
            });
            // Whoever breaks off has nobody left to tell.
            let _ = incoming::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(front: &Shared, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == READINESS_PATH {
        let front = front.borrow();
        let ready = front.catalog.is_some() && !front.targets.is_empty();
        let (yes, no) = (StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE);
        return own(if ready { yes } else { no });
    }
    match forward(front, request).await {
        Ok(answer) => answer,
        Err(status) => own(status),
    }
}

async fn forward(
    front: &Shared,
    request: Request<Incoming>,
) -> Result<Response<Body>, StatusCode> {
    let (mut head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| StatusCode::BAD_REQUEST)?;
    let (chosen, organisation) = choose(front, &head)?;
    head.headers.remove(http::header::AUTHORIZATION);
    head.headers.remove(http::header::TRANSFER_ENCODING);
    head.headers.remove(http::header::CONTENT_LENGTH);
    head.headers.remove(header::ORGANISATION);
    let value = |text: &str| HeaderValue::from_str(text).ok();
    if let Some(name) = organisation.as_deref().and_then(value) {
        head.headers.insert(header::ORGANISATION, name);
    }
    if let Some(id) = value(&chosen.id) {
        head.headers.insert(header::EXPECTED_TARGET, id);
    }
    let sent = Request::from_parts(head, Full::new(body.to_bytes()));
    let failed = |_| StatusCode::BAD_GATEWAY;
    let stream = TcpStream::connect(chosen.address)
        .await
        .map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    let (mut sender, connection) =
        outgoing::handshake(TokioIo::new(stream)).await.map_err(failed)?;
    tokio::task::spawn_local(async move {
        // How it failed shows in the answer that it carried.
        let _ = connection.await;
    });
    let answer = sender.send_request(sent).await.map_err(failed)?;
    Ok(answer.map(|body| body.boxed_unsync()))
}

/// A random target, and the organisation that the caller's key belongs to.
fn choose(
    front: &Shared,
    head: &http::request::Parts,
) -> Result<(Target, Option<Name>), StatusCode> {
    let front = front.borrow();
    let unknown = StatusCode::SERVICE_UNAVAILABLE;
    let catalog = front.catalog.as_ref().ok_or(unknown)?;
    let text = |name: http::HeaderName| {
        head.headers.get(name).and_then(|it| it.to_str().ok())
    };
    let host = text(http::header::HOST).unwrap_or_default();
    let key = text(http::header::AUTHORIZATION)
        .and_then(|it| it.strip_prefix("Bearer "));
    let found = catalog
        .find_route(host, head.uri.path(), key)
        .map_err(|_| StatusCode::NOT_FOUND)?;
    let mut random = rand::rng();
    let draw = rand::Rng::random(&mut random);
    let service = found.route.choose_service(draw).ok_or(unknown)?;
    let targets = front.targets.values();
    let target = targets
        .filter(|it| it.service == *service)
        .choose(&mut random)
        .ok_or(unknown)?;
    Ok((target.clone(), found.organisation.map(|it| it.name.clone())))
}

fn own(status: StatusCode) -> Response<Body> {
    let never = |it: Infallible| match it {};
    let mut answer =
        Response::new(Full::default().map_err(never).boxed_unsync());
    *answer.status_mut() = status;
    answer
}
