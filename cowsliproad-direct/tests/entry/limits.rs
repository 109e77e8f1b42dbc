//! Targets that name how many requests a second they take from all entries.
//!
//! Seen: two model engines that had named 1.2 and 1 a second went on getting
//! 3 a second, 13 requests within 4 s from entries that they had told.
//! How: nobody read what they named, so all entries sent them what they sent
//! to the others, with first tries. Cause: a number that a target tells all
//! of its callers together can't be kept by any of them alone, and nothing in
//! the entries knew such a number. Proof: the rate at these targets didn't
//! change as they began to name a limit, and here a target that names 2 a
//! second got 49 requests within 4 s from four entries.

use std::{
    borrow::Borrow,
    net::SocketAddr,
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_kernel::gossip::{self, Datagram};
use cowsliproad_net::client::Client;
use cowsliproad_platform_standin::target::{Fault, Target, TargetConfig};
use http::StatusCode;
use rustix::process::Signal;
use tokio::{
    net::UdpSocket,
    task::JoinSet,
    time::{interval, sleep},
};

use crate::harness::{Entry, KEY, Plant, report, until};

/// The span in which requests are counted.
pub const SPAN: Duration = Duration::from_secs(4);

/// How long callers wait.
pub const PATIENCE: Duration = Duration::from_secs(4);

/// What callers heard.
#[derive(Debug, Default)]
pub struct Heard {
    pub good: usize,
    pub refused: usize,
    pub other: usize,
    /// The longest that a refusal took.
    pub refused_after: Duration,
}

/// The most requests that came within a span after a moment.
pub fn most_within(target: &Target, after: Instant, span: Duration) -> usize {
    most_between(target, after..Instant::now(), span)
}

/// The most requests that came within a span between two moments.
pub fn most_between(
    target: &Target,
    between: Range<Instant>,
    span: Duration,
) -> usize {
    let mut times = target.arrival_times();
    times.retain(|it| between.contains(it));
    let within = |from: &Instant| {
        times.iter().filter(|it| (*from..*from + span).contains(it)).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// Sends requests a pause apart, to one entry after the other.
pub async fn load(
    entries: &[impl Borrow<Entry>],
    path: &str,
    pause: Duration,
    time: Duration,
) -> Heard {
    let mut asked = JoinSet::new();
    let mut due = interval(pause);
    let end = Instant::now() + time;
    let mut turn = entries.iter().cycle();
    while Instant::now() < end {
        due.tick().await;
        let Some(entry) = turn.next() else { break };
        let request = entry.borrow().request(path, KEY, "");
        asked.spawn(async move {
            let begun = Instant::now();
            let answer = Client::new().call(request, 1 << 20, PATIENCE).await;
            (answer.map(|it| it.status()).ok(), begun.elapsed())
        });
    }
    let mut heard = Heard::default();
    while let Some(answer) = asked.join_next().await {
        match answer.expect("no panic") {
            (Some(StatusCode::OK), _) => heard.good += 1,
            (Some(StatusCode::SERVICE_UNAVAILABLE), took) => {
                heard.refused += 1;
                heard.refused_after = heard.refused_after.max(took);
            }
            _ => heard.other += 1,
        }
    }
    heard
}

/// The limited target and two slower ones, so that it would get most requests
/// if it named none.
async fn targets(plant: &mut Plant) -> Vec<Arc<Target>> {
    let mut targets = Vec::new();
    for (id, pause) in [("i-1", 2), ("i-2", 15), ("i-3", 15)] {
        let pause = Duration::from_millis(pause);
        let config =
            TargetConfig::new(id, "plain", "a").with_response_delay(pause);
        targets.push(plant.target_with(config).await);
    }
    targets
}

/// When all are told of a limit that is named now.
fn told() -> Instant {
    Instant::now() + Duration::from_millis(500)
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_together_keep_a_targets_limit() {
    const RATE: usize = 2;
    const TIME: Duration = Duration::from_secs(10);
    let mut plant = Plant::start().await;
    let targets = targets(&mut plant).await;
    let entries = plant.entries(4).await;
    targets[0].set_rate_limit(Some("2"));
    let told = told();
    let heard =
        load(&entries, "/many/a", Duration::from_millis(20), TIME).await;
    assert_eq!((heard.refused, heard.other), (0, 0), "{heard:?}");
    // Those under way when it was first told, and one more.
    let most = most_within(&targets[0], told, SPAN);
    assert!(most <= RATE * SPAN.as_secs() as usize + 1, "{most} in 4 s");
    let times = targets[0].arrival_times();
    let got = times.iter().filter(|it| **it >= told).count();
    let least = RATE * (TIME.as_secs() as usize - 1) * 8 / 10;
    assert!(got >= least, "it is left idle: {got}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_for_as_long_as_it_is_named() {
    let mut plant = Plant::start().await;
    let targets = targets(&mut plant).await;
    let entries = plant.entries(3).await;
    let pause = Duration::from_millis(20);
    let stage = async |limit: Option<&str>, time: u64| {
        targets[0].set_rate_limit(limit);
        let told = told();
        let time = Duration::from_secs(time);
        let heard = load(&entries, "/many/a", pause, time).await;
        assert_eq!((heard.refused, heard.other), (0, 0), "{heard:?}");
        let times = targets[0].arrival_times();
        times.iter().filter(|it| **it >= told).count()
    };
    let lowered = stage(Some("8.0"), 4).await;
    assert!((20..=29).contains(&lowered), "8 a second: {lowered} in 3.5 s");
    let lowest = stage(Some("1"), 5).await;
    assert!((3..=6).contains(&lowest), "1 a second: {lowest} in 4.5 s");
    let raised = stage(Some("8"), 4).await;
    assert!((14..=29).contains(&raised), "8 a second: {raised} in 3.5 s");
    stage(Some("1"), 3).await;
    let lifted = stage(None, 4).await;
    assert!(lifted >= 30, "without a limit: {lifted} in 3.5 s");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_no_number_is_no_limit() {
    let mut plant = Plant::start().await;
    let targets = targets(&mut plant).await;
    let entries = plant.entries(2).await;
    let bad = [
        "",
        "none",
        "-1",
        "NaN",
        "inf",
        "1e3",
        "0x10",
        "1,5",
        "1.5.1",
        ".",
        "1.",
        "+1",
        "99999999999999999999999999",
    ];
    for value in bad {
        // Also in place of a limit that was good.
        targets[0].set_rate_limit(Some("1"));
        let pause = Duration::from_millis(10);
        let time = Duration::from_millis(200);
        load(&entries, "/many/a", pause, time).await;
        targets[0].set_rate_limit(Some(value));
        load(&entries, "/many/a", pause, Duration::from_millis(1_300)).await;
        let before = targets[0].arrival_count();
        let heard = load(&entries, "/many/a", pause, time * 2).await;
        assert_eq!((heard.refused, heard.other), (0, 0), "{value}: {heard:?}");
        let got = targets[0].arrival_count() - before;
        assert!(got >= 5, "{value:?} is believed: {got} of 40");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_takes_nothing_is_asked_whether_that_is_so() {
    let mut plant = Plant::start().await;
    let targets = targets(&mut plant).await;
    let entries = plant.entries(2).await;
    let pause = Duration::from_millis(20);
    targets[0].set_rate_limit(Some("0"));
    let told = told();
    load(&entries, "/many/a", pause, Duration::from_secs(6)).await;
    let most = most_within(&targets[0], told, SPAN);
    assert!(most <= 1, "{most} in 4 s");
    targets[0].set_rate_limit(None);
    let before = targets[0].arrival_count();
    load(&entries, "/many/a", pause, Duration::from_secs(9)).await;
    assert!(
        targets[0].arrival_count() > before + 10,
        "the limit outlives its word"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn what_limited_targets_cant_take_is_refused_at_once() {
    const TIME: Duration = Duration::from_secs(8);
    let mut plant = Plant::start().await;
    let targets = targets(&mut plant).await;
    let entries = plant.entries(3).await;
    for target in &targets {
        target.set_rate_limit(Some("2"));
    }
    let told = told();
    let pause = Duration::from_millis(25);
    let heard = load(&entries, "/once/a", pause, TIME).await;
    assert_eq!(heard.other, 0, "{heard:?}");
    for target in &targets {
        let most = most_within(target, told, SPAN);
        assert!(most <= 9, "{most} in 4 s");
    }
    let served: u64 = targets.iter().map(|it| it.arrival_count()).sum();
    assert_eq!(heard.good as u64, served, "{heard:?}");
    assert!(heard.good >= 3 * 2 * 7 * 8 / 10, "they are left idle: {heard:?}");
    // It is told when to come back, so it doesn't wait in vain.
    let most = Duration::from_millis(500);
    assert!(heard.refused_after < most, "{heard:?}");
}

/// Another target that has no connection free just now.
#[tokio::test(flavor = "multi_thread")]
async fn who_can_go_elsewhere_in_time_is_not_turned_away() {
    let mut plant = Plant::start().await;
    plant.catalog = plant.catalog.clone().with_max_connections("plain", 1);
    plant.catalog.publish(&plant.log);
    let limited = plant.target("i-1", "plain").await;
    let pause = Duration::from_millis(100);
    let config =
        TargetConfig::new("i-2", "plain", "a").with_response_delay(pause);
    plant.target_with(config).await;
    let entry = plant.entry().await;
    limited.set_rate_limit(Some("0"));
    until("the limit is known", async || {
        entry.ask("/many/a").await.expect("an answer");
        entry.metric("limits").await == Some(1.0)
    })
    .await;
    let pause = Duration::from_millis(5);
    let time = Duration::from_millis(50);
    let heard = load(&[&entry], "/many/a", pause, time).await;
    assert_eq!((heard.refused, heard.other), (0, 0), "{heard:?}");
}

/// Each place went to whoever asked first.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_requests_get_what_limited_targets_take() {
    const TIME: Duration = Duration::from_secs(6);
    let mut plant = Plant::start().await;
    plant.catalog = plant.catalog.clone().with_priority("/many/", 0);
    plant.catalog = plant.catalog.clone().with_priority("/once/", 4);
    plant.catalog.publish(&plant.log);
    let targets = targets(&mut plant).await;
    let entries = plant.entries(3).await;
    for target in &targets {
        target.set_rate_limit(Some("2"));
    }
    let often = Duration::from_millis(25);
    let seldom = Duration::from_millis(250);
    load(&entries, "/once/a", often, Duration::from_secs(1)).await;
    let (urgent, others) = tokio::join!(
        load(&entries, "/many/a", seldom, TIME),
        load(&entries, "/once/a", often, TIME),
    );
    assert_eq!(urgent.other, 0, "{urgent:?}");
    let all = urgent.good + urgent.refused;
    assert!(urgent.good * 10 >= all * 9, "{urgent:?}, {others:?}");
    assert!(others.good > 0, "{others:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn second_tries_keep_a_limit() {
    let mut plant = Plant::start().await;
    let targets = targets(&mut plant).await;
    let entries = plant.entries(3).await;
    for failing in &targets[1..] {
        failing.set_fault(Fault::Failing);
    }
    targets[0].set_rate_limit(Some("2"));
    let told = told();
    let pause = Duration::from_millis(25);
    load(&entries, "/many/a", pause, Duration::from_secs(6)).await;
    let most = most_within(&targets[0], told, SPAN);
    assert!(most <= 9, "{most} in 4 s");
    assert!(targets[0].arrival_count() >= 9, "it is left idle");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limited_rank_of_a_group_gets_what_it_takes() {
    let mut plant = Plant::start().await;
    let mut ranks = Vec::new();
    for id in ["i-1", "i-2", "i-3", "i-4"] {
        let config = TargetConfig::new(id, "model", "a")
            .with_events(4, Duration::from_millis(10));
        ranks.push(plant.target_with(config).await);
    }
    let entries = plant.entries(3).await;
    let agents = entries.iter().map(|it| it.settings.own_peer_address());
    let reports = tokio::spawn(report_all(ranks.clone(), agents.collect()));
    ranks[0].set_rate_limit(Some("2"));
    let told = told();
    let cuts = tokio::spawn(cut(ranks.clone()));
    let pause = Duration::from_millis(25);
    let time = Duration::from_secs(8);
    let heard = load(&entries, "/stream/a", pause, time).await;
    cuts.abort();
    reports.abort();
    assert_eq!((heard.refused, heard.other), (0, 0), "{heard:?}");
    let most = most_within(&ranks[0], told, SPAN);
    assert!(most <= 9, "{most} in 4 s");
    let got =
        ranks[0].arrival_times().iter().filter(|it| **it >= told).count();
    assert!(got >= 2 * 7 * 8 / 10, "it is left idle: {got}");
}

/// What agents beside ranks report.
async fn report_all(ranks: Vec<Arc<Target>>, entries: Vec<SocketAddr>) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    loop {
        for rank in &ranks {
            let load = gossip::encode(&Datagram::Load(report(rank)));
            for entry in &entries {
                let _ = socket.send_to(&load, entry).await;
            }
        }
        sleep(Duration::from_millis(300)).await;
    }
}

/// Has ranks cut streams, which go on at others.
async fn cut(ranks: Vec<Arc<Target>>) {
    loop {
        for rank in &ranks[1..] {
            rank.set_fault(Fault::Cut);
            sleep(Duration::from_millis(100)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_joins_keeps_a_limit_from_the_start() {
    let mut plant = Plant::start().await;
    let targets = targets(&mut plant).await;
    let first = plant.entries(3).await;
    targets[0].set_rate_limit(Some("1"));
    let pause = Duration::from_millis(20);
    load(&first, "/many/a", pause, Duration::from_secs(2)).await;
    let begun = Instant::now();
    let joins =
        Entry::start(plant.settings(&first.iter().collect::<Vec<_>>()));
    joins.until_ready().await;
    load(&[&joins], "/many/a", pause, Duration::from_secs(5)).await;
    let most = most_within(&targets[0], begun, SPAN);
    assert!(most <= 5, "{most} in 4 s");
    assert!(most >= 3, "it is left idle: {most} in 4 s");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_pace_is_kept_when_its_keeper_is_gone_or_stands_still() {
    let mut plant = Plant::start().await;
    let targets = targets(&mut plant).await;
    let mut entries = plant.entries(4).await;
    targets[0].set_rate_limit(Some("2"));
    let pause = Duration::from_millis(20);
    let time = Duration::from_millis(3_000);
    let told = told();
    // Whichever keeps the pace, it is among those that stop for a while.
    for turn in 0..3 {
        entries[turn].signal(Signal::STOP);
        let others = [&entries[3], &entries[(turn + 1) % 3]];
        let before = targets[0].arrival_count();
        load(&others, "/many/a", pause, time).await;
        let got = targets[0].arrival_count() - before;
        assert!(got >= 2, "it is left idle: {got} in 3 s");
        entries[turn].signal(Signal::CONT);
    }
    for _ in 0..3 {
        entries.remove(0);
        let before = targets[0].arrival_count();
        load(&entries, "/many/a", pause, time).await;
        let got = targets[0].arrival_count() - before;
        assert!(got >= 1, "it is left idle: {got} in 3 s");
    }
    let most = most_within(&targets[0], told, SPAN);
    // One place more where somebody else begins to keep the pace.
    assert!(most <= 11, "{most} in 4 s");
}

/// Guards against a limit that is lost with the target's entry in the log.
#[tokio::test(flavor = "multi_thread")]
async fn a_lapsed_announcement_ends_no_limit() {
    let mut plant = Plant::start().await;
    let targets = targets(&mut plant).await;
    let entries = plant.entries(4).await;
    targets[0].set_rate_limit(Some("1"));
    let pause = Duration::from_millis(5);
    load(&entries, "/many/a", pause, Duration::from_secs(1)).await;
    let begun = Instant::now();
    for turn in 0..3 {
        let known = |count: f64| {
            let entries = &entries;
            async move {
                until("entries know the targets", async || {
                    for entry in entries {
                        if entry.metric("targets").await != Some(count) {
                            return false;
                        }
                    }
                    true
                })
                .await;
            }
        };
        targets[0].withdraw_announcement(&plant.log);
        known(2.0).await;
        targets[0].announce(&plant.log, "ready");
        known(3.0).await;
        load(&entries, "/many/a", pause, Duration::from_millis(800)).await;
        println!("{turn}: {} in 4 s", most_within(&targets[0], begun, SPAN));
    }
    let most = most_within(&targets[0], begun, SPAN);
    assert!(most <= 5, "{most} in 4 s");
}
