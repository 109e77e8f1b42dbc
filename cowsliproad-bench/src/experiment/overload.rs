//! More work than capacity: urgent work stays on time, what is accepted is
//! answered, the rest is refused at once, and a flood hurts its sender only.
//!
//! Callers send once and take the first answer, so that refused work does
//! not come back as load. The baseline declares the same urgency for all
//! types, which leaves the queue in order of arrival.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use cowsliproad_config::{ConfigObject, object::RequestRepeatability};
use cowsliproad_kernel::{
    clock::Millis, log::Level, plugin::inventory, sync::lock, wire::Urgency,
};
use cowsliproad_net::client::Client;
use cowsliproad_standin::plain;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::{Extent, Options, Outcome, Plugin, block_on};
use crate::{
    load,
    plant::{Config, Plant},
    workload::{self, Job, KINDS, Kind},
};

inventory::submit! {
    Plugin {
        name: "overload",
        about: "Urgent work on time at up to three times the capacity",
        start: |options| block_on(run(options)),
    }
}

/// Slots of a plain service.
const SLOTS: u32 = 8;

/// Plain services.
const PLAINS: usize = 3;

/// Time that a request holds a slot.
const SERVICE: Duration = Duration::from_millis(20);

/// The deadline of urgent work in this experiment.
const URGENT_MS: u64 = 1_000;

/// The deadline of other work in this experiment.
const OTHER_MS: u64 = 4_000;

/// The share of urgent requests, in percent.
const URGENT_PERCENT: u32 = 30;

/// The organisation that floods.
const FLOODER: &str = "lasnamae-hangar";

/// How much more than usual it sends.
const FLOOD: f64 = 10.0;

/// What callers got.
#[derive(Debug, Default)]
struct Score {
    urgent: Share,
    others: Share,
    refused: u64,
    lost: u64,
    /// From the first request to the last answer.
    taken: Duration,
    by_organisation: BTreeMap<&'static str, Share>,
}

/// Answers on time among those sent.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    sent: u64,
    on_time: u64,
}

impl Share {
    fn note(&mut self, on_time: bool) {
        self.sent += 1;
        self.on_time += u64::from(on_time);
    }

    fn value(self) -> f64 {
        self.on_time as f64 / self.sent.max(1) as f64
    }
}

/// What became of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Whole,
    Refused,
    Lost,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Order {
    Urgency,
    Arrival,
}

async fn run(options: Options) -> io::Result<Outcome> {
    let time = match options.extent {
        Extent::Full => Duration::from_secs(12),
        Extent::Quick => Duration::from_secs(3),
    };
    let capacity = measure(options, time / 3).await?;
    eprintln!("capacity {capacity:.0} requests/s");
    let play = async |factor: f64, order, flood| {
        eprintln!("{factor} times the capacity, {order:?}, flood {flood}");
        play(options, capacity * factor, order, flood, time).await
    };
    let full = play(1.0, Order::Urgency, 1.0).await?;
    let more = play(1.5, Order::Urgency, 1.0).await?;
    let most = play(3.0, Order::Urgency, 1.0).await?;
    let fifo = play(1.5, Order::Arrival, 1.0).await?;
    let calm = play(0.7, Order::Urgency, 1.0).await?;
    let flood = play(0.7, Order::Urgency, FLOOD).await?;
    let goodput = |score: &Score| {
        let answered = score.urgent.on_time + score.others.on_time;
        answered as f64 / score.taken.as_secs_f64() / capacity
    };
    let lost = [&full, &more, &most, &calm, &flood];
    let lost: u64 = lost.iter().map(|it| it.lost).sum();
    let shift = 100.0 * (without(&calm) - without(&flood));
    let figures = json!({
        "capacity_per_s": capacity,
        "urgent_on_time_1x": full.urgent.value(),
        "urgent_on_time": more.urgent.value(),
        "urgent_on_time_3x": most.urgent.value(),
        "urgent_on_time_fifo": fifo.urgent.value(),
        "others_on_time": more.others.value(),
        "refused_share_3x": most.refused as f64
            / (most.urgent.sent + most.others.sent) as f64,
        "accepted_lost": lost,
        "goodput": goodput(&more),
        "goodput_3x": goodput(&most),
        "flood_shift_points": shift,
        "flooder_on_time": flood.by_organisation[FLOODER].value(),
    });
    Ok(Outcome::new(figures.clone()).with_broken(check(&figures)))
}

fn check(figures: &Value) -> Vec<String> {
    let get = |name: &str| figures[name].as_f64().unwrap_or(f64::NAN);
    let mut broken = Vec::new();
    let mut demand = |met: bool, what: &str| {
        if !met {
            broken.push(what.to_string());
        }
    };
    demand(get("urgent_on_time") >= 0.999, "urgent work late at 1.5x");
    demand(get("urgent_on_time_3x") >= 0.999, "urgent work late at 3x");
    demand(get("accepted_lost") == 0.0, "accepted work was lost");
    demand(get("goodput") >= 0.95, "goodput below 95% of capacity");
    demand(get("flood_shift_points") <= 0.1, "a flood hurt others");
    broken
}

/// The on-time share of all but the flooding organisation.
fn without(score: &Score) -> f64 {
    let mut sum = Share::default();
    for (name, share) in &score.by_organisation {
        if *name != FLOODER {
            sum.sent += share.sent;
            sum.on_time += share.on_time;
        }
    }
    sum.value()
}

