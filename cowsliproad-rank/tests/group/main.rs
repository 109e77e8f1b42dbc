//! Agents as separate processes beside a lock-step group.
//!
//! An entry's part, asking the agents to report, is played here. No test
//! counts on how long a change takes, only that it comes.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use cowsliproad_kernel::gossip::{
    self, Datagram, EngineExit, EngineLoad, LoadSubscription,
};
use cowsliproad_platform::{SETTINGS_VARIABLE, log::COORDINATORS_TOPIC};
use cowsliproad_platform_standin::{
    group::{self, Group, VmState},
    log::{self, Log},
};
use cowsliproad_rank::settings::Settings;
use rustix::process::{Pid, Signal, kill_process};
use tokio::{net::UdpSocket, time::sleep};

mod siege;

const PATIENCE: Duration = Duration::from_secs(30);
const ENGINES: u16 = 19_080;
const PEERS: u16 = 19_081;
const AGENTS: u16 = 19_082;
const RANKS: u8 = 4;
const EXPERTS: usize = 16;

/// Networks of this test program, so that its tests can run at once.
static NETWORK: AtomicU8 = AtomicU8::new(1);

struct Plant {
    net: (u8, u8),
    group: Arc<Group>,
    log: Arc<Log>,
    log_address: SocketAddr,
    agents: Vec<Agent>,
    loads: Arc<std::sync::Mutex<Vec<EngineLoad>>>,
    losts: Arc<std::sync::Mutex<Vec<EngineExit>>>,
}

struct Agent {
    child: Child,
    file: PathBuf,
}

impl Plant {
    async fn start() -> Plant {
        let (plant, engines) = Plant::prepare().await;
        plant.ask(engines).await;
        plant
    }

    /// The same, once the map follows a first demand.
    async fn balanced() -> Plant {
        let plant = Plant::start().await;
        plant.group.concentrate_demand(0);
        plant.until_balanced().await;
        plant
    }

    /// A group and its agents, which nobody asks yet.
    async fn prepare() -> (Plant, Vec<SocketAddr>) {
        let block = 16 + (std::process::id() % 200) as u8;
        let net = (block, NETWORK.fetch_add(1, Ordering::Relaxed));
        let address = SocketAddr::from((vm(net, 250), ENGINES));
        let (log, log_address) = log::start(address).await.expect("a log");
        let numbers = 1..=RANKS;
        let engines: Vec<SocketAddr> =
            numbers.clone().map(|it| (vm(net, it), ENGINES).into()).collect();
        let pass = Duration::from_millis(20);
        let group = group::start(&engines, (2, EXPERTS), pass).await;
        let group = group.expect("a group");
        let mut plant = Plant {
            net,
            group,
            log,
            log_address,
            agents: Vec::new(),
            loads: Arc::default(),
            losts: Arc::default(),
        };
        for number in numbers {
            let agent = plant.agent(number);
            plant.agents.push(agent);
        }
        (plant, engines)
    }

    fn agent(&self, number: u8) -> Agent {
        let vm = vm(self.net, number);
        let settings = Settings {
            vm: format!("agent-{number}").into(),
            address: vm.into(),
            engine: (vm, ENGINES).into(),
            peer_port: PEERS,
            agent_port: AGENTS,
            log: self.log_address,
            ..Settings::example()
        };
        let name = format!("cowsliproad-{vm}.json");
        let file = std::env::temp_dir().join(name);
        let text = cowsliproad_kernel::settings::to_json(&settings);
        fs::write(&file, text).expect("a settings file");
        Agent { child: spawn(&file), file }
    }

