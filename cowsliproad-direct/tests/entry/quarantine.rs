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
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_kernel::gossip::{self, Datagram, EngineLoad};
use cowsliproad_platform::log::{QUARANTINE_TOPIC, TARGETS_TOPIC};
use cowsliproad_platform_standin::{
    log::Fault,
    target::{self, Target, TargetConfig},
};
use futures_util::future::join_all;
use http::{StatusCode, header::RETRY_AFTER};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream, UdpSocket},
    time::{sleep, timeout},
};

use crate::harness::{Entry, KEY, Plant, report, tell_lost, until};

/// The body of a request that crashes its target.
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
enum RouteKind {
    Calls,
    Streams,
}

impl Scene {
    async fn start(kind: RouteKind) -> Scene {
        Scene::start_with(kind, 9).await
    }

    async fn start_with(kind: RouteKind, number: usize) -> Scene {
        let mut plant = Plant::start().await;
        let mut targets = Vec::new();
        for number in 0..number {
            let id = format!("i-{number}");
            let config = match kind {
                RouteKind::Calls => TargetConfig::new(&id, "plain", "a"),
                RouteKind::Streams => TargetConfig::new(&id, "model", "a")
                    .with_events(20, Duration::from_millis(2)),
            };
            let config = config.with_crashing_body(DEADLY);
            targets.push(plant.target_with(config).await);
        }
        let entries = entries(&mut plant).await;
        Scene { plant, entries, targets }
    }

    fn ended(&self) -> usize {
        self.targets.iter().filter(|it| it.process_has_ended()).count()
    }

