//! A rank of a lock-step group crashes, which stops the whole group.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_net::client::Client;
use cowsliproad_platform_standin::target::{Target, TargetConfig};
use futures_util::future::join_all;
use http::{StatusCode, header::RETRY_AFTER};
use tokio::time::sleep;

use crate::{
    harness::{Entry, KEY, Plant, numbers, report, tell_lost, until},
    streams::Agents,
};

/// The body of a request that crashes its target.
const POISON: &str = "poison";

/// Events of an answer, and the pause before each. A rank also crashes after a
/// pause: in a group that stands, a retry would not begin before its agent's
/// word has come.
const EVENTS: u64 = 4;
const PAUSE: Duration = Duration::from_millis(250);

/// By then a group whose rank is gone is known to stand.
const BOUND: Duration = Duration::from_millis(300);

/// By then entries no longer tell of what is new to them.
const NEWS_TIME: Duration = Duration::from_millis(5_000);

/// The longest that work is rejected that ran on one crashed rank.
const MAX_SUSPENSION_S: f64 = 30.0;

/// Entries before the ranks of a group.
struct Scene {
    plant: Plant,
    entries: Vec<Entry>,
    ranks: Vec<Arc<Target>>,
    agents: Vec<Arc<Agents>>,
}

impl Scene {
    async fn start(ranks: usize) -> Scene {
        let mut plant = Plant::start().await;
        let mut targets = Vec::new();
        for number in 0..ranks {
            targets.push(rank(&mut plant, number).await);
        }
        let entries = plant.entries(3).await;
        let mut scene =
            Scene { plant, entries, ranks: targets, agents: Vec::new() };
        let targets: Vec<&Arc<Target>> = scene.ranks.iter().collect();
        for entry in &scene.entries {
            scene.agents.push(Agents::start(entry, &targets).await);
        }
        for entry in &scene.entries {
            until_served(entry).await;
        }
        scene
    }

    fn ended(&self) -> Vec<&Arc<Target>> {
        self.ranks.iter().filter(|it| it.process_has_ended()).collect()
    }

    /// Requests that came to any rank.
    fn arrivals(&self) -> u64 {
        self.ranks.iter().map(|it| it.arrival_count()).sum()
    }

    /// Has a rank end by its agent's word.
    async fn lose(&self, rank: &Target) {
        let address = rank.listen_address().expect("it listened");
        for agents in &self.agents {
            agents.change(|loads| {
                loads.retain(|it| it.engine_address != address)
            });
        }
        for entry in &self.entries {
            tell_lost(address, entry.settings.own_peer_address()).await;
        }
    }

    /// Has agents report something else of the group.
    fn report(&self, epoch: u64, open: bool) {
        for agents in &self.agents {
            agents.change(|loads| {
                for load in loads {
                    (load.group_epoch, load.group_accepts_requests) =
                        (epoch, open);
                }
            });
        }
    }

    /// Has the ranks that are left open in a new formation.
    async fn form_again(&self) {
        self.report(2, true);
        for entry in &self.entries {
            until_served(entry).await;
        }
    }

    /// Crashes a rank with a request through the first entry.
    async fn crash(&self) {
        let poison = self.entries[0].ask_with("/stream/a", KEY, POISON);
        let ending = async {
            until("a rank has ended", async || !self.ended().is_empty()).await;
            for rank in self.ended() {
                self.lose(rank).await;
            }
            // Both its retry and its caller's return find the group formed.
            self.form_again().await;
        };
        let _ = tokio::join!(poison, ending);
    }
}

/// Waits until the group serves a request through an entry.
async fn until_served(entry: &Entry) {
    until("the group is used", async || {
        entry.status("/stream/a", KEY).await == Some(StatusCode::OK)
    })
    .await;
}

async fn rank(plant: &mut Plant, number: usize) -> Arc<Target> {
    let config = TargetConfig::new(&format!("i-{number}"), "model", "a")
        .with_events(EVENTS, PAUSE)
        .with_crashing_body(POISON);
    plant.target_with(config).await
}