    /// Asks all agents to report, as an entry does, and keeps what they say.
    async fn ask(&self, targets: Vec<SocketAddr>) {
        let own = SocketAddr::from((vm(self.net, 200), PEERS));
        let socket = Arc::new(UdpSocket::bind(own).await.expect("a socket"));
        let message = gossip::encode(&LoadSubscription {
            target_list_id: gossip::target_list_id(&targets),
            targets: targets.clone(),
            layer_set_count: 2,
            experts_per_layer_set: EXPERTS as u16,
            expert_slots_per_layer_set: 6,
            max_new_experts_per_layer_set: 2,
            expert_copy_ms: 0,
            log_era: Default::default(),
        });
        let asking = socket.clone();
        tokio::spawn(async move {
            loop {
                for target in &targets {
                    let agent = SocketAddr::new(target.ip(), PEERS);
                    let _ = asking.send_to(&message, agent).await;
                }
                sleep(Duration::from_millis(200)).await;
            }
        });
        let (loads, losts) = (self.loads.clone(), self.losts.clone());
        tokio::spawn(async move {
            let mut buffer = [0; 2_048];
            while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
                let read = gossip::decode::<Datagram>(&buffer[..length]);
                match read {
                    Some(Datagram::Load(load)) => {
                        loads.lock().expect("no panic").push(load);
                    }
                    Some(Datagram::EngineExit(lost)) => {
                        losts.lock().expect("no panic").push(lost);
                    }
                    _ => {}
                }
            }
        });
    }

    /// Waits until the demand is spread well, with no pass ever mixed.
    async fn until_balanced(&self) {
        let group = &self.group;
        until("the map follows the demand", || group.load_skew() < 1.35).await;
        assert_eq!(
            group.pass_counts().mixed_passes,
            0,
            "{:?}",
            group.pass_counts()
        );
    }

    fn signal(&self, agent: usize, signal: Signal) {
        let pid = Pid::from_child(&self.agents[agent].child);
        kill_process(pid, signal).expect("the process is there");
    }
}

impl Agent {
    /// Starts again once the process has ended and its address is free.
    fn restart(&mut self) {
        self.child.wait().expect("it ends");
        self.child = spawn(&self.file);
    }
}

/// Where the lines of an agent go, of all its processes.
fn output(file: &Path) -> PathBuf {
    file.with_extension("log")
}

fn spawn(file: &Path) -> Child {
    let output = fs::File::options()
        .create(true)
        .append(true)
        .open(output(file))
        .expect("a file");
    Command::new(env!("CARGO_BIN_EXE_cowsliproad-rank"))
        .env(SETTINGS_VARIABLE, file)
        .stdout(output)
        .spawn()
        .expect("the program starts")
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if !std::thread::panicking() {
            let _ = fs::remove_file(output(&self.file));
        }
        let _ = fs::remove_file(&self.file);
    }
}