    /// How often the work reached a target.
    fn reached(&self) -> usize {
        let runs = self.targets.iter().flat_map(|it| it.executed_requests());
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
    until("entries know one another", async || {
        entry.metric("peers").await == Some(peers)
    })
    .await;
}

/// Waits until an entry refuses so many pieces of work.
async fn until_refused(entry: &Entry, works: f64) {
    let name = "quarantined_total{outcome=\"refused\"";
    until("work is refused", async || entry.metric(name).await == Some(works))
        .await;
}

async fn status(entry: &Entry, path: &str, key: &str, body: &str) -> u16 {
    let answer = entry.ask_with(path, key, body).await;
    answer.expect("an answer").status().as_u16()
}

async fn check(kind: RouteKind, path: &str) {
    let scene = Scene::start(kind).await;
    scene.end_three(path).await;
    sleep(BOUND).await;
    scene.is_refused(path).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_its_targets_is_sent_to_no_more_of_them() {
    check(RouteKind::Streams, "/stream/a").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_ends_its_targets_is_sent_to_no_more_of_them() {
    check(RouteKind::Calls, "/many/a").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn work_that_runs_once_and_ends_its_targets_is_sent_to_no_more() {
    check(RouteKind::Calls, "/once/a").await;
}

/// Callers leave before the target begins, and it goes on all the same and
/// ends later. One ended after the other, since a target that lived half a
/// second after its caller left was taken to have outlived the work.
#[tokio::test(flavor = "multi_thread")]
async fn work_that_targets_go_on_with_when_its_callers_left_is_refused() {
    let mut plant = Plant::start().await;
    let mut targets = Vec::new();
    for number in 0..7 {
        let config = TargetConfig::new(&format!("i-{number}"), "plain", "a")
            .with_crashing_body(DEADLY)
            .with_crash_delay(Duration::from_millis(1_500));
        targets.push(plant.target_with(config).await);
    }
    let entries = entries(&mut plant).await;
    let scene = Scene { plant, entries, targets };
    for number in 0..3 {
        let entry = &scene.entries[number];
        let asked = entry.ask_with("/once/a", KEY, DEADLY);
        let left = timeout(Duration::from_millis(300), asked).await;
        assert!(left.is_err(), "it was answered");
        until("its target ends", async || scene.ended() > number).await;
    }
    sleep(BOUND).await;
    scene.is_refused("/once/a").await;
    let other = status(&scene.entries[0], "/once/a", KEY, "other").await;
    assert_eq!(other, 200);
}

/// What only looks like it is served: other work of the same caller and path,
/// the same words of another caller, and the same words elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn what_looks_like_it_is_served() {
    let mut scene = Scene::start(RouteKind::Calls).await;
    scene.plant.target("i-well", "model").await;
    scene.plant.catalog =
        scene.plant.catalog.clone().with_organisation("kose", &["key-2"]);
    scene.plant.catalog.publish(&scene.plant.log);
    scene.end_three("/many/a").await;
    until_refused(&scene.entries[0], 1.0).await;
    let entry = &scene.entries[0];
    until("the other organisation is known", async || {
        status(entry, "/many/a", "key-2", "other").await == 200
    })
    .await;
    for body in ["other", "deadly?", ""] {
        assert_eq!(status(entry, "/many/a", KEY, body).await, 200, "{body}");
    }
    // The same words on a route whose targets bear them.
    let path = "/many/model/a";
    assert_eq!(status(entry, path, KEY, DEADLY).await, 200);
    // Another caller's are another's: they end a target of their own accord.
    let before = scene.reached();
    assert_ne!(status(entry, "/many/a", "key-2", DEADLY).await, 503);
    assert!(scene.reached() > before);
}

/// A stream that runs on three targets as they end beside it goes on, and the
/// next of its kind is served. It had no whole answer before.
#[tokio::test(flavor = "multi_thread")]
async fn what_ran_beside_it_is_served() {
    let mut plant = Plant::start().await;
    let mut targets = Vec::new();
    for number in 0..6 {
        let id = format!("i-{number}");
        let config = TargetConfig::new(&id, "model", "a")
            .with_events(20, Duration::from_millis(100))
            .with_crashing_body(DEADLY);
        targets.push(plant.target_with(config).await);
    }
    let entries = entries(&mut plant).await;
    let beside = async {
        let asked = (0..12).map(|number| {
            let (entry, body) = (&entries[number % 3], number.to_string());
            async move { entry.ask_with("/stream/a", KEY, &body).await }
        });
        let answers = join_all(asked).await;
        // Two targets are all that a route allows a request.
        answers.iter().filter(|it| it.is_ok()).count()
    };
    let deadly = async {
        sleep(Duration::from_millis(300)).await;
        let mut sent = 0;
        while targets.iter().filter(|it| it.process_has_ended()).count() < 3 {
            let entry = &entries[sent % 3];
            let _ = entry.ask_with("/stream/a", KEY, DEADLY).await;
            sent += 1;
        }
    };
    let (served, ()) = tokio::join!(beside, deadly);
    assert!(served > 0, "{served}");
    for entry in &entries {
        until_refused(entry, 1.0).await;
        let asked = (0..12).map(|number| async move {
            status(entry, "/stream/a", KEY, &number.to_string()).await
        });
        assert_eq!(join_all(asked).await, [200; 12]);
    }
}

/// Three targets are killed one after the other, each while it runs the
/// lookup that everybody sends.
#[tokio::test(flavor = "multi_thread")]
async fn common_work_at_killed_targets_is_served() {
    let mut plant = Plant::start().await;
    let mut targets = Vec::new();
    for number in 0..5 {
        targets.push(plant.target(&format!("i-{number}"), "plain").await);
    }
    let entries = entries(&mut plant).await;
    for entry in &entries {
        assert_eq!(status(entry, "/many/a", KEY, "common").await, 200);
    }
    // Whoever ran the last request mostly runs the next one too.
    let ended = || targets.iter().filter(|it| it.process_has_ended()).count();
    let mut sent = 0;
    until("three targets are killed", async || {
        let runs = || targets.iter().map(|it| it.executed_requests().len());
        let before: Vec<usize> = runs().collect();
        let entry = &entries[sent % 3];
        assert_eq!(status(entry, "/many/a", KEY, "common").await, 200);
        let ran = runs().zip(&before).position(|it| it.0 > *it.1);
        for (number, target) in targets.iter().enumerate() {
            target.set_fault(match ran == Some(number) && ended() < 3 {
                true => target::Fault::Crash,
                false => target::Fault::None,
            });
        }
        sent += 1;
        ended() == 3
    })
    .await;
    sleep(BOUND).await;
    for entry in &entries {
        assert_eq!(status(entry, "/many/a", KEY, "common").await, 200);
        assert_eq!(entry.metric("quarantined_total").await, None);
    }
}

/// All entries are killed at once; those that start in their place know it.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_all_start_anew_refuse_it() {
    let mut scene = Scene::start(RouteKind::Calls).await;
    scene.end_three("/many/a").await;
    for entry in &scene.entries {
        until_refused(entry, 1.0).await;
    }
    until("the log knows it", async || {
        scene.plant.log.record_count(QUARANTINE_TOPIC) > 1
    })
    .await;
    let settings: Vec<_> =
        scene.entries.drain(..).map(|it| it.settings.clone()).collect();
    scene.entries = settings.into_iter().map(Entry::start).collect();
    for entry in &scene.entries {
        entry.until_ready().await;
        until_refused(entry, 1.0).await;
    }
    scene.is_refused("/many/a").await;
}

/// The platform's log is away: entries know it from one another, one that
/// joins later too.
#[tokio::test(flavor = "multi_thread")]
async fn entries_tell_one_another_while_the_log_is_away() {
    let mut scene = Scene::start(RouteKind::Calls).await;
    scene.plant.log.set_fault(Fault::Silent);
    scene.end_three("/once/a").await;
    sleep(BOUND).await;
    scene.is_refused("/once/a").await;
    let settings = scene.plant.settings(&[&scene.entries[0]]);
    scene.entries.push(Entry::start(settings));
    let late = &scene.entries[3];
    late.until_ready().await;
    until_refused(late, 1.0).await;
    scene.is_refused("/once/a").await;
}

/// Entries that don't reach one another know it from the log.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_tells_entries_that_do_not_reach_one_another() {
    let mut scene = Scene::start(RouteKind::Calls).await;
    let alone = Entry::start(scene.plant.settings(&[]));
    alone.until_ready().await;
    scene.end_three("/once/a").await;
    until_refused(&alone, 1.0).await;
    assert_eq!(alone.metric("peers").await, Some(0.0));
    scene.entries = vec![alone];
    scene.is_refused("/once/a").await;
}

/// One entry hears that its group stands, and a stream waits there. When the
/// others see a third target end under the same work, it is answered at once
/// and hears why.
#[tokio::test(flavor = "multi_thread")]
async fn whoever_waits_with_it_is_answered_at_once() {
    let scene = Scene::start(RouteKind::Streams).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let to = scene.entries[0].settings.own_peer_address();
    let targets = scene.targets.clone();
    tokio::spawn(async move {
        loop {
            for target in &targets {
                let load = EngineLoad {
                    group_accepts_requests: false,
                    ..report(target)
                };
                let bytes = gossip::encode(&Datagram::Load(load));
                let _ = socket.send_to(&bytes, to).await;
            }
            sleep(Duration::from_millis(100)).await;
        }
    });
    // It refuses nothing that it could send on, so this shows that it waits.
    until("the entry knows that its group stands", async || {
        let asked = Instant::now();
        let wait = Duration::from_millis(500);
        let other = scene.entries[0].ask_with("/stream/a", KEY, "other");
        let _ = timeout(wait, other).await;
        asked.elapsed() >= wait
    })
    .await;
    let waits = scene.entries[0].ask_with("/stream/a", KEY, DEADLY);
    let ends = async {
        while scene.ended() < 3 {
            let _ = scene.entries[1].ask_with("/stream/a", KEY, DEADLY).await;
        }
        until_refused(&scene.entries[0], 1.0).await;
        sleep(PROMPT).await;
    };
    let answer = tokio::select! {
        biased;
        answer = waits => answer,
        () = ends => panic!("it waits on"),
    };
    let answer = answer.expect("an answer");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let said = String::from_utf8_lossy(answer.body()).into_owned();
    assert!(said.contains("ended"), "{said}");
}

/// Callers leave while connections are made to targets that end then. Nothing
/// was sent to these, so nothing that they ran ended them.
#[tokio::test(flavor = "multi_thread")]
async fn what_was_never_sent_is_not_taken_for_what_ended_a_target() {
    let mut plant = Plant::start().await;
    let mut full = Vec::new();
    for number in 0..3 {
        full.push(Full::start(&mut plant, &format!("i-{number}")).await);
    }
    let entry = plant.entry().await;
    let to = entry.settings.own_peer_address();
    for _ in 0..12 {
        let asked = entry.ask_with("/once/a", KEY, "innocent");
        let left = timeout(Duration::from_millis(100), asked).await;
        assert!(left.is_err(), "somebody answered");
        for Full { address: target, .. } in &full {
            tell_lost(*target, to).await;
        }
    }
    sleep(PROMPT).await;
    plant.target("i-well", "plain").await;
    until("it is served", async || {
        let answer = entry.ask_with("/once/a", KEY, "innocent").await;
        let answer = answer.expect("an answer");
        let said = String::from_utf8_lossy(answer.body()).into_owned();
        assert!(!said.contains("targets ended"), "{said}");
        answer.status() == StatusCode::OK
    })
    .await;
}

/// A zone that is cut off with resets refuses connections as targets do
/// that ended. Nobody else is heard from there, so it proves nothing.
#[tokio::test(flavor = "multi_thread")]
async fn targets_of_a_zone_that_is_out_of_reach_are_not_taken_for_ended() {
    let mut plant = Plant::start().await;
    let mut far = Vec::new();
    for number in 0..3 {
        let config = TargetConfig::new(&format!("i-{number}"), "plain", "b");
        far.push(plant.target_with(config).await);
    }
    let entries = entries(&mut plant).await;
    for target in &far {
        target.set_fault(target::Fault::Crash);
    }
    for entry in &entries {
        let _ = entry.ask_with("/once/a", KEY, "innocent").await;
    }
    assert!(far.iter().all(|it| it.process_has_ended()));
    sleep(BOUND).await;
    plant.target("i-near", "plain").await;
    for entry in &entries {
        until("it is served", async || {
            status(entry, "/once/a", KEY, "innocent").await == 200
        })
        .await;
    }
}

/// Targets are taken for ended, for instance in a cut, and live; later they
/// end under deadly work. Of targets that had been taken for ended once no end
/// was believed any more, and the work went on to the next.
#[tokio::test(flavor = "multi_thread")]
async fn targets_that_were_taken_for_ended_may_end_after_all() {
    let scene = Scene::start_with(RouteKind::Calls, 4).await;
    let entry = &scene.entries[0];
    let to = entry.settings.own_peer_address();
    let lose = Duration::from_millis(100);
    let all_lost = async || {
        for target in scene.targets.iter().filter_map(|it| it.listen_address())
        {
            tell_lost(target, to).await;
        }
    };
    scene
        .targets
        .iter()
        .for_each(|it| it.set_fault(target::Fault::LoseAnswer));
    let have_run =
        || scene.targets.iter().all(|it| !it.executed_requests().is_empty());
    let mut sent = 0;
    while !have_run() {
        let body = format!("innocent {sent}");
        let _ = timeout(lose, entry.ask_with("/once/a", KEY, &body)).await;
        all_lost().await;
        sent += 1;
        assert!(sent < 200, "some target gets nothing");
    }
    until("they are taken for ended", async || {
        let ended = "doubts_total{outcome=\"ended\"";
        entry.metric(ended).await >= Some(scene.targets.len() as f64)
    })
    .await;
    // Each answers somebody, which takes its end back.
    let before: Vec<usize> =
        scene.targets.iter().map(|it| it.executed_requests().len()).collect();
    let answered = |(target, before): (&Arc<Target>, &usize)| {
        target.executed_requests().len() > *before
    };
    while !scene.targets.iter().zip(&before).all(answered) {
        let asked = (0..32).map(|number| async move {
            status(entry, "/once/a", KEY, &number.to_string()).await
        });
        join_all(asked).await;
    }
    scene.end_three("/once/a").await;
    sleep(BOUND).await;
    scene.is_refused("/once/a").await;
}

/// Answers that were on their way when their targets ended arrive after the
/// news of it. Only an answer to what was sent later says that they live.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_was_on_its_way_takes_no_end_back() {
    let scene = Scene::start_with(RouteKind::Calls, 3).await;
    let entry = &scene.entries[0];
    let to = entry.settings.own_peer_address();
    let slow = target::Fault::Slow(Duration::from_millis(900));
    scene.targets.iter().for_each(|it| it.set_fault(slow));
    let have_run = |body| scene.targets.iter().all(|it| has_run(it, body));
    let on_their_way = async {
        let asked =
            (0..12).map(|_| status(entry, "/once/a", KEY, "on its way"));
        assert_eq!(join_all(asked).await, [200; 12]);
    };
    let ends = async {
        let on_their_way = || {
            let runs = scene.targets.iter().map(|it| {
                let runs = it.executed_requests();
                runs.iter().filter(|it| it.body == "on its way").count()
            });
            runs.sum::<usize>()
        };
        // One that came later would take the fault that is meant for others.
        until("each has some, and all are there", async || {
            have_run("on its way") && on_their_way() == 12
        })
        .await;
        while !have_run("suspect") {
            for target in &scene.targets {
                target.set_fault(target::Fault::LoseAnswer);
            }
            let _ = entry.ask_with("/once/a", KEY, "suspect").await;
            for target in
                scene.targets.iter().filter(|it| has_run(it, "suspect"))
            {
                let Some(target) = target.listen_address() else { continue };
                tell_lost(target, to).await;
            }
        }
        until_refused(entry, 1.0).await;
    };
    tokio::join!(on_their_way, ends);
    assert_eq!(status(entry, "/once/a", KEY, "suspect").await, 503);
}

