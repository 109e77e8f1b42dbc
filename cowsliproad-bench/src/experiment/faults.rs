//! Faults under load: nothing is lost, doubled, mixed, cut off by a
//! shutdown, or falsely called "not run".
//!
//! A seeded schedule kills, stops and freezes entries and agents, cuts and
//! delays links, lets frames overtake each other, cuts whole zones off,
//! makes targets fail and takes the log down, while callers send. The same
//! schedule is then played to a plain round-robin balancer with retries, so
//! that one sees that the faults bite.

use std::{io, sync::Arc, time::Duration};

use cowsliproad_kernel::{log::Level, plugin::inventory};
use cowsliproad_standin::{
    fault::Fault,
    link::{Link, State},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::{
    sync::Semaphore,
    task::{JoinHandle, JoinSet},
    time::sleep,
};

use super::{Extent, Options, Outcome, Plugin, block_on};
use crate::{
    baseline::{self, Proxy},
    caller::{Balancer, Caller},
    node::Node,
    plant::{Backend, Config, Plant, source},
    tally::{Runs, Tally},
    workload::Job,
};

inventory::submit! {
    Plugin {
        name: "faults",
        about: "Kills, freezes, cuts and delays under load",
        start: |options| block_on(run(options)),
    }
}

/// Requests under way at once.
const CALLERS: usize = 192;

/// Requests started in a second.
const RATE: u64 = 3_000;

/// The mean time between two faults.
const GAP: Duration = Duration::from_millis(400);

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// An entry is killed and started anew.
    KillEntry(usize),
    /// An entry is stopped gracefully and started anew.
    StopEntry(usize),
    /// An entry is held still.
    FreezeEntry(usize, Duration),
    /// An agent is killed and started anew.
    KillAgent(usize),
    /// An agent is stopped gracefully and started anew.
    StopAgent(usize),
    /// An agent is held still.
    FreezeAgent(usize, Duration),
    /// An agent's links are cut for a while.
    CutAgent(usize, Duration),
    /// An agent's links are slow for a while.
    DelayAgent(usize, Duration),
    /// Frames of an agent overtake each other for a while.
    SwapFrames(usize, Duration),
    /// A zone is cut off from the other zones and the platform.
    CutZone(usize, Duration),
    /// A target misbehaves for a while.
    Target(usize, Fault, Duration),
    /// The log is down for a while.
    LogDown(Duration),
}

/// Draws what goes wrong next.
pub fn draw(random: &mut StdRng, config: &Config) -> Action {
    let entry = random.random_range(0..config.entries);
    let agent = random.random_range(0..config.engines + config.plains);
    let time = Duration::from_millis(random.random_range(100..1_200));
    match random.random_range(0..16) {
        0 => Action::KillEntry(entry),
        1 | 2 => Action::StopEntry(entry),
        3 => Action::FreezeEntry(entry, time),
        4 => Action::KillAgent(agent),
        5 | 6 => Action::StopAgent(agent),
        7 => Action::FreezeAgent(agent, time),
        8 => Action::CutAgent(agent, time),
        9 => Action::DelayAgent(agent, time),
        10 => Action::SwapFrames(agent, time),
        11 => Action::CutZone(random.random_range(0..config.zones), time),
        12 => Action::LogDown(time),
        _ => {
            let faults = [
                Fault::Cut,
                Fault::LoseAnswer,
                Fault::Error,
                Fault::Late(150),
                Fault::Slow(5),
                Fault::Stall,
            ];
            let fault = faults[random.random_range(0..faults.len())];
            Action::Target(agent, fault, time)
        }
    }
}

async fn run(options: Options) -> io::Result<Outcome> {
    let count = match options.extent {
        Extent::Full => 100_000,
        Extent::Quick => 9_000,
    };
    let config = Config {
        zones: 3,
        entries: 8,
        engines: 6,
        plains: 6,
        log: options.log,
        silence: Duration::from_millis(1_000),
        ..Config::new()
    };
    let (mut figures, kept) =
        real(config.clone(), count, options.seed).await?;
    let baseline = plain(config, count / 4, options.seed).await?;
    let mut broken = Vec::new();
    if !kept {
        broken.push(figures.to_string());
    }
    figures["baseline"] = baseline;
    Ok(Outcome::new(figures).with_broken(broken))
}

