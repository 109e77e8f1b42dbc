//! Crowds that take connections, and callers that don't read.

use std::{sync::Arc, time::Duration};

use cowsliproad_direct::settings::Settings;
use cowsliproad_platform_standin::{catalog::RouteKind, target::TargetConfig};
use http::StatusCode;
use rustix::process::Signal;

use crate::{
    callers::{Body, Crowd, head, open},
    harness::{KEY, until},
    usage::Usage,
    vm::{Scene, start_entry},
};

/// The length of an answer that a crowd doesn't read.
const ANSWER_BYTES: usize = (1 << 20) - (4 << 10);

/// Guards against unfinished bodies that hold all connections: ordinary callers
/// were reset.
#[tokio::test(flavor = "multi_thread")]
async fn more_unfinished_bodies_than_connections() {
    let mut scene = Scene::start().await;
    let max = scene.vm.max_body_bytes;
    let writes = Body::with_length(max, 1_024).writes();
    let count = scene.vm.callers_beyond_files();
    let crowd = scene.send_in_waves(count, &writes).await;
    for _ in 0..10 {
        let answer = scene.entry().ask("/many/a").await;
        let status = answer.map(|it| it.status());
        assert_eq!(status.ok(), Some(StatusCode::OK));
    }
    scene.check("more than connections").await;
    crowd.check_answers(&[408, 503]);
}

/// Guards against unfinished heads that hold all connections.
#[tokio::test(flavor = "multi_thread")]
async fn more_unfinished_heads_than_connections() {
    let mut scene = Scene::start().await;
    let text = head("/many/a", &format!("X-Long: {}", "x".repeat(12 << 10)));
    let start = Arc::from(&text.as_bytes()[..12 << 10]);
    let count = scene.vm.callers_beyond_files();
    let crowd = scene.send_in_waves(count, &[start]).await;
    scene.check("unfinished heads").await;
    drop(crowd);
}

/// Guards against requests that are sent ahead and wait unread, on connections
/// whose windows have grown with a large body.
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_ahead_of_their_answers() {
    let mut scene = Scene::start().await;
    let max = scene.vm.max_body_bytes;
    let mut writes = Body::with_length(max, max).writes();
    let slow = head("/slow/ahead", "Content-Length: 0");
    let ahead: Arc<[u8]> =
        slow.repeat((64 << 10) / slow.len()).into_bytes().into();
    writes.extend(vec![ahead; 8 * max / (64 << 10)]);
    let requests = vec![writes; scene.vm.callers_beyond_memory()];
    let crowd = Crowd::send(scene.address(), requests).await;
    scene.until_at_rest(&crowd).await;
    scene.check("sent ahead").await;
    crowd.check_answers(&[200, 503]);
}

/// Guards against answers that are kept for callers who don't read them.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_are_not_read() {
    let mut scene = Scene::start().await;
    let config = TargetConfig::new("model-1", "model", "a")
        .with_events(10_000, Duration::ZERO)
        .with_event_padding(200 << 10);
    scene.plant.target_with(config).await;
    until("the target is known", async || {
        scene.entry().metric("targets").await >= Some(9.0)
    })
    .await;
    let request = head("/stream/a", "Content-Length: 0");
    let count = scene.vm.open_files / 10;
    let streams = open(scene.address(), count, request.as_bytes()).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    scene.check("unread streams").await;
    drop(streams);
}

/// Guards against the same with whole answers.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_are_not_read() {
    let mut scene = Scene::start().await;
    let config = TargetConfig::new("large-1", "large", "a")
        .with_event_padding(ANSWER_BYTES);
    scene.plant.catalog = scene
        .plant
        .catalog
        .clone()
        .with_service("large")
        .with_route("/large/", RouteKind::Once, "large", 600_000);
    scene.plant.catalog.publish(&scene.plant.log);
    scene.plant.target_with(config).await;
    until("the target is known", async || {
        scene.entry().status("/large/a", KEY).await == Some(StatusCode::OK)
    })
    .await;
    let request = head("/large/a", "Content-Length: 0");
    let count = scene.vm.memory_mb * (1 << 20) * 8 / 5 / ANSWER_BYTES;
    let answers = open(scene.address(), count, request.as_bytes()).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    scene.check("unread answers").await;
    drop(answers);
}

/// Guards against bodies without any limit while there is no configuration.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_before_a_configuration() {
    let mut scene = Scene::start().await;
    let vm = scene.vm;
    let settings = scene.plant.settings(&[]);
    // Nobody answers there.
    let log_address = ([127, 0, 0, 1], 9).into();
    let settings = Settings { log_address, ..settings };
    let mut entry = start_entry(vm, settings);
    until("it listens", async || entry.status("/many/a", KEY).await.is_some())
        .await;
    let usage = Usage::watch(entry.process_id());
    let max = vm.max_body_bytes;
    let body = Body::with_length(16 * max, 4 * max);
    let bodies = vec![body; vm.callers_beyond_memory()];
    let crowd =
        Crowd::start(entry.settings.caller_listen_address, bodies).await;
    scene.until_at_rest(&crowd).await;
    let status = entry.status("/many/a", KEY).await;
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(entry.is_running());
    let (memory, files) = usage.peak();
    assert!(memory <= vm.memory_mb << 20, "{memory} bytes");
    assert!(files <= vm.open_files, "{files} files");
    crowd.check_answers(&[503]);
    scene.check("before a configuration").await;
}

/// Guards against unfinished bodies that keep a process from its end.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_while_the_process_stops() {
    let mut scene = Scene::start().await;
    let max = scene.vm.max_body_bytes;
    let bodies = vec![
        Body::with_length(max, max - 1);
        scene.vm.callers_beyond_memory()
    ];
    let crowd = Crowd::start(scene.address(), bodies.clone()).await;
    scene.until_at_rest(&crowd).await;
    scene.entry().signal(Signal::TERM);
    let more = Crowd::start(scene.address(), bodies).await;
    scene.until_at_rest(&more).await;
    scene.check_process("stopping");
    crowd.check_answers(&[408, 503]);
    more.check_answers(&[408, 503]);
    assert!(scene.entry_mut().ended().await.success());
}
