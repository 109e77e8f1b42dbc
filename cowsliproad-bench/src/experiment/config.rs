//! Configuration changes while the log loses answers and goes down.
//!
//! Operators change objects of their own and race on a shared one, through
//! all entries. A sampler looks at every entry and agent and notes when each
//! accepted revision is in force there, and whether anything goes back. In
//! one outage the entries of a whole zone are replaced, and have to find the
//! configuration at their peers or agents.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use cowsliproad_agent::replica::ConfigReplica;
use cowsliproad_config::{
    ConfigObject,
    object::{ObjectKey, ObjectKind, Organisation},
};
use cowsliproad_ctl::client::{Client, Error, Mode};
use cowsliproad_entry::EntryState;
use cowsliproad_kernel::{
    code::{ExecutionStatus, ResultCode},
    id,
    plugin::inventory,
    sync::lock,
};
use cowsliproad_standin::fault::Fault;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::time::sleep;

use super::{Extent, Options, Outcome, Plugin, block_on};
use crate::{
    plant::{Config, Plant},
    tally::{histogram, quantile},
};

inventory::submit! {
    Plugin {
        name: "config",
        about: "Changes while the log loses answers and goes down",
        start: |options| block_on(run(options)),
    }
}

/// Operators that change objects of their own.
const OPERATORS: usize = 6;

/// Operators that race on one object.
const RACERS: usize = 2;

/// The mean wait between two changes of an operator.
const PAUSE_MS: std::ops::Range<u64> = 20..120;

/// How often every replica is looked at.
const SAMPLE: Duration = Duration::from_millis(2);

/// How long an outage of the log lasts.
const OUTAGE: Duration = Duration::from_millis(1_500);

/// One in so many appends loses its answer.
const LOSE_EVERY: u64 = 7;

/// How long replicas get to agree at the end.
const AGREE: Duration = Duration::from_secs(5);

/// A replica that is looked at.
#[derive(Clone)]
enum Watched {
    Entry(Arc<EntryState>),
    Agent(Arc<ConfigReplica>),
}

impl Watched {
    fn next(&self) -> u64 {
        match self {
            Watched::Entry(shared) => {
                shared.published_view.current_view().config_state.next_offset()
            }
            Watched::Agent(replica) => replica.next_offset(),
        }
    }

    fn revision(&self, key: &ObjectKey) -> u64 {
        let of = |state: &cowsliproad_config::ConfigState| {
            state.get(key).map_or(0, |it| it.revision)
        };
        match self {
            Watched::Entry(shared) => {
                of(&shared.published_view.current_view().config_state)
            }
            Watched::Agent(replica) => replica.read_config(of),
        }
    }

    fn value(&self, key: &ObjectKey) -> Option<u32> {
        let of = |state: &cowsliproad_config::ConfigState| match state.get(key)
        {
            Some(it) => match &it.object {
                ConfigObject::Organisation(it) => Some(it.max_in_flight),
                _ => None,
            },
            None => None,
        };
        match self {
            Watched::Entry(shared) => {
                of(&shared.published_view.current_view().config_state)
            }
            Watched::Agent(replica) => replica.read_config(of),
        }
    }
}

/// What operators were told.
#[derive(Default)]
struct Ledger {
    /// Accepted revisions that are not yet in force everywhere, with the
    /// start of their calls.
    pending: BTreeMap<u64, Instant>,
    accepted: u64,
    refused: u64,
    not_run: u64,
    unknown: u64,
    /// The last accepted revision and value of each object.
    last: HashMap<ObjectKey, (u64, u32)>,
    /// Values that operators were told did not take effect.
    denied: HashMap<ObjectKey, Vec<u32>>,
}

struct Run {
    ledger: Mutex<Ledger>,
    watched: Mutex<HashMap<String, Watched>>,
    in_force: Mutex<Histogram<u64>>,
    reverted: Mutex<u64>,
}

async fn run(options: Options) -> io::Result<Outcome> {
    let time = match options.extent {
        Extent::Full => Duration::from_secs(30),
        Extent::Quick => Duration::from_secs(6),
    };
    let config = Config {
        zones: 3,
        entries: 8,
        engines: 8,
        plains: 8,
        log: options.log,
        ..Config::new()
    };
    eprintln!("starting 8 entries and 16 agents");
    let mut plant = Plant::start(config).await?;
    let run = Arc::new(Run {
        ledger: Mutex::default(),
        watched: Mutex::default(),
        in_force: Mutex::new(histogram()),
        reverted: Mutex::new(0),
    });
    watch(&run, &plant);
    let sampler = tokio::spawn(sample(run.clone()));
    let operators = start_operators(&run, &plant, options.seed, time);
    plant.log.lose_every(LOSE_EVERY);
    let late = play(&run, &mut plant, time).await?;
    for operator in operators {
        operator.await.map_err(io::Error::other)?;
    }
    let lost = settle(&run).await;
    sampler.abort();
    Ok(outcome(&run, lost, late))
}