/// Guards against a request that crashes one formation of a group after the
/// other, until three crashes are counted.
#[tokio::test(flavor = "multi_thread")]
async fn what_crashed_a_rank_is_not_sent_to_its_group_again() {
    let scene = Scene::start(5).await;
    scene.crash().await;
    assert_eq!(scene.ended().len(), 1);
    for entry in scene.entries.iter().chain(&scene.entries) {
        let answer = entry.ask_with("/stream/a", KEY, POISON).await;
        let answer = answer.expect("an answer");
        assert_eq!(scene.ended().len(), 1, "{}", entry.settings.vm);
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        let after = answer.headers().get(RETRY_AFTER).expect("a time");
        let after: f64 =
            after.to_str().expect("text").parse().expect("a number");
        assert!((1.0..=MAX_SUSPENSION_S).contains(&after), "{after}");
        assert_eq!(entry.status("/stream/a", KEY).await, Some(StatusCode::OK));
    }
}

/// Guards against rejecting what ran on the rank when another request crashed
/// it.
#[tokio::test(flavor = "multi_thread")]
async fn what_had_begun_to_answer_is_served_after_the_crash() {
    let mut scene = Scene::start(1).await;
    let entry = &scene.entries[0];
    let request = entry.request("/stream/a", KEY, "innocent");
    let innocent = tokio::spawn(async move {
        Client::new().call(request, 1 << 20, Duration::from_secs(10)).await
    });
    let sent = scene.ranks[0].events_sent();
    until("it has begun", async || scene.ranks[0].events_sent() > sent + 1)
        .await;
    let second = rank(&mut scene.plant, 1).await;
    scene.ranks.push(second);
    for (entry, agents) in scene.entries.iter().zip(&scene.agents) {
        let more = report(&scene.ranks[1]);
        agents.change(|loads| loads.push(more));
        until("both ranks are known", async || {
            entry.metric("targets").await == Some(2.0)
        })
        .await;
    }
    // The poison may go to either rank.
    scene.crash().await;
    let answer = innocent.await.expect("no panic").expect("an answer");
    assert_eq!(numbers(answer.body()), (1..=EVENTS).collect::<Vec<_>>());
    for entry in &scene.entries {
        let answer = entry.ask_with("/stream/a", KEY, "innocent").await;
        assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
    }
}

/// Guards against sending requests to ranks that wait for one that is gone:
/// until their engines say so, a second and a half later, they take requests
/// and begin none.
#[tokio::test(flavor = "multi_thread")]
async fn a_group_whose_rank_is_gone_gets_nothing_before_it_forms_again() {
    let scene = Scene::start(4).await;
    for agents in &scene.agents {
        agents.stop();
    }
    scene.lose(&scene.ranks[0]).await;
    let lost = Instant::now();
    sleep(BOUND).await;
    let before = scene.arrivals();
    let requests =
        scene.entries.iter().map(|it| it.request("/stream/a", KEY, ""));
    let requests = requests.map(|it| async move {
        Client::new().call(it, 1 << 20, Duration::from_secs(10)).await
    });
    let waiting = tokio::spawn(join_all(requests.collect::<Vec<_>>()));
    while lost.elapsed() < Duration::from_millis(1_000) {
        sleep(Duration::from_millis(20)).await;
        assert_eq!(scene.arrivals(), before, "{:?}", lost.elapsed());
    }
    scene.form_again().await;
    for answer in waiting.await.expect("no panic") {
        let answer = answer.expect("an answer");
        assert_eq!(numbers(answer.body()), (1..=EVENTS).collect::<Vec<_>>());
    }
}

/// Guards against taking a group for standing for good by a wrong word.
#[tokio::test(flavor = "multi_thread")]
async fn a_group_that_goes_on_is_used_whatever_is_said_of_a_rank() {
    let scene = Scene::start(4).await;
    for entry in &scene.entries {
        let address = scene.ranks[0].listen_address().expect("it listens");
        tell_lost(address, entry.settings.own_peer_address()).await;
    }
    let told = Instant::now();
    sleep(BOUND).await;
    join_all(scene.entries.iter().map(until_served)).await;
    let most = Duration::from_secs(2) + PAUSE * EVENTS as u32;
    assert!(told.elapsed() < most, "{:?}", told.elapsed());
}

/// Guards against an entry that starts while others suspend a request, and
/// sends it to the group again: the news of it is over by then.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_later_suspends_it_too() {
    let mut scene = Scene::start(5).await;
    scene.crash().await;
    sleep(NEWS_TIME).await;
    let last = scene.entries.pop().expect("three entries");
    let settings = last.settings.clone();
    drop(last);
    let started = Entry::start(settings);
    until_served(&started).await;
    let answer = started.ask_with("/stream/a", KEY, POISON).await;
    assert_eq!(scene.ended().len(), 1);
    let status = answer.expect("an answer").status();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
}
