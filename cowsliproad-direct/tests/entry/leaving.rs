//! Targets that say in an answer that they are leaving get nothing new, from
//! any entry.

use std::time::Duration;

use cowsliproad_kernel::gossip::{self, Datagram, EngineLoad};
use cowsliproad_platform_standin::target::{Fault, Target, TargetConfig};
use http::StatusCode;
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    harness::{Entry, KEY, Plant, numbers, report, until},
    limits::load,
};

const PAUSE: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

/// In which all entries have to know.
const TOLD: Duration = Duration::from_millis(600);

/// Has a target answer one request of an entry.
async fn answer_once(entry: &Entry, target: &Target, path: &str) {
    let before = target.arrival_count();
    until("the target answers a request", async || {
        entry.ask(path).await.expect("an answer");
        target.arrival_count() > before
    })
    .await;
}

/// Guards against requests to a target whose answers say that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_so_gets_nothing_new() {
    let cases = [
        ("/many/a", "plain", Fault::None),
        ("/once/a", "plain", Fault::None),
        ("/many/a", "plain", Fault::Refuse),
        ("/many/a", "plain", Fault::Failing),
        ("/stream/a", "model", Fault::None),
        ("/stream/a", "model", Fault::GroupBroken),
    ];
    for (path, service, fault) in cases {
        let mut plant = Plant::start().await;
        let targets = plant.uneven_targets(service).await;
        let entries = plant.entries(2).await;
        targets[0].set_leaving_header(Some("1"));
        targets[0].set_fault(fault);
        answer_once(&entries[0], &targets[0], path).await;
        let before = targets[0].arrival_count();
        let heard = load(&entries[..1], path, PAUSE, SECOND / 2).await;
        assert_eq!((heard.refused, heard.other), (0, 0), "{path}: {heard:?}");
        assert_eq!(targets[0].arrival_count(), before, "{path} {fault:?}");
        // The other entry was told, though no request of its own was answered.
        sleep(TOLD).await;
        load(&entries, path, PAUSE, SECOND).await;
        assert_eq!(targets[0].arrival_count(), before, "{path} {fault:?}");
    }
}

/// Guards against an answer under way that is cut off as its target leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_leaving_target_is_whole() {
    let mut plant = Plant::start().await;
    let config = TargetConfig::new("i-1", "model", "a")
        .with_events(20, Duration::from_millis(30));
    let target = plant.target_with(config).await;
    let entry = plant.entry().await;
    target.set_leaving_header(Some("1"));
    let answer = entry.ask("/stream/a").await.expect("a stream");
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(numbers(answer.body()), (1..=20).collect::<Vec<_>>());
    assert_eq!(target.arrival_count(), 1);
}

/// Guards against values other than 1 that take a target out of use.
#[tokio::test(flavor = "multi_thread")]
async fn other_values_are_no_leaving() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    for value in ["0", "", "no", "false", "-1", "maybe", "11"] {
        target.set_leaving_header(Some(value));
        for _ in 0..3 {
            let answer = entry.ask("/many/a").await.expect("an answer");
            assert_eq!(answer.status(), StatusCode::OK, "{value:?}");
        }
    }
}

/// Guards against a successor under the name of a target that left, which is
/// held to its predecessor's words, also where those come late.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_is_not_leaving() {
    let mut plant = Plant::start().await;
    let config =
        |start| TargetConfig::new("i-1", "plain", "a").with_start_time(start);
    let first = plant.target_with(config(1)).await;
    let entry = plant.entry().await;
    first.set_fault(Fault::Slow(SECOND));
    first.set_leaving_header(Some("1"));
    let request = entry.request("/once/a", KEY, "body");
    let asked = tokio::spawn(async move {
        let client = cowsliproad_net::client::Client::new();
        client.call(request, 1 << 20, 4 * SECOND).await
    });
    until("it is under way", async || first.arrival_count() > 0).await;
    let next = plant.target_with(config(2)).await;
    until("the successor serves", async || {
        entry.ask("/many/a").await.expect("an answer");
        next.arrival_count() > 0
    })
    .await;
    let answer = asked.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    for _ in 0..5 {
        let answer = entry.ask("/many/a").await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert!(next.arrival_count() >= 6);
}

/// Guards against an agent's word of its engine's leaving that is not read.
#[tokio::test(flavor = "multi_thread")]
async fn an_agents_word_that_its_engine_is_leaving_counts() {
    let mut plant = Plant::start().await;
    let targets = plant.uneven_targets("model").await;
    let entry = plant.entry().await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let tell = async |start: u64| {
        let load = EngineLoad {
            draining: true,
            engine_start_unix_ms: start,
            ..report(&targets[0])
        };
        let bytes = gossip::encode(&Datagram::Load(load));
        let to = entry.settings.own_peer_address();
        socket.send_to(&bytes, to).await.expect("it is sent");
        sleep(Duration::from_millis(100)).await;
    };
    let knows = async || entry.metric("targets").await;
    // What another start at that address says is none of this one's business.
    tell(9).await;
    sleep(TOLD).await;
    assert_eq!(knows().await, Some(3.0));
    tell(1).await;
    until("it is out of use", async || knows().await == Some(2.0)).await;
    let before = targets[0].arrival_count();
    load(&[&entry], "/stream/a", PAUSE, SECOND / 2).await;
    assert_eq!(targets[0].arrival_count(), before);
}