fn watch(run: &Run, plant: &Plant) {
    let mut watched = lock(&run.watched);
    for gateway in &plant.gateways {
        if let Some(entry) = &gateway.entry {
            let shared = Watched::Entry(entry.handle.shared.clone());
            watched.insert(gateway.name.clone(), shared);
        }
    }
    for site in &plant.sites {
        if let Some(agent) = &site.agent {
            let replica = Watched::Agent(agent.handle.replica.clone());
            watched.insert(site.name.clone(), replica);
        }
    }
}

fn start_operators(
    run: &Arc<Run>,
    plant: &Plant,
    seed: u64,
    time: Duration,
) -> Vec<tokio::task::JoinHandle<()>> {
    // The zone whose entries are replaced takes no orders, so that its
    // operators don't mistake a new process for the old one.
    let entries: Vec<Client> = plant
        .gateways
        .iter()
        .filter(|it| it.zone != 0)
        .filter_map(|it| it.entry.as_ref())
        .map(|it| Client::new(it.handle.admin_address))
        .collect();
    (0..OPERATORS + RACERS)
        .map(|index| {
            let name = match index < OPERATORS {
                true => format!("operator-{index}"),
                false => "shared".to_string(),
            };
            let random = StdRng::seed_from_u64(seed ^ (index as u64) << 8);
            let operator = Operator {
                run: run.clone(),
                entries: entries.clone(),
                key: ObjectKey::new(ObjectKind::Organisation, &name),
                random,
                value: index as u32 * 1_000_000 + 1,
            };
            tokio::spawn(operator.work(Instant::now() + time))
        })
        .collect()
}

struct Operator {
    run: Arc<Run>,
    entries: Vec<Client>,
    key: ObjectKey,
    random: StdRng,
    value: u32,
}

impl Operator {
    async fn work(mut self, until: Instant) {
        while Instant::now() < until {
            let wait = self.random.random_range(PAUSE_MS);
            sleep(Duration::from_millis(wait)).await;
            let index = self.random.random_range(0..self.entries.len());
            let client = self.entries[index].clone();
            self.change(&client).await;
        }
    }

    async fn change(&mut self, client: &Client) {
        let base = match client.get(&self.key).await {
            Ok(it) => it.revision,
            Err(_) => 0,
        };
        self.value += 1;
        let object = ConfigObject::Organisation(Organisation {
            name: self.key.name.clone(),
            api_key_hashes: Vec::new(),
            capacity_weight: 1,
            max_in_flight: self.value,
        });
        let command = id::Command::random();
        let start = Instant::now();
        let mut outcome =
            client.put(command, base, &object, Mode::Commit).await;
        // An unknown outcome is resolved by sending the command again.
        for _ in 0..20 {
            match &outcome {
                Err(error) if is_unknown(error) => {
                    sleep(Duration::from_millis(100)).await;
                    outcome =
                        client.put(command, base, &object, Mode::Commit).await;
                }
                _ => break,
            }
        }
        self.note(outcome, start);
    }

    fn note(&self, outcome: Result<u64, Error>, start: Instant) {
        let mut ledger = lock(&self.run.ledger);
        match outcome {
            Ok(revision) => {
                ledger.accepted += 1;
                ledger.pending.insert(revision, start);
                let value = (revision, self.value);
                let last = ledger.last.entry(self.key.clone());
                let last = last.or_insert(value);
                if last.0 < revision {
                    *last = value;
                }
            }
            Err(Error::Change {
                ran: ExecutionStatus::NotRun, code, ..
            }) => {
                match code {
                    ResultCode::StaleBase => ledger.refused += 1,
                    _ => ledger.not_run += 1,
                }
                let denied = ledger.denied.entry(self.key.clone());
                denied.or_default().push(self.value);
            }
            Err(_) => ledger.unknown += 1,
        }
    }
}

fn is_unknown(error: &Error) -> bool {
    error.code() == Some(ResultCode::AppendUnknown)
        || matches!(error, Error::Call(_))
}

