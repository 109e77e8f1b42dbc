//! Targets that name how many requests a second they take from all entries.
//!
//! Seen: two model engines that had named 1.2 and 1 a second went on getting
//! 3 a second, 13 requests within 4 s from entries that they had told.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_net::client::Client;
use cowsliproad_platform_standin::target::Target;
use http::StatusCode;
use tokio::{task::JoinSet, time::interval};

use crate::harness::{Entry, KEY, Plant, until};

/// The span in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// How long callers wait.
const PATIENCE: Duration = Duration::from_secs(4);

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
    let times = target.times();
    let times: Vec<Instant> =
        times.into_iter().filter(|it| *it >= after).collect();
    let within = |from: &Instant| {
        times.iter().filter(|it| (*from..*from + span).contains(it)).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// Sends requests a pause apart, to one entry after the other.
pub async fn load(
    entries: &[&Entry],
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
        let request = entry.request(path, KEY, "");
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

/// Entries that know one another.
pub async fn entries(plant: &mut Plant, count: usize) -> Vec<Entry> {
    let mut entries: Vec<Entry> = Vec::new();
    for _ in 0..count {
        let seeds: Vec<&Entry> = entries.iter().take(3).collect();
        let settings = plant.settings(&seeds);
        entries.push(Entry::start(settings));
    }
    for entry in &entries {
        entry.until_ready().await;
    }
    for entry in &entries {
        until("they have met", async || {
            entry.metric("peers").await == Some((count - 1) as f64)
        })
        .await;
    }
    entries
}

/// The limited target and two others.
async fn targets(plant: &mut Plant) -> Vec<Arc<Target>> {
    let mut targets = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        targets.push(plant.target(id, "plain").await);
    }
    targets
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_together_keep_a_targets_limit() {
    const RATE: usize = 2;
    const TIME: Duration = Duration::from_secs(10);
    let mut plant = Plant::start().await;
    let targets = targets(&mut plant).await;
    let entries = entries(&mut plant, 4).await;
    let entries: Vec<&Entry> = entries.iter().collect();
    targets[0].set_limit(Some("2"));
    let begun = Instant::now();
    let heard =
        load(&entries, "/many/a", Duration::from_millis(20), TIME).await;
    assert_eq!((heard.refused, heard.other), (0, 0), "{heard:?}");
    // Those under way when it was first told, and one more.
    let told = begun + Duration::from_millis(500);
    let most = most_within(&targets[0], told, SPAN);
    assert!(most <= RATE * SPAN.as_secs() as usize + 1, "{most} in 4 s");
    let times = targets[0].times();
    let got = times.iter().filter(|it| **it >= told).count();
    let least = RATE * (TIME.as_secs() as usize - 1) * 8 / 10;
    assert!(got >= least, "it is left idle: {got}");
}