async fn start(log: Level, order: Order) -> io::Result<Plant> {
    let config = Config {
        zones: 3,
        entries: 4,
        engines: 0,
        plains: PLAINS,
        plain: plain::Config {
            slots: SLOTS as usize,
            service_us: SERVICE.as_micros() as u64,
        },
        plain_slots: SLOTS,
        silence: Duration::from_secs(5),
        log,
        ..Config::new()
    };
    let plant = Plant::start_empty(config).await?;
    let mut objects = plant.objects();
    for object in &mut objects {
        if let ConfigObject::RequestType(it) = object {
            let urgent = it.urgency == Urgency::Urgent;
            let deadline = if urgent { URGENT_MS } else { OTHER_MS };
            it.deadline_ms = Millis(deadline);
            if order == Order::Arrival {
                it.urgency = Urgency::Normal;
            }
        }
    }
    plant.load(&objects).await?;
    plant.settle().await?;
    Ok(plant)
}

/// Requests a second that the targets serve when they never idle.
async fn measure(options: Options, time: Duration) -> io::Result<f64> {
    let plant = start(options.log, Order::Urgency).await?;
    let slots = f64::from(SLOTS) * PLAINS as f64;
    let guess = slots / SERVICE.as_secs_f64();
    let start = Instant::now();
    let score = send(&plant, guess * 1.3, 1.0, options.seed, time).await;
    // What still waited at the end was served after it.
    let answered = score.urgent.on_time + score.others.on_time;
    Ok(answered as f64 / start.elapsed().as_secs_f64())
}

async fn play(
    options: Options,
    rate: f64,
    order: Order,
    flood: f64,
    time: Duration,
) -> io::Result<Score> {
    let plant = start(options.log, order).await?;
    Ok(send(&plant, rate, flood, options.seed, time).await)
}

async fn send(
    plant: &Plant,
    rate: f64,
    flood: f64,
    seed: u64,
    time: Duration,
) -> Score {
    let start = Instant::now();
    let mut random = StdRng::seed_from_u64(seed);
    let score = Arc::new(Mutex::new(Score::default()));
    let client = Client::new();
    let mut calls = JoinSet::new();
    let organisations = workload::ORGANISATIONS.len() as f64;
    let extra = rate * (flood - 1.0) / organisations;
    let mut beats = load::metronome((rate + extra) as u64, time);
    let mut number = 0;
    while beats.recv().await.is_some() {
        let flooding = random.random_bool(extra / (rate + extra));
        let mut job = draw(&mut random);
        job.number = number;
        number += 1;
        if flooding {
            job.organisation = FLOODER;
        }
        let Some(entry) = plant.balancer.pick() else { continue };
        let (client, score) = (client.clone(), score.clone());
        calls.spawn(async move {
            let start = Instant::now();
            let end = shoot(&client, entry, &job).await;
            let limit = Duration::from_millis(deadline(job.kind));
            let on_time = end == End::Whole && start.elapsed() <= limit;
            note(&score, &job, end, on_time);
        });
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
    let mut score = std::mem::take(&mut *lock(&score));
    score.taken = start.elapsed();
    score
}

fn note(score: &Mutex<Score>, job: &Job, end: End, on_time: bool) {
    let mut score = lock(score);
    match job.kind.urgency {
        Urgency::Urgent => score.urgent.note(on_time),
        _ => score.others.note(on_time),
    }
    let share = score.by_organisation.entry(job.organisation);
    share.or_default().note(on_time);
    score.refused += u64::from(end == End::Refused);
    score.lost += u64::from(end == End::Lost);
}

/// A request to the access service, urgent as often as planned, of any
/// organisation alike.
fn draw(random: &mut StdRng) -> Job {
    let urgent = random.random_ratio(URGENT_PERCENT, 100);
    let fits = KINDS.iter().filter(|it| {
        it.service == "access" && (it.urgency == Urgency::Urgent) == urgent
    });
    let kinds: Vec<&'static Kind> = fits.collect();
    let kind = kinds[random.random_range(0..kinds.len())];
    let names = workload::ORGANISATIONS;
    let organisation = names[random.random_range(0..names.len())];
    Job { kind, organisation, number: 0 }
}

fn deadline(kind: &Kind) -> u64 {
    match kind.urgency {
        Urgency::Urgent => URGENT_MS,
        _ => OTHER_MS,
    }
}

/// Sends once, with a ticket where one is needed.
async fn shoot(
    client: &Client,
    entry: std::net::SocketAddr,
    job: &Job,
) -> End {
    let mut ticket = None;
    for _ in 0..2 {
        let Some(reply) = post(client, entry, job, ticket).await else {
            return End::Lost;
        };
        if reply.status() == StatusCode::OK {
            return End::Whole;
        }
        ticket = reply.headers().get("request-ticket").cloned();
        if ticket.is_none() {
            let body: Value =
                serde_json::from_slice(reply.body()).unwrap_or_default();
            let ran = body["ran"].as_str();
            let refused = matches!(ran, Some("NOT_RUN" | "NOT_FORWARDED"));
            return if refused { End::Refused } else { End::Lost };
        }
    }
    End::Lost
}

async fn post(
    client: &Client,
    entry: std::net::SocketAddr,
    job: &Job,
    ticket: Option<http::HeaderValue>,
) -> Option<http::Response<Bytes>> {
    let kind = job.kind;
    let uri = format!("http://{entry}/v1/{}/{}", kind.service, kind.name);
    let key = format!("Bearer {}", workload::key(job.organisation));
    let mut request = Request::post(uri).header(header::AUTHORIZATION, key);
    if let Some(ticket) = ticket {
        debug_assert_eq!(kind.repeat, RequestRepeatability::Never);
        request = request.header("request-ticket", ticket);
    }
    let body = job.body(&job.run_id(0)).to_string();
    let request = request.body(Full::new(Bytes::from(body))).ok()?;
    let patience = Duration::from_secs(15);
    client.call(request, 1 << 20, patience).await.ok()
}