/// Two outages, the second with the entries of a zone replaced. Returns the
/// entries that did not find the configuration while the log was down.
async fn play(
    run: &Run,
    plant: &mut Plant,
    time: Duration,
) -> io::Result<usize> {
    sleep(time / 4).await;
    eprintln!("the log is down");
    plant.log.switch.set(Fault::Error);
    sleep(OUTAGE).await;
    plant.log.switch.set(Fault::None);
    sleep(time / 4).await;
    eprintln!("the log is down, and the entries of zone-0 are replaced");
    plant.log.switch.set(Fault::Error);
    sleep(OUTAGE / 3).await;
    let before = plant
        .gateways
        .iter()
        .filter_map(|it| it.entry.as_ref())
        .map(|it| {
            it.handle
                .shared
                .published_view
                .current_view()
                .config_state
                .next_offset()
        })
        .max();
    let zone: Vec<usize> = (0..plant.gateways.len())
        .filter(|index| plant.gateways[*index].zone == 0)
        .collect();
    for index in &zone {
        let name = plant.gateways[*index].name.clone();
        lock(&run.watched).remove(&name);
        plant.kill_entry(*index).await;
    }
    for index in &zone {
        plant.start_entry(*index).await?;
    }
    sleep(OUTAGE).await;
    let late = zone.iter().filter(|index| {
        let entry = plant.gateways[**index].entry.as_ref();
        let next = entry.map(|it| {
            it.handle
                .shared
                .published_view
                .current_view()
                .config_state
                .next_offset()
        });
        next < before
    });
    let late = late.count();
    plant.log.switch.set(Fault::None);
    watch(run, plant);
    Ok(late)
}

/// Looks at every replica, again and again.
async fn sample(run: Arc<Run>) {
    let mut seen: HashMap<String, u64> = HashMap::new();
    loop {
        let watched = lock(&run.watched).clone();
        let mut least = u64::MAX;
        for (name, it) in &watched {
            let next = it.next();
            let before = seen.insert(name.clone(), next).unwrap_or(0);
            if next < before {
                *lock(&run.reverted) += 1;
            }
            least = least.min(next);
        }
        note_in_force(&run, least);
        sleep(SAMPLE).await;
    }
}

/// Notes the accepted revisions below an offset that all have reached.
fn note_in_force(run: &Run, least: u64) {
    let now = Instant::now();
    let mut ledger = lock(&run.ledger);
    while let Some((&revision, &start)) = ledger.pending.first_key_value() {
        if revision >= least {
            return;
        }
        ledger.pending.remove(&revision);
        let taken = now.duration_since(start).as_micros() as u64;
        lock(&run.in_force).saturating_record(taken);
    }
}

/// Accepted changes that are not in force everywhere in the end, or whose
/// object has a value that its operator was told did not take effect.
async fn settle(run: &Run) -> u64 {
    let deadline = Instant::now() + AGREE;
    while !lock(&run.ledger).pending.is_empty() && Instant::now() < deadline {
        sleep(SAMPLE).await;
    }
    let watched = lock(&run.watched).clone();
    let ledger = lock(&run.ledger);
    let mut lost = ledger.pending.len() as u64;
    for (key, (revision, value)) in &ledger.last {
        for it in watched.values() {
            let behind = it.revision(key) < *revision;
            let same = it.revision(key) == *revision;
            let wrong = same && it.value(key) != Some(*value);
            let denied = ledger.denied.get(key).is_some_and(|denied| {
                it.value(key).is_some_and(|it| denied.contains(&it))
            });
            lost += u64::from(behind || wrong || denied);
        }
    }
    lost
}

fn outcome(run: &Run, lost: u64, late: usize) -> Outcome {
    let ledger = lock(&run.ledger);
    let in_force = lock(&run.in_force);
    let reverted = *lock(&run.reverted);
    let p99 = quantile(&in_force, 0.99);
    let figures = json!({
        "in_force_p50_ms": quantile(&in_force, 0.5),
        "in_force_p99_ms": p99,
        "in_force_max_ms": in_force.max() as f64 / 1000.0,
        "accepted": ledger.accepted,
        "refused_stale": ledger.refused,
        "not_run_log_down": ledger.not_run,
        "unknown": ledger.unknown,
        "reverted": reverted,
        "accepted_lost": lost,
        "restarted_without_config": late,
    });
    let mut broken = Vec::new();
    if reverted > 0 || lost > 0 || late > 0 {
        broken.push(figures.to_string());
    }
    if p99 > 1_000.0 {
        broken.push(format!("in force only after {p99} ms at p99"));
    }
    Outcome::new(figures).with_broken(broken)
}
