//! Work that ends every target that runs it.
//!
//! What was seen: a draft under which three engines had ended was sent to
//! engines four times more, and nine of them ended in all. How it came about:
//! its caller sent it again and again, through any entry and under a new id
//! each time; each entry took it for new, and sent it to a second engine when
//! the first had ended. The cause: tries were counted by request id, at one
//! entry, so nobody knew what the work had done before. What proved it: lines
//! that name the work itself, by organisation, path and body, beside the
//! targets that ended under it; and the first test below, which failed with
//! every target ended before entries told one another.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_kernel::clock::Millis;
use cowsliproad_platform_standin::target::{Config, Target};
use http::{StatusCode, header::RETRY_AFTER};
use tokio::time::sleep;

use crate::harness::{Entry, KEY, Plant};

/// The body of work that ends its targets.
const DEADLY: &str = "deadly";

/// By then all entries have to know.
const BOUND: Duration = Duration::from_secs(3);

/// How long an answer of an entry's own may take, on a busy machine too.
const PROMPT: Duration = Duration::from_millis(500);

/// Entries that know one another, before targets that end under such work.
struct Scene {
    plant: Plant,
    entries: Vec<Entry>,
    targets: Vec<Arc<Target>>,
}

/// What targets are asked for.
#[derive(Clone, Copy)]
enum Kind {
    Calls,
    Streams,
}

impl Scene {
    async fn start(kind: Kind) -> Scene {
        let mut plant = Plant::start().await;
        let mut targets = Vec::new();
        for number in 0..9 {
            let id = format!("i-{number}");
            let config = match kind {
                Kind::Calls => Config::new(&id, "plain", "a"),
                Kind::Streams => Config::new(&id, "model", "a")
                    .with_events(20, Duration::from_millis(2)),
            };
            let config = config.with_deadly(DEADLY);
            targets.push(plant.target_with(config).await);
        }
        let entries = entries(&mut plant).await;
        Scene { plant, entries, targets }
    }

    fn ended(&self) -> usize {
        self.targets.iter().filter(|it| it.has_ended()).count()
    }

    /// How often the work reached a target.
    fn reached(&self) -> usize {
        let runs = self.targets.iter().flat_map(|it| it.runs());
        runs.filter(|it| it.body == DEADLY).count()
    }

    /// Sends the work through one entry after the other until three targets
    /// have ended under it.
    async fn end_three(&self, path: &str) {
        let mut sent = 0;
        while self.ended() < 3 {
            assert!(sent < 9, "the work ends no target");
            let entry = &self.entries[sent % self.entries.len()];
            // Nobody has an answer to it.
            let _ = entry.ask_with(path, KEY, DEADLY).await;
            sent += 1;
        }
    }

    /// Sends the work again through every entry, and checks what its caller
    /// hears and that no target does.
    async fn is_refused(&self, path: &str) {
        let before = self.reached();
        for entry in self.entries.iter().chain(&self.entries) {
            let asked = Instant::now();
            let answer = entry.ask_with(path, KEY, DEADLY).await;
            assert_eq!(self.reached(), before, "{:?}", entry.settings.vm);
            let answer = answer.expect("an answer");
            assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
            assert!(answer.headers().contains_key(RETRY_AFTER));
            assert!(asked.elapsed() < PROMPT, "{:?}", asked.elapsed());
        }
    }
}

/// Three entries that know one another.
async fn entries(plant: &mut Plant) -> Vec<Entry> {
    let first = Entry::start(plant.settings(&[]));
    let mut entries = vec![first];
    for _ in 0..2 {
        let settings = plant.settings(&[&entries[0]]);
        entries.push(Entry::start(settings));
    }
    for entry in &entries {
        entry.until_ready().await;
        until_met(entry, 2.0).await;
    }
    entries
}

async fn until_met(entry: &Entry, peers: f64) {
    crate::harness::until("entries know one another", async || {
        entry.metric("peers").await == Some(peers)
    })
    .await;
}

async fn check(kind: Kind, path: &str) {
    let scene = Scene::start(kind).await;
    scene.end_three(path).await;
    sleep(BOUND).await;
    scene.is_refused(path).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_its_targets_is_sent_to_no_more_of_them() {
    check(Kind::Streams, "/stream/a").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_ends_its_targets_is_sent_to_no_more_of_them() {
    check(Kind::Calls, "/many/a").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn work_that_runs_once_and_ends_its_targets_is_sent_to_no_more() {
    check(Kind::Calls, "/once/a").await;
}