fn vm(net: (u8, u8), number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, net.0, net.1, number)
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "never: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_map_follows_a_demand_that_shifts() {
    let plant = Plant::start().await;
    for first in [0, 5, 11] {
        plant.group.concentrate_demand(first);
        plant.until_balanced().await;
    }
    assert!(plant.group.pass_counts().expert_map_changes >= 3);
    assert_eq!(
        plant.log.record_count(COORDINATORS_TOPIC),
        1,
        "one led all the time"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_and_late_orders_mix_no_maps() {
    let plant = Plant::start().await;
    plant.group.delay_every_nth_order(3);
    for first in [0, 7] {
        plant.group.concentrate_demand(first);
        plant.until_balanced().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_coordinator_is_followed_by_another() {
    let mut plant = Plant::balanced().await;
    for round in 0..2 {
        // The first to lead is rank 0; it is killed as a change is due.
        plant.group.concentrate_demand(5 + 3 * round);
        plant.signal(round, Signal::KILL);
        plant.agents[round].restart();
        plant.until_balanced().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_coordinator_holds_nobody_up_and_stops_when_it_wakes() {
    let plant = Plant::balanced().await;
    plant.group.concentrate_demand(8);
    plant.signal(0, Signal::STOP);
    plant.group.set_vm_state(0, VmState::Frozen);
    let steps = plant.group.pass_counts().begun_passes;
    until("the group goes on", || {
        plant.group.pass_counts().begun_passes > steps + 100
    })
    .await;
    plant.group.set_vm_state(0, VmState::Responsive);
    plant.signal(0, Signal::CONT);
    plant.until_balanced().await;
    assert!(
        plant.log.record_count(COORDINATORS_TOPIC) >= 2,
        "another took over"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_that_forms_anew_is_balanced_again() {
    let plant = Plant::balanced().await;
    plant.group.start_new_epoch();
    assert!(plant.group.load_skew() > 1.35);
    plant.until_balanced().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_log_nobody_leads_and_load_is_reported() {
    let plant = Plant::start().await;
    plant.log.set_fault(log::Fault::Refusing);
    until("every agent reports", || {
        let loads = plant.loads.lock().expect("no panic");
        let mut targets: Vec<SocketAddr> =
            loads.iter().map(|it| it.engine_address).collect();
        targets.sort();
        targets.dedup();
        targets.len() == usize::from(RANKS)
    })
    .await;
    plant.log.set_fault(log::Fault::None);
    plant.group.concentrate_demand(0);
    plant.until_balanced().await;
}

/// Agents are restarted one after the other, as on an update of all VMs,
/// while demand shifts and each of them may be in the middle of a change.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_restarts_hold_no_group() {
    let mut plant = Plant::balanced().await;
    for agent in 0..usize::from(RANKS) {
        plant.group.concentrate_demand(3 * agent + 1);
        // Some passes later a change is most likely under way.
        let turns = || {
            plant.group.pass_counts().begun_passes
                + plant.group.pass_counts().held_back_intervals
        };
        let begun = turns();
        until("the group goes on", || turns() > begun + 20).await;
        plant.signal(agent, Signal::TERM);
        plant.agents[agent].restart();
    }
    plant.until_balanced().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_coordinator_that_stops_is_followed_before_it_is_missed() {
    let mut plant = Plant::balanced().await;
    plant.signal(0, Signal::TERM);
    let ended = plant.agents[0].child.wait().expect("it ends");
    let stopped = Instant::now();
    assert!(ended.success());
    until("another leads", || plant.log.record_count(COORDINATORS_TOPIC) == 2)
        .await;
    // Unannounced it would be missed after 1.7 s, by rank 1.
    assert!(stopped.elapsed() < Duration::from_millis(1_300), "{stopped:?}");
}

/// Agents were restarted a moment before, and so can't vouch for what their
/// processes before them ordered last, when the coordinator freezes with the
/// group held. What those ordered is long past.
#[tokio::test(flavor = "multi_thread")]
async fn agents_that_were_restarted_let_a_change_be_called_off() {
    let mut plant = Plant::balanced().await;
    for agent in 1..usize::from(RANKS) {
        plant.signal(agent, Signal::KILL);
        plant.agents[agent].restart();
    }
    let steps = plant.group.pass_counts().begun_passes;
    until("the group goes on", || {
        plant.group.pass_counts().begun_passes > steps + 40
    })
    .await;
    for first in [8, 13, 3, 10, 5] {
        plant.group.concentrate_demand(first);
        let held = plant.group.pass_counts().held_back_intervals;
        until("a change is made or the group is held", || {
            plant.group.load_skew() < 1.35
                || plant.group.pass_counts().held_back_intervals > held
        })
        .await;
    }
    plant.group.concentrate_demand(0);
    plant.signal(0, Signal::STOP);
    plant.group.set_vm_state(0, VmState::Frozen);
    let steps = plant.group.pass_counts().begun_passes;
    until("the group goes on", || {
        plant.group.pass_counts().begun_passes > steps + 100
    })
    .await;
    plant.group.set_vm_state(0, VmState::Responsive);
    plant.signal(0, Signal::CONT);
    plant.until_balanced().await;
}

/// A service with two groups: entries tell agents of the engines of both.
#[tokio::test(flavor = "multi_thread")]
async fn groups_of_one_service_keep_to_their_own_maps() {
    let (one, mut engines) = Plant::prepare().await;
    let (other, more) = Plant::prepare().await;
    one.group.set_group_name("one");
    other.group.set_group_name("other");
    engines.extend(more);
    one.ask(engines.clone()).await;
    other.ask(engines).await;
    for first in [0, 5, 11] {
        one.group.concentrate_demand(first);
        other.group.concentrate_demand(first + 2);
        one.until_balanced().await;
        other.until_balanced().await;
    }
    assert_eq!(
        one.group.pass_counts().mixed_passes
            + other.group.pass_counts().mixed_passes,
        0
    );
}

/// An agent stands on its engine's own VM and knows best that its process is
/// gone. One whose engine only doesn't answer says nothing.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_says_that_its_engines_process_is_gone() {
    let (plant, engines) = Plant::prepare().await;
    plant.ask(engines.clone()).await;
    let reports_of = |engine: SocketAddr| {
        let loads = plant.loads.lock().expect("no panic");
        loads.iter().filter(|it| it.engine_address == engine).count()
    };
    until("every agent reports", || {
        engines.iter().all(|it| reports_of(*it) > 0)
    })
    .await;
    plant.group.set_vm_state(3, VmState::Frozen);
    plant.group.kill_rank(2);
    let losts = || plant.losts.lock().expect("no panic").clone();
    until("it is said, and said again", || losts().len() > 2).await;
    assert!(losts().iter().all(|it| it.engine_address == engines[2]));
    let before = reports_of(engines[2]);
    let others = reports_of(engines[1]);
    until("the others report", || reports_of(engines[1]) > others + 1).await;
    assert_eq!(reports_of(engines[2]), before);
}

/// Guards against an agent that goes on calling its engine, or another's, or
/// orders something of it, within the Retry-After of a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_calls_no_engine_within_its_retry_after() {
    let plant = Plant::balanced().await;
    for rank in 0..usize::from(RANKS) {
        let before = plant.group.call_count(rank);
        plant.group.set_retry_after(rank, Some("2.5"));
        // The group has a change of the map to see to.
        plant.group.concentrate_demand(4 * (rank + 1) % EXPERTS);
        sleep(Duration::from_millis(2_000)).await;
        let calls = plant.group.call_count(rank) - before;
        // Each agent may be turned away once. One call was under way.
        let most = u64::from(RANKS) + 1;
        assert!((1..=most).contains(&calls), "rank {rank}: {calls} calls");
        plant.group.set_retry_after(rank, None);
        let before = plant.group.call_count(rank);
        until("it is called again", || {
            plant.group.call_count(rank) > before + 10
        })
        .await;
    }
    assert_eq!(plant.group.pass_counts().mixed_passes, 0);
}

/// Guards against a cooldown that outlives the process that asked for it.
#[tokio::test(flavor = "multi_thread")]
async fn an_engines_end_is_seen_within_its_retry_after() {
    let (plant, engines) = Plant::prepare().await;
    plant.ask(engines.clone()).await;
    let lost = || {
        let losts = plant.losts.lock().expect("no panic");
        losts.iter().any(|it| it.engine_address == engines[2])
    };
    until("every agent reports", || {
        let loads = plant.loads.lock().expect("no panic");
        engines
            .iter()
            .all(|it| loads.iter().any(|load| load.engine_address == *it))
    })
    .await;
    plant.group.set_retry_after(2, Some("1000000000"));
    let before = plant.group.call_count(2);
    until("it is turned away", || plant.group.call_count(2) > before).await;
    sleep(Duration::from_millis(200)).await;
    assert!(!lost());
    plant.group.kill_rank(2);
    plant.group.set_retry_after(2, None);
    until("its end is told", lost).await;
    let before = plant.group.call_count(2);
    plant.group.restart_rank(2, engines[2]).await;
    until("it is called", || plant.group.call_count(2) > before + 3).await;
}

/// Guards against a leaving that only the engine's agent was told of.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_says_that_its_engine_is_leaving() {
    let (plant, engines) = Plant::prepare().await;
    plant.ask(engines.clone()).await;
    plant.group.set_leaving(1);
    let leaving = |engine: SocketAddr| {
        let loads = plant.loads.lock().expect("no panic");
        loads.iter().any(|it| it.engine_address == engine && it.draining)
    };
    until("it is said", || leaving(engines[1])).await;
    assert!(!leaving(engines[0]));
}

/// Guards against two coordinators with one fencing number: the log gives the
/// offset that the number of the first came from out again.
#[tokio::test(flavor = "multi_thread")]
async fn fencing_numbers_grow_over_a_rollback() {
    let before_all = Instant::now();
    let (mut plant, engines) = Plant::prepare().await;
    plant.log.set_era(Some(3));
    plant.ask(engines).await;
    let mut last = 0;
    for round in 0..3 {
        plant.group.concentrate_demand(3 * round);
        plant.until_balanced().await;
        let fence = plant.group.max_fencing_token();
        assert!(fence > last, "{fence} after {last}");
        last = fence;
        plant.log.roll_back(before_all);
        // Nobody is left who knows the number.
        for agent in 0..usize::from(RANKS) {
            plant.signal(agent, Signal::KILL);
        }
        for agent in &mut plant.agents {
            agent.restart();
        }
    }
}