async fn real(
    config: Config,
    count: u64,
    seed: u64,
) -> io::Result<(Value, bool)> {
    eprintln!("starting {} entries and 12 agents", config.entries);
    let mut plant = Plant::start(config).await?;
    let tally = Arc::new(Tally::new());
    let caller = Caller::new(plant.balancer.clone(), tally.clone());
    let load = tokio::spawn(paced(caller, count, seed));
    let config = plant.config.clone();
    let faults =
        play(load, &config, seed, async |it| plant.suffer(it).await).await?;
    let runs = tally.runs(&plant.runs());
    let mut figures = tally.json(runs);
    figures["faults"] = json!(faults);
    Ok((figures, tally.is_kept(runs)))
}

/// Lets things go wrong until the load ends, and counts them. The schedule
/// follows from the seed alone, so that rivals suffer the same.
async fn play(
    mut load: JoinHandle<()>,
    config: &Config,
    seed: u64,
    mut suffer: impl AsyncFnMut(Action) -> io::Result<()>,
) -> io::Result<u64> {
    let mut random = StdRng::seed_from_u64(seed ^ 0xFA17);
    let mut faults = 0;
    loop {
        tokio::select! {
            ended = &mut load => {
                ended.map_err(io::Error::other)?;
                return Ok(faults);
            }
            () = sleep(gap(&mut random)) => {}
        }
        faults += 1;
        suffer(draw(&mut random, config)).await?;
    }
}

