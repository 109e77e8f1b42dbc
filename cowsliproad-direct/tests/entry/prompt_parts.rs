//! One part of a prompt crashes every target that begins to answer, whatever
//! else the request holds.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use cowsliproad_net::client::{Client, Error};
use cowsliproad_platform::{header, log::QUARANTINE_TOPIC};
use cowsliproad_platform_standin::{
    log::Fault,
    target::{self, Target, TargetConfig},
};
use futures_util::future::join_all;
use http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use tokio::time::sleep;

use crate::{
    harness::{Entry, KEY, Plant, tell_lost, until},
    streams::Agents,
};

/// The part that crashes targets, and the parts before and after it.
const DEADLY: &str = "dead";
const BEFORE: &str = "a0";
const AFTER: &str = "f9";

/// By then all entries have to know.
const BOUND: Duration = Duration::from_secs(3);

/// How long an answer of an entry's own may take, on a busy machine too.
const PROMPT: Duration = Duration::from_millis(500);

/// Crashes until the part is known.
const CRASHES: usize = 3;

/// Ranks of a group in the tests of groups.
const RANKS: usize = 5;

/// Makes each request differ from all others.
static NUMBER: AtomicU64 = AtomicU64::new(1);

/// Entries that know one another, before targets that the part crashes.
struct Scene {
    plant: Plant,
    entries: Vec<Entry>,
    targets: Vec<Arc<Target>>,
    /// The path before the part that differs.
    route: &'static str,
}

impl Scene {
    async fn start(route: &'static str, targets: usize) -> Scene {
        let mut plant = Plant::start().await;
        let mut started = Vec::new();
        for number in 0..targets {
            let config = config(route, number);
            started.push(plant.target_with(config).await);
        }
        let entries = plant.entries(3).await;
        Scene { plant, entries, targets: started, route }
    }

    fn crashed(&self) -> usize {
        self.targets.iter().filter(|it| it.process_has_ended()).count()
    }

    /// Requests with the part that reached a target.
    fn reached(&self) -> usize {
        let runs = self.targets.iter().flat_map(|it| it.executed_requests());
        let has = |parts: &Vec<String>| parts.iter().any(|it| it == DEADLY);
        runs.filter(|it| has(&it.shared_prompt_parts)).count()
    }

    /// Sends a request with the part.
    async fn send_deadly(
        &self,
        entry: &Entry,
    ) -> Result<Response<Bytes>, Error> {
        ask(entry, self.route, &[BEFORE, DEADLY, AFTER]).await
    }

    /// Sends a request with all other parts, and checks that it is served.
    async fn send_sound(&self, entry: &Entry) {
        let parts = [BEFORE, "b1", AFTER];
        let answer = ask(entry, self.route, &parts).await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK, "{}", entry.settings.vm);
    }

    /// Sends requests with the part through one entry after the other, and
    /// sound ones between them, until so many targets have crashed.
    async fn crash(&self, targets: usize) {
        for number in 0.. {
            if self.crashed() >= targets {
                return;
            }
            assert!(number < 2 * targets, "no target crashes");
            let entry = &self.entries[number % self.entries.len()];
            let _ = self.send_deadly(entry).await;
            self.send_sound(entry).await;
        }
    }

    /// Kills the target that a request with these parts goes to.
    async fn crash_next_target(&self, parts: &[&str]) {
        for target in &self.targets {
            target.set_fault(target::Fault::Crash);
        }
        let _ = ask(&self.entries[0], "/once/", parts).await;
        for target in &self.targets {
            target.set_fault(target::Fault::None);
        }
    }

    /// Checks that all entries refuse the part at once and serve others.
    async fn check_refused(&self) {
        let before = self.reached();
        for entry in self.entries.iter().chain(&self.entries) {
            let asked = Instant::now();
            let answer = self.send_deadly(entry).await.expect("an answer");
            assert_eq!(self.reached(), before, "{}", entry.settings.vm);
            assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
            let after = answer.headers().get(RETRY_AFTER).expect("a time");
            let after: f64 =
                after.to_str().expect("text").parse().expect("a number");
            assert!(after >= 1.0, "{after}");
            assert!(asked.elapsed() < PROMPT, "{:?}", asked.elapsed());
            self.send_sound(entry).await;
        }
    }
}

fn config(route: &str, number: usize) -> TargetConfig {
    let id = format!("i-{number}");
    let config = match route {
        "/stream/" => TargetConfig::new(&id, "model", "a")
            .with_events(4, Duration::from_millis(20)),
        _ => TargetConfig::new(&id, "plain", "a"),
    };
    config.with_crashing_prompt_part(DEADLY)
}