/// An agent says that its engine's process is gone. It stands on the same VM
/// and is believed, although the address takes connections: another process
/// may have it by now.
#[tokio::test(flavor = "multi_thread")]
async fn an_agents_word_that_its_engine_is_gone_counts() {
    let mut plant = Plant::start().await;
    let mut targets = Vec::new();
    for number in 0..5 {
        let config = TargetConfig::new(&format!("i-{number}"), "model", "b")
            .with_events(5, Duration::from_millis(2));
        targets.push(plant.target_with(config).await);
    }
    let entry = plant.entry().await;
    let to = entry.settings.own_peer_address();
    let agents = targets.clone();
    tokio::spawn(async move {
        loop {
            for target in agents.iter().filter(|it| has_run(it, DEADLY)) {
                let Some(target) = target.listen_address() else { continue };
                tell_lost(target, to).await;
            }
            sleep(Duration::from_millis(20)).await;
        }
    });
    let mut sent = 0;
    while targets.iter().filter(|it| has_run(it, DEADLY)).count() < 3 {
        assert!(sent < 30, "the work reaches no three targets");
        targets.iter().for_each(|it| it.set_fault(target::Fault::LoseAnswer));
        let _ = entry.ask_with("/stream/a", KEY, DEADLY).await;
        sent += 1;
    }
    until_refused(&entry, 1.0).await;
    targets.iter().for_each(|it| it.set_fault(target::Fault::None));
    assert_eq!(status(&entry, "/stream/a", KEY, DEADLY).await, 503);
    assert_eq!(status(&entry, "/stream/a", KEY, "other").await, 200);
}

fn has_run(target: &Target, body: &str) -> bool {
    target.executed_requests().iter().any(|it| it.body == body)
}

/// A target that has no room for another connection, so that one is made for
/// ever.
struct Full {
    address: SocketAddr,
    _listener: TcpListener,
    _waiting: Vec<TcpStream>,
}

impl Full {
    async fn start(plant: &mut Plant, id: &str) -> Full {
        let socket = TcpSocket::new_v4().expect("a socket");
        let address = (plant.vm(), 0).into();
        socket.bind(address).expect("a free port");
        let listener = socket.listen(1).expect("it listens");
        let address = listener.local_addr().expect("an address");
        let mut waiting = Vec::new();
        while let Ok(Ok(stream)) =
            timeout(Duration::from_millis(50), TcpStream::connect(address))
                .await
        {
            waiting.push(stream);
        }
        let said = target::Announcement {
            service: "plain",
            listen_address: address,
            zone: "a",
            state: "ready",
            sequence: 1,
            start_unix_ms: None,
        };
        plant.log.put(TARGETS_TOPIC, id, Some(said.to_json().as_bytes()));
        Full { address, _listener: listener, _waiting: waiting }
    }
}
