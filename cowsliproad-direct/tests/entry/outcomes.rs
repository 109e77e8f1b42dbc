//! Counters that split what was not served by service, route, availability zone
//! and reason.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use cowsliproad_kernel::{
    clock::Millis,
    gossip::{self, Datagram, EngineLoad},
};
use cowsliproad_net::client::Client;
use cowsliproad_platform_standin::target::Fault;
use http::Request;
use http_body_util::Full;
use tokio::net::UdpSocket;

use crate::harness::{Entry, KEY, PATIENCE, Plant, report, until};

/// The labels of one line of metrics.
pub type Labels = BTreeMap<String, String>;

/// The values of a metric of an entry, by their labels.
pub async fn values(entry: &Entry, name: &str) -> Vec<(Labels, f64)> {
    let uri = format!("http://{}/metrics", entry.settings.readiness_address);
    let request = Request::get(uri).body(Full::<Bytes>::default());
    let request = request.expect("a request");
    let answer = Client::new().call(request, 1 << 20, PATIENCE).await;
    let Ok(answer) = answer else { return Vec::new() };
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    text.lines().filter_map(|it| value(it, name)).collect()
}

/// The labels and value of a line, if the line is of this metric.
fn value(line: &str, name: &str) -> Option<(Labels, f64)> {
    let (labels, value) =
        line.strip_prefix(name)?.split_once('{')?.1.rsplit_once('}')?;
    let labels = labels.split(',').filter_map(|it| {
        let (label, text) = it.split_once('=')?;
        Some((label.to_string(), text.trim_matches('"').to_string()))
    });
    Some((labels.collect(), value.trim().parse().ok()?))
}

/// The sum of a metric's values with a label.
async fn sum(entry: &Entry, name: &str, label: &str, value: &str) -> f64 {
    let all = values(entry, name).await;
    let found =
        all.iter().filter(|it| it.0.get(label).is_some_and(|it| it == value));
    found.map(|it| it.1).sum()
}

async fn tell_load(load: EngineLoad, entry: &Entry) {
    let bytes = gossip::encode(&Datagram::Load(load));
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let to = entry.settings.own_peer_address();
    socket.send_to(&bytes, to).await.expect("the report is sent");
}

async fn until_counted(entry: &Entry, outcome: &str) {
    until(outcome, async || {
        sum(entry, "requests_total", "outcome", outcome).await == 1.0
    })
    .await;
}

/// Guards against a shortfall whose reason only log lines tell.
#[tokio::test(flavor = "multi_thread")]
async fn each_request_is_counted_by_its_outcome() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let mut settings = plant.settings(&[]);
    settings.target_wait_ms = Millis(300);
    let entry = Entry::start(settings);
    entry.until_ready().await;

    entry.status("/many/a", KEY).await;
    until_counted(&entry, "served").await;
    let all = values(&entry, "requests_total").await;
    let (labels, _) = &all[0];
    assert_eq!(labels["service"], "plain");
    assert_eq!(labels["zone"], &*entry.settings.zone);
    assert!(!labels["route"].is_empty());

    entry.status("/many/a", "another key").await;
    until_counted(&entry, "bad_key").await;
    entry.status("/nowhere/a", KEY).await;
    until_counted(&entry, "no_route").await;
    entry.status("/many/model/a", KEY).await;
    until_counted(&entry, "no_target").await;

    target.set_fault(Fault::Shedding);
    entry.status("/once/a", KEY).await;
    until_counted(&entry, "queue_full").await;
    target.set_retry_after(Some("30"));
    entry.status("/once/a", KEY).await;
    until_counted(&entry, "cooldown").await;
    assert_eq!(sum(&entry, "service_targets", "state", "cooling").await, 1.0);
    assert!(sum(&entry, "tries_total", "outcome", "refused").await > 0.0);

    let engine = plant.target("i-2", "model").await;
    until("the engine is known", async || {
        entry.metric("targets").await == Some(2.0)
    })
    .await;
    let broken =
        EngineLoad { group_accepts_requests: false, ..report(&engine) };
    tell_load(broken, &entry).await;
    until("the group is down", async || {
        sum(&entry, "service_targets", "state", "group_down").await == 1.0
    })
    .await;
    entry.status("/many/model/a", KEY).await;
    until_counted(&entry, "group_down").await;
}

/// Guards against a caller who leaves and is counted nowhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_leaves_is_counted() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    target.set_fault(Fault::Slow(Duration::from_secs(3)));
    let entry = plant.entry().await;
    let request = entry.request("/once/a", KEY, "");
    let patience = Duration::from_millis(200);
    let answer = Client::new().call(request, 1 << 20, patience).await;
    assert!(answer.is_err());
    until_counted(&entry, "caller_left").await;
}

/// Guards against an entry that turns the balancer away without a reason.
#[tokio::test(flavor = "multi_thread")]
async fn a_readiness_check_is_counted_by_its_answer() {
    let mut plant = Plant::start().await;
    let settings = plant.settings(&[]);
    let entry = Entry::start(settings);
    until("the check is counted", async || {
        entry.is_ready().await;
        sum(&entry, "readiness_checks_total", "answer", "no_target").await
            > 0.0
    })
    .await;
    let _target = plant.target("i-1", "plain").await;
    entry.until_ready().await;
    assert!(
        sum(&entry, "readiness_checks_total", "answer", "ready").await > 0.0
    );
}