/// Sends a request with shared prompt parts, whose path, body, id and last
/// part no other request has.
async fn ask(
    entry: &Entry,
    route: &str,
    parts: &[&str],
) -> Result<Response<Bytes>, Error> {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = format!("{route}{number}");
    let mut request = entry.request(&path, KEY, &format!("body {number}"));
    let prompt = parts.iter().map(|it| format!("{it}:40,"));
    let prompt = prompt.collect::<String>() + &format!("e{number:07x}:250");
    let prompt = HeaderValue::from_str(&prompt).expect("a header");
    request.headers_mut().insert(header::PROMPT_PARTS, prompt);
    Client::new().call(request, 1 << 20, Duration::from_secs(10)).await
}

/// Waits until an entry refuses so many parts.
async fn until_refused(entry: &Entry, refused: f64) {
    let name = "quarantined_prompt_parts_total{outcome=\"refused\"";
    until("the part is refused", async || {
        entry.metric(name).await == Some(refused)
    })
    .await;
}

async fn check(route: &'static str) {
    let scene = Scene::start(route, 12).await;
    scene.crash(CRASHES).await;
    sleep(BOUND).await;
    scene.check_refused().await;
    assert!(scene.crashed() <= CRASHES + 1, "{}", scene.crashed());
}

/// Guards against requests with a crash-inducing prompt part that are each
/// taken for new, since they differ in path, body and id.
#[tokio::test(flavor = "multi_thread")]
async fn streams_with_a_part_that_crashes_targets_are_refused_by_the_part() {
    check("/stream/").await;
}

/// Guards against the same fault of requests that are answered whole.
#[tokio::test(flavor = "multi_thread")]
async fn calls_with_a_part_that_crashes_targets_are_refused_by_the_part() {
    check("/many/").await;
}

/// Guards against the same fault of requests that must not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_calls_with_such_a_part_are_refused_by_the_part() {
    check("/once/").await;
}

/// Guards against refusing the parts that all requests have, when many
/// requests crash their targets at the same moment.
#[tokio::test(flavor = "multi_thread")]
async fn many_callers_at_once_leave_the_other_parts_in_use() {
    let scene = Scene::start("/stream/", 16).await;
    for entry in &scene.entries {
        scene.send_sound(entry).await;
    }
    let at_once = (0..8).map(|number| {
        let entry = &scene.entries[number % 3];
        scene.send_deadly(entry)
    });
    join_all(at_once).await;
    assert!(scene.crashed() >= CRASHES, "{}", scene.crashed());
    sleep(BOUND).await;
    scene.check_refused().await;
}

/// Guards against entries that forget the part when all of them restart.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_all_restart_refuse_the_part() {
    let mut scene = Scene::start("/many/", 12).await;
    scene.crash(CRASHES).await;
    for entry in &scene.entries {
        until_refused(entry, 1.0).await;
    }
    sleep(BOUND).await;
    let settings: Vec<_> =
        scene.entries.drain(..).map(|it| it.settings.clone()).collect();
    scene.entries = settings.into_iter().map(Entry::start).collect();
    for entry in &scene.entries {
        entry.until_ready().await;
        until_refused(entry, 1.0).await;
    }
    scene.check_refused().await;
}

/// Guards against a part that only the platform's log would make known.
#[tokio::test(flavor = "multi_thread")]
async fn entries_without_the_log_tell_one_another_of_the_part() {
    let mut scene = Scene::start("/many/", 12).await;
    scene.plant.log.set_fault(Fault::Silent);
    scene.crash(CRASHES).await;
    sleep(BOUND).await;
    scene.check_refused().await;
    let settings = scene.plant.settings(&[&scene.entries[0]]);
    scene.entries.push(Entry::start(settings));
    let late = scene.entries.last().expect("an entry");
    late.until_ready().await;
    until_refused(late, 1.0).await;
    scene.check_refused().await;
}

/// Guards against a part that an entry which reaches no other one never hears
/// of.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_reaches_no_other_learns_of_the_part_from_the_log() {
    let mut scene = Scene::start("/many/", 12).await;
    let alone = Entry::start(scene.plant.settings(&[]));
    alone.until_ready().await;
    scene.crash(CRASHES).await;
    until_refused(&alone, 1.0).await;
    assert_eq!(alone.metric("peers").await, Some(0.0));
    scene.entries = vec![alone];
    scene.check_refused().await;
}

/// Guards against blaming a part for targets that were killed one after the
/// other while requests with it ran there, if others were answered meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_targets_answer_meanwhile_is_not_refused() {
    let scene = Scene::start("/many/", 12).await;
    for _ in 0..6 {
        let before = scene.crashed();
        scene.crash_next_target(&[BEFORE, "b1", AFTER]).await;
        assert_eq!(scene.crashed(), before + 1);
        sleep(PROMPT).await;
        for entry in &scene.entries {
            scene.send_sound(entry).await;
        }
    }
}

