//! Streams: whole, in order, resumed, and followed when the caller leaves.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cowsliproad_kernel::gossip::{self, Datagram, EngineLoad};
use cowsliproad_net::client::Client;
use cowsliproad_platform::header;
use cowsliproad_platform_standin::target::{Fault, Target, TargetConfig};
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::{net::UdpSocket, time::sleep};

use crate::harness::{Entry, KEY, Plant, numbers, report, until};

/// An engine that streams.
fn engine(id: &str, pause: u64) -> TargetConfig {
    TargetConfig::new(id, "model", "a")
        .with_events(20, Duration::from_millis(pause))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_comes_whole_and_in_order() {
    let mut plant = Plant::start().await;
    plant.target_with(engine("i-1", 2)).await;
    let entry = plant.entry().await;
    let answer = entry.ask("/stream/a").await.expect("an answer");
    assert_eq!(numbers(answer.body()), (1..=20).collect::<Vec<_>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_inside_an_event_goes_on_elsewhere() {
    let mut plant = Plant::start().await;
    let one = plant.target_with(engine("i-1", 2)).await;
    let two = plant.target_with(engine("i-2", 2)).await;
    let entry = plant.entry().await;
    one.set_fault(Fault::Cut);
    // Which target a stream begins at is left to chance.
    until("a stream was cut and went on elsewhere", async || {
        let answer = entry.ask("/stream/a").await.expect("an answer");
        assert_eq!(numbers(answer.body()), (1..=20).collect::<Vec<_>>());
        two.executed_requests().iter().any(|it| it.last_event_id == Some(2))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_go_on_does_not_look_complete() {
    let mut plant = Plant::start().await;
    let one = plant.target_with(engine("i-1", 2)).await;
    let two = plant.target_with(engine("i-2", 2)).await;
    let entry = plant.entry().await;
    one.set_fault(Fault::Cut);
    two.set_fault(Fault::Cut);
    let answer = entry.ask("/stream/a").await;
    assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_may_resume_its_stream() {
    let mut plant = Plant::start().await;
    plant.target_with(engine("i-1", 2)).await;
    let entry = plant.entry().await;
    let mut request = entry.request("/stream/a", KEY, "");
    request.headers_mut().insert(header::LAST_EVENT_ID, 5.into());
    let answer = Client::new().send(request).await.expect("an answer");
    let body = answer.into_body().collect().await.expect("a body");
    assert_eq!(numbers(&body.to_bytes()), (6..=20).collect::<Vec<_>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_target_stops_soon_after_the_caller_left() {
    let mut plant = Plant::start().await;
    let target = plant.target_with(engine("i-1", 200)).await;
    let entry = plant.entry().await;
    let client = Client::new();
    let request = entry.request("/stream/a", KEY, "");
    let mut answer = client.send(request).await.expect("an answer");
    let first = answer.body_mut().frame().await;
    assert!(first.is_some_and(|it| it.is_ok()));
    assert_eq!(target.in_flight_streams(), 1);
    drop(answer);
    drop(client);
    let left = std::time::Instant::now();
    until("the target stops", async || target.in_flight_streams() == 0).await;
    assert!(left.elapsed() < Duration::from_millis(600), "{left:?}");
}

/// What the agents of some targets tell an entry.
pub struct Agents {
    loads: Mutex<Vec<EngineLoad>>,
    /// Whether the group's passes go on.
    going: AtomicBool,
}

impl Agents {
    /// Reports for targets, ten times a second, until the test ends.
    pub async fn start(
        entry: &Entry,
        targets: &[&Arc<Target>],
    ) -> Arc<Agents> {
        let load = |target: &&Arc<Target>| report(target);
        let agents = Arc::new(Agents {
            loads: Mutex::new(targets.iter().map(load).collect()),
            going: AtomicBool::new(true),
        });
        let to = entry.settings.own_peer_address();
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let telling = agents.clone();
        tokio::spawn(async move {
            loop {
                let loads = {
                    let mut loads = telling.loads.lock().expect("no panic");
                    if telling.going.load(Ordering::Relaxed) {
                        loads
                            .iter_mut()
                            .for_each(|it| it.last_forward_pass += 2);
                    }
                    loads.clone()
                };
                for load in loads {
                    let bytes = gossip::encode(&Datagram::Load(load));
                    let _ = socket.send_to(&bytes, to).await;
                }
                sleep(Duration::from_millis(100)).await;
            }
        });
        agents
    }

    /// Has them report something else.
    pub fn change(&self, with: impl FnOnce(&mut Vec<EngineLoad>)) {
        with(&mut self.loads.lock().expect("no panic"));
    }

    /// Has the group begin no more passes.
    pub fn stop(&self) {
        self.going.store(false, Ordering::Relaxed);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_falls_silent_while_its_group_goes_on_is_resumed() {
    let mut plant = Plant::start().await;
    let one = plant.target_with(engine("i-1", 20)).await;
    let two = plant.target_with(engine("i-2", 20)).await;
    let entry = plant.entry().await;
    Agents::start(&entry, &[&one, &two]).await;
    one.set_fault(Fault::Silent);
    until("a stream fell silent and went on elsewhere", async || {
        let answer = entry.ask("/stream/a").await.expect("a whole stream");
        assert_eq!(numbers(answer.body()), (1..=20).collect::<Vec<_>>());
        two.executed_requests().iter().any(|it| it.last_event_id == Some(3))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_moved_away_from_a_rank_that_turns_slow() {
    let mut plant = Plant::start().await;
    let one = plant.target_with(engine("i-1", 100)).await;
    let two = plant.target_with(engine("i-2", 100)).await;
    let entry = plant.entry().await;
    let agents = Agents::start(&entry, &[&one, &two]).await;
    let request = entry.request("/stream/a", KEY, "");
    let client = Client::new();
    let mut answer = client.send(request).await.expect("an answer");
    let first = answer.body_mut().frame().await;
    assert!(first.is_some_and(|it| it.is_ok()));
    let (slow, well) =
        if one.in_flight_streams() > 0 { (&one, &two) } else { (&two, &one) };
    agents.change(|loads| {
        let slow = slow.listen_address();
        let load = loads.iter_mut().find(|it| Some(it.engine_address) == slow);
        load.expect("it is listed").service_time_percent_of_normal = 1_200;
    });
    until("the slow rank is left", async || slow.in_flight_streams() == 0)
        .await;
    let body = answer.into_body().collect().await.expect("a whole stream");
    let ids = numbers(&body.to_bytes());
    assert_eq!(ids.last(), Some(&20));
    assert!(ids.windows(2).all(|it| it[1] == it[0] + 1), "{ids:?}");
    assert_eq!(well.executed_requests().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_group_is_waited_for_and_then_the_caller_is_told_when() {
    let mut plant = Plant::start().await;
    let one = plant.target_with(engine("i-1", 2)).await;
    let entry = plant.entry().await;
    let agents = Agents::start(&entry, &[&one]).await;
    agents.change(|loads| loads[0].group_accepts_requests = false);
    until("the entry knows", async || {
        let answer = entry.ask("/stream/a").await.expect("an answer");
        answer.status() == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    let before = one.arrival_count();
    let answer = entry.ask("/stream/a").await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let after = answer.headers().get(http::header::RETRY_AFTER);
    let after = after.and_then(|it| it.to_str().ok()?.parse::<f64>().ok());
    // Of 4 s some 1.9 s are waited here; a third of the rest is left.
    assert!(after.is_some_and(|it| it > 0.3 && it < 1.0), "{after:?}");
    assert_eq!(one.arrival_count(), before, "a broken group is asked nothing");
    let waiting = entry.ask("/stream/a");
    agents.change(|loads| {
        (loads[0].group_accepts_requests, loads[0].group_epoch) = (true, 2)
    });
    let answer = waiting.await.expect("an answer");
    assert_eq!(numbers(answer.body()), (1..=20).collect::<Vec<_>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_sent_to_a_rank_whose_agent_is_silent() {
    let mut plant = Plant::start().await;
    let one = plant.target_with(engine("i-1", 2)).await;
    let two = plant.target_with(engine("i-2", 2)).await;
    let three = plant.target_with(engine("i-3", 2)).await;
    let entry = plant.entry().await;
    let agents = Agents::start(&entry, &[&one, &two, &three]).await;
    until("all are used", async || {
        let answer = entry.ask("/stream/a").await;
        assert!(answer.is_ok());
        [&one, &two, &three].iter().all(|it| it.arrival_count() > 0)
    })
    .await;
    let gone = three.listen_address();
    agents.change(|loads| loads.retain(|it| Some(it.engine_address) != gone));
    // Reports come ten times a second; silence is noticed after ten.
    sleep(Duration::from_millis(1_500)).await;
    let before = three.arrival_count();
    for _ in 0..20 {
        let answer = entry.ask("/stream/a").await;
        assert!(answer.is_ok());
    }
    assert_eq!(three.arrival_count(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_that_one_rank_calls_broken_is_asked_by_nobody() {
    let mut plant = Plant::start().await;
    let one = plant.target_with(engine("i-1", 2)).await;
    let two = plant.target_with(engine("i-2", 2)).await;
    let entry = plant.entry().await;
    let agents = Agents::start(&entry, &[&one, &two]).await;
    until("both are used", async || {
        assert!(entry.ask("/stream/a").await.is_ok());
        one.arrival_count() > 0 && two.arrival_count() > 0
    })
    .await;
    // The agents have not noticed yet.
    one.set_fault(Fault::GroupBroken);
    two.set_fault(Fault::GroupBroken);
    let before = one.arrival_count() + two.arrival_count();
    let waiting = tokio::spawn({
        let request = entry.request("/stream/a", KEY, "");
        async move {
            let client = Client::new();
            client.call(request, 1 << 20, Duration::from_secs(10)).await
        }
    });
    until("one refuses", async || {
        one.arrival_count() + two.arrival_count() > before
    })
    .await;
    // A second rank would have been asked long before.
    sleep(Duration::from_millis(300)).await;
    assert_eq!(one.arrival_count() + two.arrival_count(), before + 1);
    one.set_fault(Fault::None);
    two.set_fault(Fault::None);
    agents.change(|loads| loads.iter_mut().for_each(|it| it.group_epoch = 2));
    let answer = waiting.await.expect("no panic").expect("an answer");
    assert_eq!(numbers(answer.body()), (1..=20).collect::<Vec<_>>());
}
