//! One bad target of sixteen, and all of them bad at once.
//!
//! Callers send once, at 60% of the capacity. A request is hurt when it has
//! no answer or takes longer than [`HURT`]. Detection is the time from the
//! fault until a quarter of a second in which at most one in a hundred
//! requests is hurt; the hurt share is that of all requests after it.

use std::{
    io,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use cowsliproad_kernel::{plugin::inventory, sync::lock};
use cowsliproad_net::client::Client;
use cowsliproad_standin::{fault::Fault, plain};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use serde_json::json;
use tokio::{task::JoinSet, time::sleep};

use super::{Extent, Options, Outcome, Plugin, block_on};
use crate::{
    load,
    plant::{Backend, Config, Plant},
    workload,
};

inventory::submit! {
    Plugin {
        name: "outage",
        about: "Slow, stalled, black-hole and fast-failing targets",
        start: |options| block_on(run(options)),
    }
}

/// Targets.
const TARGETS: usize = 16;

/// Slots of a target.
const SLOTS: u32 = 4;

/// Time that a request holds a slot.
const SERVICE: Duration = Duration::from_millis(10);

/// Requests a second, 60% of what the targets serve.
const RATE: u64 = 3_300;

/// A request that takes longer is hurt.
const HURT: Duration = Duration::from_millis(250);

/// The grain of detection.
const BUCKET: Duration = Duration::from_millis(250);

/// How long things are well before and after a fault.
const CALM: Duration = Duration::from_secs(1);

/// One request.
#[derive(Clone, Copy, Debug)]
struct Shot {
    start: Duration,
    taken: Duration,
    good: bool,
}

impl Shot {
    fn is_hurt(&self) -> bool {
        !self.good || self.taken > HURT
    }
}

async fn run(options: Options) -> io::Result<Outcome> {
    let time = match options.extent {
        Extent::Full => Duration::from_secs(8),
        Extent::Quick => Duration::from_secs(2),
    };
    let mut figures = json!({});
    let mut broken = Vec::new();
    let faults = [
        ("slow", Fault::Slow(4)),
        ("stalled", Fault::Stall),
        ("black_hole", Fault::BlackHole),
        ("fast_fail", Fault::Error),
    ];
    for (name, fault) in faults {
        eprintln!("one target: {name}");
        let plant = start(options).await?;
        let shots = play(&plant, &[0], fault, time).await;
        let (detect, hurt) = judge(&shots, time);
        figures[format!("hurt_share_{name}")] = json!(hurt);
        figures[format!("detect_ms_{name}")] = json!(detect.as_millis());
        if hurt > 0.01 {
            broken.push(format!("{name}: {hurt:.4} hurt after detection"));
        }
    }
    eprintln!("all targets fail");
    let plant = start(options).await?;
    let all: Vec<usize> = (0..TARGETS).collect();
    let shots = play(&plant, &all, Fault::Error, time).await;
    let calls: u64 = plains(&plant).map(|it| it.calls()).sum();
    let amplification = calls as f64 / shots.len() as f64;
    let recovery = recovery(&shots, time);
    figures["amplification"] = json!(amplification);
    figures["recovery_goodput_5s"] = json!(recovery);
    if amplification > 1.1 {
        broken.push(format!("amplification {amplification:.3}"));
    }
    if recovery < 0.95 {
        broken.push(format!("goodput {recovery:.3} after recovery"));
    }
    Ok(Outcome::new(figures).with_broken(broken))
}

async fn start(options: Options) -> io::Result<Plant> {
    let config = Config {
        zones: 3,
        entries: 4,
        engines: 0,
        plains: TARGETS,
        plain: plain::Config {
            slots: SLOTS as usize,
            service_us: SERVICE.as_micros() as u64,
        },
        plain_slots: SLOTS,
        silence: Duration::from_millis(500),
        log: options.log,
        ..Config::new()
    };
    Plant::start(config).await
}

fn plains(plant: &Plant) -> impl Iterator<Item = &Arc<plain::Plain>> {
    plant.sites.iter().filter_map(|site| match &site.backend {
        Backend::Plain(plain) => Some(plain),
        Backend::Engine(_) => None,
    })
}

/// Sends while the given targets are bad from [`CALM`] on, for a time.
async fn play(
    plant: &Plant,
    bad: &[usize],
    fault: Fault,
    time: Duration,
) -> Vec<Shot> {
    let chosen: Vec<_> = plains(plant)
        .enumerate()
        .filter(|(index, _)| bad.contains(index))
        .map(|(_, plain)| plain.switch.clone())
        .collect();
    tokio::spawn(async move {
        sleep(CALM).await;
        chosen.iter().for_each(|switch| switch.set(fault));
        sleep(time).await;
        chosen.iter().for_each(|switch| switch.set(Fault::None));
    });
    send(plant, CALM + time + CALM * 6).await
}

async fn send(plant: &Plant, time: Duration) -> Vec<Shot> {
    let shots = Arc::new(Mutex::new(Vec::new()));
    let client = Client::new();
    let mut calls = JoinSet::new();
    let mut beats = load::metronome(RATE, time);
    let begin = Instant::now();
    let mut number = 0u64;
    while beats.recv().await.is_some() {
        let Some(entry) = plant.balancer.pick() else { continue };
        let (client, shots) = (client.clone(), shots.clone());
        number += 1;
        calls.spawn(async move {
            let start = begin.elapsed();
            let good = post(&client, entry, number).await;
            let taken = begin.elapsed() - start;
            lock(&shots).push(Shot { start, taken, good });
        });
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
    std::mem::take(&mut *lock(&shots))
}

async fn post(
    client: &Client,
    entry: std::net::SocketAddr,
    number: u64,
) -> bool {
    let key = format!("Bearer {}", workload::key("harju-hangars"));
    let body = json!({ "id": format!("r{number}-0") }).to_string();
    let request =
        Request::post(format!("http://{entry}/v1/access/gate-check"))
            .header(header::AUTHORIZATION, key)
            .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else { return false };
    let patience = Duration::from_secs(10);
    let reply = client.call(request, 1 << 20, patience).await;
    reply.is_ok_and(|it| it.status() == StatusCode::OK)
}

/// Detection time and the hurt share after it.
fn judge(shots: &[Shot], time: Duration) -> (Duration, f64) {
    let during = |from: Duration, to: Duration| {
        let shots =
            shots.iter().filter(move |it| it.start >= from && it.start < to);
        let (mut all, mut hurt) = (0u64, 0u64);
        for shot in shots {
            all += 1;
            hurt += u64::from(shot.is_hurt());
        }
        hurt as f64 / all.max(1) as f64
    };
    let end = CALM + time;
    let mut at = CALM;
    while at < end && during(at, at + BUCKET) > 0.01 {
        at += BUCKET;
    }
    (at - CALM, during(at, end))
}

/// The share of good answers among requests of the five seconds that start
/// when the targets are well again.
fn recovery(shots: &[Shot], time: Duration) -> f64 {
    let from = CALM + time;
    let to = from + Duration::from_secs(5);
    let after = shots.iter().filter(|it| it.start >= from && it.start < to);
    let (mut all, mut good) = (0u64, 0u64);
    for shot in after {
        all += 1;
        good += u64::from(shot.good);
    }
    good as f64 / all.max(1) as f64
}