/// Guards against a record in the log that blames a part though targets have
/// answered it since, read by entries that all restart.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_all_restart_blame_no_part_that_was_answered() {
    let mut scene = Scene::start("/many/", 12).await;
    let parts = [BEFORE, "b1", AFTER];
    for crashes in 1..CRASHES {
        scene.crash_next_target(&parts).await;
        assert_eq!(scene.crashed(), crashes);
    }
    let records = || scene.plant.log.record_count(QUARANTINE_TOPIC);
    until("the log blames the parts", async || records() >= parts.len()).await;
    let before = records();
    scene.send_sound(&scene.entries[0]).await;
    until("the log clears the parts", async || {
        records() >= before + parts.len()
    })
    .await;
    let settings: Vec<_> =
        scene.entries.drain(..).map(|it| it.settings.clone()).collect();
    scene.entries = settings.into_iter().map(Entry::start).collect();
    for entry in &scene.entries {
        entry.until_ready().await;
    }
    sleep(PROMPT).await;
    scene.crash_next_target(&parts).await;
    sleep(PROMPT).await;
    for entry in &scene.entries {
        scene.send_sound(entry).await;
    }
}

/// A group whose ranks crash one at a time and which forms again each time.
struct Group {
    scene: Scene,
    agents: Vec<Arc<Agents>>,
}

impl Group {
    async fn start() -> Group {
        let scene = Scene::start("/stream/", RANKS).await;
        let ranks: Vec<&Arc<Target>> = scene.targets.iter().collect();
        let mut agents = Vec::new();
        for entry in &scene.entries {
            agents.push(Agents::start(entry, &ranks).await);
        }
        let group = Group { scene, agents };
        group.until_used().await;
        group
    }

    async fn until_used(&self) {
        for entry in &self.scene.entries {
            until("the group is used", async || {
                let parts = [BEFORE, "b1", AFTER];
                let answer = ask(entry, "/stream/", &parts).await;
                answer.is_ok_and(|it| it.status() == StatusCode::OK)
            })
            .await;
        }
    }

    /// Reports the crash of a rank, as its agent does, and has the group form
    /// again without it.
    async fn form_without(&self, rank: &Target, epoch: u64) {
        let address = rank.listen_address().expect("it listened");
        for agents in &self.agents {
            agents.change(|loads| {
                loads.retain(|it| it.engine_address != address);
                for load in loads {
                    (load.group_epoch, load.group_accepts_requests) =
                        (epoch, true);
                }
            });
        }
        for entry in &self.scene.entries {
            tell_lost(address, entry.settings.own_peer_address()).await;
        }
    }
}

/// Guards against a group that the part stops each time it has formed.
#[tokio::test(flavor = "multi_thread")]
async fn a_group_is_crashed_by_a_part_three_times_at_most() {
    let group = Group::start().await;
    let scene = &group.scene;
    for round in 0..CRASHES {
        let before = scene.crashed();
        let deadly = scene.send_deadly(&scene.entries[round % 3]);
        let ending = async {
            until("a rank crashes", async || scene.crashed() > before).await;
            let ranks = scene.targets.iter();
            for rank in ranks.filter(|it| it.process_has_ended()) {
                group.form_without(rank, 2 + round as u64).await;
            }
            group.until_used().await;
        };
        let _ = tokio::join!(deadly, ending);
        if scene.crashed() >= CRASHES {
            break;
        }
    }
    sleep(BOUND).await;
    scene.check_refused().await;
    assert!(scene.crashed() <= CRASHES + 1, "{}", scene.crashed());
}

/// Guards against a request with the part that waits at an entry for a target
/// while the others learn of the part, and is sent on then.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_when_its_part_becomes_known_is_refused() {
    let scene = Scene::start("/stream/", 12).await;
    let ranks: Vec<&Arc<Target>> = scene.targets.iter().collect();
    let agents = Agents::start(&scene.entries[0], &ranks).await;
    agents.change(|loads| {
        loads.iter_mut().for_each(|it| it.group_accepts_requests = false);
    });
    until("the first entry knows that the group stands", async || {
        let asked = Instant::now();
        let sound = ask(&scene.entries[0], "/stream/", &[BEFORE]);
        let wait = Duration::from_millis(400);
        let _ = tokio::time::timeout(wait, sound).await;
        asked.elapsed() >= wait
    })
    .await;
    let waits = scene.send_deadly(&scene.entries[0]);
    let crashes = async {
        while scene.crashed() < CRASHES {
            let _ = scene.send_deadly(&scene.entries[1]).await;
        }
        until_refused(&scene.entries[0], 1.0).await;
        sleep(PROMPT).await;
    };
    let answer = tokio::select! {
        biased;
        answer = waits => answer.expect("an answer"),
        () = crashes => panic!("it waits on"),
    };
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let reason = String::from_utf8_lossy(answer.body()).into_owned();
    assert!(reason.contains("ended"), "{reason}");
}
