//! News of a group or an engine that is read late, or that could be taken for
//! that of another target.

use std::time::{Duration, Instant};

use cowsliproad_kernel::{
    clock::Millis,
    gossip::{self, Datagram, EngineLoad},
};
use cowsliproad_net::client::Client;
use cowsliproad_platform::{header, log::TARGETS_TOPIC};
use cowsliproad_platform_standin::target::{
    Announcement, Fault, TargetConfig,
};
use http::{HeaderValue, StatusCode};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    harness::{Entry, KEY, PATIENCE, Plant, report, until},
    scripted::Scripted,
};

/// A closed group is tried again after 2.5 s without a report, and a request
/// that waits looks twice a second; the rest allows for a busy machine.
const CLOSURE_TIME: Duration = Duration::from_millis(6_000);

/// How long a report takes to arrive.
const REPORTED: Duration = Duration::from_millis(200);

async fn tell_load(load: EngineLoad, entry: &Entry) {
    let bytes = gossip::encode(&Datagram::Load(load));
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let to = entry.settings.own_peer_address();
    socket.send_to(&bytes, to).await.expect("the report is sent");
    sleep(REPORTED).await;
}

/// Guards against a refusal by a broken group that is read after the group
/// formed again, and that closes the new formation.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_by_a_former_formation_closes_no_later_one() {
    let mut plant = Plant::start().await;
    let other = plant.target("i-other", "model").await;
    let target = Scripted::start(&mut plant, "i-1").await;
    let entry = plant.entry().await;
    let address = target.address();
    let load = |epoch| EngineLoad {
        engine_address: address,
        engine_start_unix_ms: 1,
        group_epoch: epoch,
        ..report(&other)
    };
    tell_load(load(1), &entry).await;
    let asking = entry.status("/once/a", KEY);
    let refusing = async {
        until("the request arrives", async || target.arrivals() == 1).await;
        tell_load(load(2), &entry).await;
        let headers = "x-not-executed: 1\r\nat-server: i-2\r\n";
        target.answer("503 Service Unavailable", headers).await;
        until("the target gets a request", async || target.arrivals() == 2)
            .await;
        target.answer("200 OK", "x-response-seal: s\r\n").await;
    };
    let (status, ()) = tokio::join!(asking, refusing);
    assert_eq!(status, Some(StatusCode::OK));
}

/// Guards against one refusal that names a rank at fault and closes the group
/// for good, although its ranks go on in the same formation.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_by_a_group_that_goes_on_closes_it_for_a_while_only() {
    let mut plant = Plant::start().await;
    let config = TargetConfig::new("i-1", "model", "a").with_start_time(1);
    let engine = plant.target_with(config).await;
    let entry = plant.entry().await;
    let load = EngineLoad { engine_start_unix_ms: 1, ..report(&engine) };
    tell_load(load.clone(), &entry).await;
    let path = "/many/model/a";
    assert_eq!(entry.status(path, KEY).await, Some(StatusCode::OK));
    engine.set_fault(Fault::GroupBroken);
    let refused = entry.status(path, KEY).await;
    assert_eq!(refused, Some(StatusCode::SERVICE_UNAVAILABLE));
    engine.set_fault(Fault::None);
    until("the group is tried again", async || {
        tell_load(load.clone(), &entry).await;
        entry.status(path, KEY).await == Some(StatusCode::OK)
    })
    .await;
}

/// Guards against a group that stays closed at an entry that its agents no
/// longer reach.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_group_whose_agents_fall_silent_is_tried_again() {
    let mut plant = Plant::start().await;
    let engine = plant.target("i-1", "model").await;
    let entry = plant.entry().await;
    let broken =
        EngineLoad { group_accepts_requests: false, ..report(&engine) };
    tell_load(broken, &entry).await;
    let path = "/many/model/a";
    let refused = entry.status(path, KEY).await;
    assert_eq!(refused, Some(StatusCode::SERVICE_UNAVAILABLE));
    until("the group is tried again", async || {
        entry.status(path, KEY).await == Some(StatusCode::OK)
    })
    .await;
}

/// Guards against a request that waits for a group until its own time is over,
/// since nothing announces that the closure of the group has ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_for_a_closed_group_sees_the_closure_end() {
    let mut plant = Plant::start().await;
    let engine = plant.target("i-1", "model").await;
    let mut settings = plant.settings(&[]);
    settings.target_wait_ms = Millis(20_000);
    let entry = Entry::start(settings);
    entry.until_ready().await;
    let broken =
        EngineLoad { group_accepts_requests: false, ..report(&engine) };
    tell_load(broken, &entry).await;
    let mut request = entry.request("/many/model/a", KEY, "");
    let patience = HeaderValue::from_static("20000");
    request.headers_mut().insert(header::TIME_LEFT, patience);
    let begun = Instant::now();
    let answer = Client::new().call(request, 1 << 20, PATIENCE).await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
    assert!(begun.elapsed() < CLOSURE_TIME, "{:?}", begun.elapsed());
}

/// Guards against another writer's record with the address of an engine, which
/// takes the reports of the engine's agent.
#[tokio::test(flavor = "multi_thread")]
async fn a_foreign_record_at_an_engines_address_gets_no_reports() {
    let mut plant = Plant::start().await;
    let config = TargetConfig::new("i-1", "model", "a").with_start_time(1);
    let engine = plant.target_with(config).await;
    let entry = plant.entry().await;
    let address = engine.listen_address().expect("it listens");
    let foreign = Announcement {
        service: "unknown",
        listen_address: address,
        zone: "a",
        state: "ready",
        sequence: 1,
        start_unix_ms: None,
    };
    let text = foreign.to_json();
    plant.log.put(TARGETS_TOPIC, "a-foreign", Some(text.as_bytes()));
    until("both records are known", async || {
        entry.metric("targets").await == Some(2.0)
    })
    .await;
    let leaving = EngineLoad {
        draining: true,
        engine_start_unix_ms: 1,
        ..report(&engine)
    };
    tell_load(leaving, &entry).await;
    let before = engine.arrival_count();
    entry.status("/many/model/a", KEY).await;
    assert_eq!(engine.arrival_count(), before);
}