/// Sends requests at a steady rate with a bounded number under way.
pub async fn paced(caller: Caller, count: u64, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let places = Arc::new(Semaphore::new(CALLERS));
    let mut calls = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_millis(10));
    let each = RATE / 100;
    for number in 0..count {
        if number % each == 0 {
            ticks.tick().await;
        }
        if number % (RATE * 5) == 0 {
            eprintln!("  {number} of {count}");
        }
        let job = Job::draw(number, &mut random);
        let place = places.clone().acquire_owned().await;
        let caller = caller.clone();
        calls.spawn(async move {
            caller.send(&job).await;
            drop(place);
        });
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

fn gap(random: &mut StdRng) -> Duration {
    GAP.mul_f64(random.random_range(0.2..1.8))
}

impl Plant {
    /// Lets something go wrong, and mends it after its time.
    pub async fn suffer(&mut self, action: Action) -> io::Result<()> {
        match action {
            Action::KillEntry(index) => {
                self.kill_entry(index).await;
                self.start_entry(index).await?;
            }
            Action::StopEntry(index) => {
                self.stop_entry(index).await;
                self.start_entry(index).await?;
            }
            Action::FreezeEntry(index, time) => {
                if let Some(entry) = &self.gateways[index].entry {
                    entry.freeze(time);
                }
            }
            Action::KillAgent(index) => {
                self.kill_agent(index).await;
                self.start_agent(index).await?;
            }
            Action::StopAgent(index) => {
                self.stop_agent(index).await;
                self.start_agent(index).await?;
            }
            Action::FreezeAgent(index, time) => {
                if let Some(agent) = &self.sites[index].agent {
                    agent.freeze(time);
                }
            }
            Action::CutAgent(index, time) => {
                cut(self.sites[index].link.clone(), State::Cut, time);
            }
            Action::DelayAgent(index, time) => {
                let link = self.sites[index].link.clone();
                link.delay(Duration::from_millis(20));
                later(time, move || link.delay(Duration::ZERO));
            }
            Action::SwapFrames(index, time) => {
                let link = self.sites[index].link.clone();
                link.swap_every(3);
                later(time, move || link.swap_every(0));
            }
            Action::CutZone(zone, time) => self.cut_zone(zone, time),
            Action::Target(index, fault, time) => {
                self.fail_target(index, fault, time);
            }
            Action::LogDown(time) => {
                let switch = self.log.switch.clone();
                switch.set(Fault::Error);
                later(time, move || switch.set(Fault::None));
            }
        }
        Ok(())
    }

    /// Cuts a zone off from the other zones and the platform for a while.
    pub fn cut_zone(&self, zone: usize, time: Duration) {
        let others = (0..self.config.zones).filter(|it| *it != zone);
        let others: Vec<_> = others.map(source).collect();
        // What stands in the zone is cut from the others, and what stands
        // elsewhere from the zone.
        let state = |own: usize| match own == zone {
            true => State::CutFrom(others.clone()),
            false => State::CutFrom(vec![source(zone)]),
        };
        for site in &self.sites {
            cut(site.link.clone(), state(site.zone), time);
        }
        for gateway in &self.gateways {
            cut(gateway.link.clone(), state(gateway.zone), time);
            if gateway.zone == zone {
                cut(gateway.log_link.clone(), State::Cut, time);
                cut(gateway.vms_link.clone(), State::Cut, time);
            }
        }
    }

    fn fail_target(&self, index: usize, fault: Fault, time: Duration) {
        let switch = match &self.sites[index].backend {
            Backend::Engine(engine) => engine.switch.clone(),
            Backend::Plain(plain) => plain.switch.clone(),
        };
        switch.set(fault);
        later(time, move || switch.set(Fault::None));
    }
}

fn cut(link: Arc<Link>, state: State, time: Duration) {
    link.set(state);
    later(time, move || link.set(State::Open));
}

fn later(time: Duration, act: impl FnOnce() + Send + 'static) {
    tokio::spawn(async move {
        sleep(time).await;
        act();
    });
}

/// The plain balancer under the same schedule.
struct Rival {
    plant: Plant,
    proxies: Vec<Option<Node<Proxy>>>,
    engines: Vec<std::net::SocketAddr>,
    plains: Vec<std::net::SocketAddr>,
    balancer: Arc<Balancer>,
}

async fn plain(config: Config, count: u64, seed: u64) -> io::Result<Value> {
    eprintln!("the same faults for a plain balancer with retries");
    let rivals = config.entries;
    let stand_ins = Config { entries: 0, log: Level::Off, ..config };
    let plant = Plant::start_empty(stand_ins).await?;
    for site in &plant.sites {
        site.link.lead_to(site.target);
    }
    let address = |service| {
        let sites = plant.sites.iter().filter(move |it| it.service == service);
        sites.map(|it| it.address).collect::<Vec<_>>()
    };
    let mut rival = Rival {
        engines: address("drafting"),
        plains: address("access"),
        proxies: Vec::new(),
        balancer: Arc::new(Balancer::new()),
        plant,
    };
    rival.plant.config.entries = rivals;
    for index in 0..rivals {
        rival.proxies.push(None);
        rival.start(index).await?;
    }
    let tally = Arc::new(Tally::new());
    let caller = Caller::new(rival.balancer.clone(), tally.clone())
        .with_naive_retries();
    let load = tokio::spawn(paced(caller, count, seed));
    let config = rival.plant.config.clone();
    play(load, &config, seed, async |it| rival.suffer(it).await).await?;
    let runs: Runs = tally.runs(&rival.plant.runs());
    Ok(tally.json(runs))
}

impl Rival {
    async fn start(&mut self, index: usize) -> io::Result<()> {
        let (engines, plains) = (self.engines.clone(), self.plains.clone());
        let name = format!("proxy-{index}");
        let proxy = Node::start(&name, async move || {
            baseline::start(engines, plains).await
        })
        .await?;
        self.balancer.add(proxy.handle.http);
        self.proxies[index] = Some(proxy);
        Ok(())
    }

    /// What the action means where there are no agents: whatever happens to
    /// an agent happens to the network before its target.
    async fn suffer(&mut self, action: Action) -> io::Result<()> {
        let short = Duration::from_millis(200);
        match action {
            Action::KillEntry(index) => {
                if let Some(proxy) = self.proxies[index].take() {
                    self.balancer.remove(proxy.handle.http);
                    proxy.kill().await;
                }
                self.start(index).await
            }
            Action::StopEntry(index) => {
                if let Some(proxy) = self.proxies[index].take() {
                    let address = proxy.handle.http;
                    self.balancer.stopping(address);
                    proxy.stop().await;
                    sleep(short).await;
                    self.balancer.remove(address);
                }
                self.start(index).await
            }
            Action::FreezeEntry(index, time) => {
                if let Some(proxy) = &self.proxies[index] {
                    proxy.freeze(time);
                }
                Ok(())
            }
            Action::KillAgent(index) | Action::StopAgent(index) => {
                self.plant.suffer(Action::CutAgent(index, short)).await
            }
            Action::FreezeAgent(index, time) => {
                self.plant.suffer(Action::DelayAgent(index, time)).await
            }
            other => self.plant.suffer(other).await,
        }
    }
}
