//! Crowds one after another beside callers who behave, while the entry process
//! is killed, stopped and frozen. Repeatable by a seed:
//!
//! `FIRST_SEED=1 SEEDS=50 cargo test -p cowsliproad-direct --test crowds siege -- --nocapture`
//!
//! Every process stays within its VM and ends only when it is told to. What
//! callers were told holds: a request that must not be repeated runs once at
//! most, and not at all if its answer promised that. Afterwards ordinary callers
//! are answered.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cowsliproad_net::client::Client;
use cowsliproad_platform::header;
use http::{Request, StatusCode};
use http_body_util::Full;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use tokio::time::sleep;

use crate::{
    callers::{Body, Crowd},
    harness::{KEY, PATIENCE},
    vm::{Scene, Vm},
};

/// Crowds of a play.
const ROUNDS: usize = 5;

/// Callers who behave, each with one request at a time.
const SOUND_CALLERS: usize = 6;

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [StatusCode; 4] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
];

/// What happens to the entry process in the middle of a crowd.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    None,
    Kill,
    Stop,
    Freeze,
}

/// A request that must not be repeated, and the status of its answer.
type Sent = (String, Option<StatusCode>);

/// Seeds to play, one unless `SEEDS` says otherwise.
fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok()?.parse().ok();
    let first = number("FIRST_SEED").unwrap_or(1);
    first..first + number("SEEDS").unwrap_or(1)
}

fn draw_bodies(random: &mut StdRng, vm: Vm) -> Vec<Body> {
    let max = vm.max_body_bytes;
    let count = random.random_range(10..=vm.callers_beyond_memory());
    let draw = |random: &mut StdRng| {
        let sent = random.random_range(1..max);
        match random.random_range(0..7) {
            0 => Body::with_length(max, max - 1),
            1 => Body::with_length(max, sent).in_pieces(4 << 10),
            2 => Body::with_length(sent, sent).to("/slow/crowd"),
            3 => Body::in_chunks(64 << 10, sent),
            4 => Body::in_chunks(1, sent / 16),
            5 => Body::with_length(100 * max, 4 * max),
            _ => Body::in_chunks(64 << 10, 4 * max),
        }
    };
    (0..count).map(|_| draw(random)).collect()
}

/// Sends requests that must not be repeated, one after the other, until told
/// to end. Comes back as told.
async fn behave(entry: SocketAddr, is_over: &AtomicBool) -> Vec<Sent> {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    let uri = format!("http://{entry}/once/sound");
    let mut sent = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let id = format!("sound-{number}");
        let request = Request::post(&uri)
            .header(http::header::HOST, "host.example")
            .header(http::header::AUTHORIZATION, format!("Bearer {KEY}"))
            .header(header::REQUEST_ID, &id)
            .header(header::TIME_LEFT, "4000")
            .body(Full::new(Bytes::from(vec![b'x'; 2_000])))
            .expect("a request");
        let answer = Client::new().call(request, 1 << 20, PATIENCE).await;
        let status = answer.ok().map(|it| it.status());
        sent.push((id, status));
        sleep(Duration::from_millis(20)).await;
    }
    sent
}

async fn send_crowds(scene: &mut Scene, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    for round in 0..ROUNDS {
        let name = format!("seed {seed}, crowd {round}");
        let bodies = draw_bodies(&mut random, scene.vm);
        let disruption = match random.random_range(0..6) {
            0 => Disruption::Kill,
            1 => Disruption::Stop,
            2 => Disruption::Freeze,
            _ => Disruption::None,
        };
        let lasts = Duration::from_millis(random.random_range(100..1_500));
        let crowd = Crowd::start(scene.address(), bodies).await;
        sleep(lasts).await;
        match disruption {
            Disruption::None => scene.until_at_rest(&crowd).await,
            Disruption::Kill => {
                scene.check_process(&name);
                scene.restart(Signal::KILL).await;
            }
            Disruption::Stop => scene.restart(Signal::TERM).await,
            Disruption::Freeze => {
                scene.entry().signal(Signal::STOP);
                sleep(lasts).await;
                scene.entry().signal(Signal::CONT);
                scene.until_at_rest(&crowd).await;
            }
        }
        scene.check_process(&name);
        crowd.check_answers(&[200, 408, 413, 502, 503, 504]);
    }
}

async fn play(seed: u64) {
    let mut scene = Scene::start().await;
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..SOUND_CALLERS)
        .map(|_| {
            let (entry, is_over) = (scene.address(), is_over.clone());
            tokio::spawn(async move { behave(entry, &is_over).await })
        })
        .collect();
    send_crowds(&mut scene, seed).await;
    is_over.store(true, Ordering::Relaxed);
    let mut sent: Vec<Sent> = Vec::new();
    for caller in callers {
        sent.extend(caller.await.expect("no panic"));
    }
    scene.check(&format!("seed {seed}, afterwards")).await;
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in scene.targets.iter().flat_map(|it| it.executed_requests()) {
        *runs.entry(run.request_id).or_default() += 1;
    }
    let mut statuses: HashMap<Option<StatusCode>, usize> = HashMap::new();
    for (id, status) in &sent {
        *statuses.entry(*status).or_default() += 1;
        let runs = runs.get(id).copied().unwrap_or(0);
        assert!(runs <= 1, "seed {seed}: {id} ran {runs} times");
        let promises_not_run = status.is_some_and(|it| NOT_RUN.contains(&it));
        assert!(
            runs == 0 || !promises_not_run,
            "seed {seed}: {id} ran and got {status:?}"
        );
        assert!(
            runs == 1 || *status != Some(StatusCode::OK),
            "seed {seed}: {id} did not run and got a success"
        );
    }
    println!("seed {seed}: sound callers got {statuses:?}");
}

/// Guards against crowds that harm what callers were promised.
#[tokio::test(flavor = "multi_thread")]
async fn a_siege_of_crowds_breaks_no_promise() {
    for seed in seeds() {
        play(seed).await;
    }
}
