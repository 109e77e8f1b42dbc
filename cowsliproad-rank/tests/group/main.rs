//! Tests of agents as separate processes beside the engines of a lock-step
//! group.
//!
//! The test subscribes to load reports in place of an entry process. No test
//! depends on the duration of a switch of maps, only on its completion.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_kernel::{
    clock::Millis,
    gossip::{
        self, Datagram, EngineExit, EngineLoad, LoadSubscription,
        ReporterState, RetryBucket, RetryReport, SenderTime, ServiceRetries,
    },
};
use cowsliproad_mapswitch::order::{DesiredState, Directive, Epoch};
use cowsliproad_platform::{SETTINGS_VARIABLE, log::COORDINATORS_TOPIC};
use cowsliproad_platform_standin::{
    group::{self, Group, VmState},
    log::{self, Log},
    network::Network,
};
use cowsliproad_rank::{
    rota::MAX_REPORTED_COUNTING_WINDOW,
    settings::Settings,
    wire::{AgentMessage, GroupMessage, SelectionCountIncrease},
};
use rustix::process::{Pid, Signal, kill_process};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

mod endless;
#[path = "../../../cowsliproad-direct/tests/entry/held_clock.rs"]
mod held_clock;
mod siege;

use crate::held_clock::HeldClock;

const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
const ENGINE_PORT: u16 = 19_080;
const ENTRY_DATAGRAM_PORT: u16 = 19_081;
const AGENT_DATAGRAM_PORT: u16 = 19_082;
const RANK_COUNT: u8 = 4;
const EXPERTS_PER_SET: usize = 16;
const PASS_INTERVAL: Duration = Duration::from_millis(20);

struct TestGroup {
    network: Network,
    group: Arc<Group>,
    log: Arc<Log>,
    log_address: SocketAddr,
    agents: Vec<AgentProcess>,
    load_reports: Arc<std::sync::Mutex<Vec<EngineLoad>>>,
    engine_exit_reports: Arc<std::sync::Mutex<Vec<EngineExit>>>,
}

struct AgentProcess {
    child: Child,
    settings_file: PathBuf,
    /// The clock of an agent that can be suspended.
    clock: Option<HeldClock>,
}

impl TestGroup {
    async fn start_and_subscribe_to_load_reports() -> TestGroup {
        let (test_group, engines) =
            TestGroup::start_without_load_subscription().await;
        test_group.subscribe_to_agents(engines).await;
        test_group
    }

    /// Starts a group and its agents, and waits until the map follows a first
    /// demand.
    async fn start_with_balanced_load() -> TestGroup {
        let test_group =
            TestGroup::start_and_subscribe_to_load_reports().await;
        test_group.group.concentrate_demand(0);
        test_group.wait_until_load_is_balanced().await;
        test_group
    }

    /// Starts a group and its agents, without a subscription to load reports.
    async fn start_without_load_subscription() -> (TestGroup, Vec<SocketAddr>)
    {
        let (network, log, log_address) =
            Network::start_with_log(ENGINE_PORT, AGENT_DATAGRAM_PORT)
                .await
                .expect("a network");
        let numbers = 1..=RANK_COUNT;
        let engines: Vec<SocketAddr> = numbers
            .clone()
            .map(|it| (network.vm_address(it), ENGINE_PORT).into())
            .collect();
        let group =
            group::start(&engines, (2, EXPERTS_PER_SET), PASS_INTERVAL).await;
        let group = group.expect("a group");
        let mut test_group = TestGroup {
            network,
            group,
            log,
            log_address,
            agents: Vec::new(),
            load_reports: Arc::default(),
            engine_exit_reports: Arc::default(),
        };
        for vm_number in numbers {
            let agent = test_group.start_agent(vm_number);
            test_group.agents.push(agent);
        }
        (test_group, engines)
    }

    fn start_agent(&self, number: u8) -> AgentProcess {
        let vm = self.network.vm_address(number);
        let settings = Settings {
            vm_name: format!("agent-{number}").into(),
            vm_address: vm.into(),
            engine_address: (vm, ENGINE_PORT).into(),
            entry_datagram_port: ENTRY_DATAGRAM_PORT,
            agent_datagram_port: AGENT_DATAGRAM_PORT,
            platform_log_address: self.log_address,
            ..Settings::example()
        };
        // A run that fails leaves its log files behind, and a later run may
        // have the same addresses.
        let name = format!("cowsliproad-{vm}-{}.json", std::process::id());
        let settings_file = std::env::temp_dir().join(name);
        let _ = fs::remove_file(agent_log_path(&settings_file));
        let text = cowsliproad_kernel::settings::to_json(&settings);
        fs::write(&settings_file, text).expect("a settings file");
        AgentProcess {
            child: spawn_agent_process(&settings_file, None),
            settings_file,
            clock: None,
        }
    }

    /// Subscribes to the load reports of all agents, as an entry process does,
    /// and records the received datagrams.
    async fn subscribe_to_agents(&self, targets: Vec<SocketAddr>) {
        let own = SocketAddr::from((
            self.network.vm_address(200),
            ENTRY_DATAGRAM_PORT,
        ));
        let socket = Arc::new(UdpSocket::bind(own).await.expect("a socket"));
        let message = gossip::encode(&LoadSubscription {
            target_list_id: gossip::target_list_id(&targets),
            targets: targets.clone(),
            layer_set_count: 2,
            experts_per_layer_set: EXPERTS_PER_SET as u16,
            expert_slots_per_layer_set: 6,
            max_experts_added_to_rank_per_layer_set: 2,
            expert_copy_ms: 0,
            log_era: Default::default(),
        });
        let asking = socket.clone();
        tokio::spawn(async move {
            loop {
                for target in &targets {
                    let agent =
                        SocketAddr::new(target.ip(), ENTRY_DATAGRAM_PORT);
                    let _ = asking.send_to(&message, agent).await;
                }
                sleep(Duration::from_millis(200)).await;
            }
        });
        let (load_reports, engine_exit_reports) =
            (self.load_reports.clone(), self.engine_exit_reports.clone());
        tokio::spawn(async move {
            let mut buffer = [0; 2_048];
            while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
                let read = gossip::decode::<Datagram>(&buffer[..length]);
                match read {
                    Some(Datagram::Load(load)) => {
                        load_reports.lock().expect("no panic").push(load);
                    }
                    Some(Datagram::EngineExit(lost)) => {
                        engine_exit_reports
                            .lock()
                            .expect("no panic")
                            .push(lost);
                    }
                    _ => {}
                }
            }
        });
    }

    /// Waits until the load of the ranks is balanced, and checks that no pass
    /// mixed two maps.
    async fn wait_until_load_is_balanced(&self) {
        let group = &self.group;
        wait_until("the map follows the demand", || group.load_skew() < 1.35)
            .await;
        assert_eq!(
            group.pass_counts().mixed_passes,
            0,
            "{:?}",
            group.pass_counts()
        );
    }

    fn send_signal_to_agent(&self, agent_index: usize, signal: Signal) {
        let pid = Pid::from_child(&self.agents[agent_index].child);
        kill_process(pid, signal).expect("the process is there");
    }
}

impl Drop for TestGroup {
    /// Prints the engines' state, with maps and counts, and the log's records
    /// if the test failed. The agents' own lines stay in their log files.
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("engines: {:?}", self.group);
            eprintln!("log: {:?}", self.log);
            let files = self.agents.iter().map(|it| &it.settings_file);
            let files: Vec<PathBuf> =
                files.map(|it| agent_log_path(it)).collect();
            eprintln!("lines of the agents: {files:?}");
        }
    }
}

impl AgentProcess {
    /// Waits until the agent's process has ended and its address is free, and
    /// starts the agent again.
    fn restart_agent_after_exit(&mut self) {
        self.child.wait().expect("the process ends");
        self.child = spawn_agent_process(&self.settings_file, None);
    }

    /// The same, so that the agent can be suspended from now on.
    fn restart_suspendable_after_exit(&mut self) {
        self.child.wait().expect("the process ends");
        let clock = HeldClock::new();
        self.child = spawn_agent_process(&self.settings_file, Some(&clock));
        self.clock = Some(clock);
    }
}

/// Returns the path of the log file to which all processes of an agent write.
fn agent_log_path(settings_file: &Path) -> PathBuf {
    settings_file.with_extension("log")
}

fn spawn_agent_process(
    settings_file: &Path,
    clock: Option<&HeldClock>,
) -> Child {
    let output = fs::File::options()
        .create(true)
        .append(true)
        .open(agent_log_path(settings_file))
        .expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_cowsliproad-rank"));
    command.env(SETTINGS_VARIABLE, settings_file).stdout(output);
    if let Some(clock) = clock {
        clock.apply_to(&mut command);
    }
    command.spawn().expect("the program starts")
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if !std::thread::panicking() {
            let _ = fs::remove_file(agent_log_path(&self.settings_file));
        }
        let _ = fs::remove_file(&self.settings_file);
    }
}

/// Guards against a run that takes the lines of an earlier, failed run under
/// the same addresses for its own.
#[tokio::test(flavor = "multi_thread")]
async fn agent_logs_hold_only_lines_of_their_run() {
    let (mut test_group, _) =
        TestGroup::start_without_load_subscription().await;
    let agent = test_group.agents.remove(0);
    let (log_file, settings_file) =
        (agent_log_path(&agent.settings_file), agent.settings_file.clone());
    drop(agent);
    fs::write(&log_file, "event=leads fence=7\n").expect("a log file");
    let agent = test_group.start_agent(1);
    assert_eq!(agent.settings_file, settings_file);
    wait_until("the agent logs its start", || {
        fs::read_to_string(&log_file)
            .is_ok_and(|it| it.contains("event=started"))
    })
    .await;
    let lines = fs::read_to_string(&log_file).expect("a log file");
    assert!(!lines.contains("fence=7"), "{lines}");
}

async fn wait_until(
    condition_name: &str,
    mut condition_holds: impl FnMut() -> bool,
) {
    let start = Instant::now();
    while !condition_holds() {
        assert!(
            start.elapsed() < CONDITION_TIMEOUT,
            "timed out: {condition_name}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against retries that are spent again once all entry processes have
/// ended at one moment: agents keep what they had spent.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_keeps_retry_reports_for_the_next_entry_process() {
    let (test_group, engines) =
        TestGroup::start_without_load_subscription().await;
    let own = SocketAddr::from((
        test_group.network.vm_address(201),
        ENTRY_DATAGRAM_PORT,
    ));
    let socket = UdpSocket::bind(own).await.expect("a socket");
    let agent = SocketAddr::new(engines[0].ip(), ENTRY_DATAGRAM_PORT);
    let bucket = RetryBucket { age: 1, requests: 40, retries: 9 };
    let retries = ServiceRetries {
        service: "model".into(),
        reserved: 2,
        buckets: vec![bucket],
    };
    let report = |incarnation, state, services| {
        let clock = Millis(7_000);
        gossip::encode(&Datagram::RetryReport(RetryReport {
            sender_address: own,
            sent_at: SenderTime { incarnation, clock },
            state,
            known_for: Millis(20_000),
            entry_count: 5,
            services,
        }))
    };
    let told = report(1, ReporterState::Running, vec![retries.clone()]);
    let asks = report(2, ReporterState::Starting, Vec::new());
    let begun = Instant::now();
    let history = loop {
        assert!(begun.elapsed() < CONDITION_TIMEOUT, "no answer");
        // The agent may not have started yet.
        let _ = socket.send_to(&told, agent).await;
        let _ = socket.send_to(&asks, agent).await;
        let mut buffer = [0; 2_048];
        let answer = socket.recv_from(&mut buffer);
        let answer = timeout(Duration::from_millis(200), answer).await;
        if let Ok(Ok((length, _))) = answer
            && let Some(Datagram::RetryHistory(history)) =
                gossip::decode(&buffer[..length])
        {
            break history;
        }
    };
    assert_eq!(history.incarnation, 2);
    let earlier = history.earlier.expect("the report of the process before");
    assert!(earlier.is_complete);
    assert_eq!(earlier.entry_count, 5);
    let told: Vec<_> = earlier.services.into_iter().map(|it| it.1).collect();
    assert_eq!(told, [retries]);
}

#[tokio::test(flavor = "multi_thread")]
async fn expert_map_follows_shifting_demand() {
    let test_group = TestGroup::start_and_subscribe_to_load_reports().await;
    for first in [0, 5, 11] {
        test_group.group.concentrate_demand(first);
        test_group.wait_until_load_is_balanced().await;
    }
    assert!(test_group.group.pass_counts().expert_map_changes >= 3);
    assert_eq!(
        test_group.log.record_count(COORDINATORS_TOPIC),
        1,
        "the coordinator was replaced"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_and_late_orders_mix_no_maps_in_a_pass() {
    let test_group = TestGroup::start_and_subscribe_to_load_reports().await;
    test_group.group.delay_every_nth_order(3);
    for first in [0, 7] {
        test_group.group.concentrate_demand(first);
        test_group.wait_until_load_is_balanced().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_coordinator_is_replaced() {
    let mut test_group = TestGroup::start_with_balanced_load().await;
    for round in 0..2 {
        // The coordinator, rank 0 in the first round, is killed when a switch
        // of maps is needed.
        test_group.group.concentrate_demand(5 + 3 * round);
        test_group.send_signal_to_agent(round, Signal::KILL);
        test_group.agents[round].restart_agent_after_exit();
        test_group.wait_until_load_is_balanced().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_coordinator_is_replaced_and_steps_down() {
    let test_group = TestGroup::start_with_balanced_load().await;
    test_group.group.concentrate_demand(8);
    test_group.send_signal_to_agent(0, Signal::STOP);
    test_group.group.set_vm_state(0, VmState::Frozen);
    let steps = test_group.group.pass_counts().begun_passes;
    wait_until("the group runs more passes", || {
        test_group.group.pass_counts().begun_passes > steps + 100
    })
    .await;
    test_group.group.set_vm_state(0, VmState::Responsive);
    test_group.send_signal_to_agent(0, Signal::CONT);
    test_group.wait_until_load_is_balanced().await;
    assert!(
        test_group.log.record_count(COORDINATORS_TOPIC) >= 2,
        "no other rank took over"
    );
}

/// Guards against a coordinator that goes on after a suspension, though it was
/// replaced meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn suspended_coordinator_is_replaced_and_steps_down() {
    let mut test_group = TestGroup::start_with_balanced_load().await;
    for round in 0..3 {
        test_group.send_signal_to_agent(0, Signal::KILL);
        test_group.agents[0].restart_suspendable_after_exit();
        test_group.group.concentrate_demand(5 + 3 * round);
        test_group.wait_until_load_is_balanced().await;
        let begun = Instant::now();
        test_group.send_signal_to_agent(0, Signal::STOP);
        test_group.group.set_vm_state(0, VmState::Frozen);
        test_group.group.concentrate_demand(6 + 3 * round);
        let steps = test_group.group.pass_counts().begun_passes;
        wait_until("the group runs more passes", || {
            test_group.group.pass_counts().begun_passes > steps + 100
        })
        .await;
        let clock = test_group.agents[0].clock.as_ref();
        clock.expect("a clock").hold_back(begun.elapsed());
        test_group.group.set_vm_state(0, VmState::Responsive);
        test_group.send_signal_to_agent(0, Signal::CONT);
        test_group.wait_until_load_is_balanced().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn load_is_balanced_again_after_a_new_group_epoch() {
    let test_group = TestGroup::start_with_balanced_load().await;
    test_group.group.start_new_epoch();
    assert!(test_group.group.load_skew() > 1.35);
    test_group.wait_until_load_is_balanced().await;
}

/// Guards against a group that keeps an unbalanced map because the better one
/// needs no copy: rank 0 gives up its share of expert 4, and rank 3 its share of
/// expert 5. A group in the siege of log rollbacks came to this map.
#[tokio::test(flavor = "multi_thread")]
async fn map_that_only_drops_copies_comes_in_force() {
    check_map_becomes_balanced([
        &[4, 8, 12, 2, 3],
        &[5, 9, 6],
        &[10, 14, 15, 4, 1, 0],
        &[3, 7, 11, 12, 13, 5],
    ])
    .await;
}

/// Guards against a group that keeps an unbalanced map because no single change
/// helps: the most popular expert is alone at its rank.
#[tokio::test(flavor = "multi_thread")]
async fn popular_expert_alone_at_its_rank_is_copied() {
    check_map_becomes_balanced([
        &[0, 8, 12, 7, 2, 10],
        &[5, 13, 6, 1],
        &[3],
        &[15, 4, 14, 9, 11],
    ])
    .await;
}

/// Starts a group with a map and the last demand of the siege of log rollbacks.
async fn check_map_becomes_balanced(
    experts_by_rank: [&[u16]; RANK_COUNT as usize],
) {
    let (test_group, engines) =
        TestGroup::start_without_load_subscription().await;
    test_group.group.set_experts_by_rank(&experts_by_rank);
    test_group.group.concentrate_demand(3);
    assert!(test_group.group.load_skew() > 1.35);
    // Agents don't plan before an entry process has told them the group's shape.
    test_group.subscribe_to_agents(engines).await;
    test_group.wait_until_load_is_balanced().await;
}

/// Guards against a new epoch's map that is planned for the demand of the epoch
/// before.
#[tokio::test(flavor = "multi_thread")]
async fn demand_that_shifts_with_a_new_group_epoch_is_followed() {
    let test_group = TestGroup::start_with_balanced_load().await;
    for first in [8, 3, 11] {
        test_group.group.concentrate_demand(first);
        test_group.group.start_new_epoch();
        test_group.wait_until_load_is_balanced().await;
    }
}

/// Guards against a new coordinator that plans for a demand from before the
/// group had none: nobody gets a fencing number while the log is away.
#[tokio::test(flavor = "multi_thread")]
async fn demand_that_shifts_without_a_coordinator_is_followed() {
    let mut test_group = TestGroup::start_with_balanced_load().await;
    test_group.log.set_fault(log::Fault::Refusing);
    test_group.send_signal_to_agent(0, Signal::KILL);
    test_group.agents[0].restart_agent_after_exit();
    for first in [8, 3] {
        test_group.group.concentrate_demand(first);
        sleep(Duration::from_millis(1_500)).await;
    }
    test_group.log.set_fault(log::Fault::None);
    test_group.wait_until_load_is_balanced().await;
    assert!(test_group.log.record_count(COORDINATORS_TOPIC) >= 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_report_load_without_the_platform_log() {
    let test_group = TestGroup::start_and_subscribe_to_load_reports().await;
    test_group.log.set_fault(log::Fault::Refusing);
    wait_until("every agent reports", || {
        let load_reports = test_group.load_reports.lock().expect("no panic");
        let mut targets: Vec<SocketAddr> =
            load_reports.iter().map(|it| it.engine_address).collect();
        targets.sort();
        targets.dedup();
        targets.len() == usize::from(RANK_COUNT)
    })
    .await;
    test_group.log.set_fault(log::Fault::None);
    test_group.group.concentrate_demand(0);
    test_group.wait_until_load_is_balanced().await;
}

/// Restarts the agents one after another, as in an update of all VMs, while
/// demand shifts and a switch of maps may be in progress.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_agent_restarts_do_not_block_the_group() {
    let mut test_group = TestGroup::start_with_balanced_load().await;
    for agent in 0..usize::from(RANK_COUNT) {
        test_group.group.concentrate_demand(3 * agent + 1);
        // After some passes a switch of maps is most likely in progress.
        let passes_and_held_back_intervals = || {
            test_group.group.pass_counts().begun_passes
                + test_group.group.pass_counts().held_back_intervals
        };
        let start = passes_and_held_back_intervals();
        wait_until("the group runs more passes", || {
            passes_and_held_back_intervals() > start + 20
        })
        .await;
        test_group.send_signal_to_agent(agent, Signal::TERM);
        test_group.agents[agent].restart_agent_after_exit();
    }
    test_group.wait_until_load_is_balanced().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_coordinator_is_replaced_before_the_timeout() {
    let mut test_group = TestGroup::start_with_balanced_load().await;
    test_group.send_signal_to_agent(0, Signal::TERM);
    let ended = test_group.agents[0].child.wait().expect("the process ends");
    let stopped = Instant::now();
    assert!(ended.success());
    wait_until("another rank is the coordinator", || {
        test_group.log.record_count(COORDINATORS_TOPIC) == 2
    })
    .await;
    // Without the coordinator's message, rank 1 would take over after 1.7 s.
    assert!(stopped.elapsed() < Duration::from_millis(1_300), "{stopped:?}");
}

/// Guards against a group that stays held after its coordinator froze.
/// Recently restarted agents don't know the last orders of their previous
/// processes, but these orders belong to passes that are long over, so the
/// switch can be cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_agents_allow_a_map_switch_to_be_cancelled() {
    let mut test_group = TestGroup::start_with_balanced_load().await;
    for agent in 1..usize::from(RANK_COUNT) {
        test_group.send_signal_to_agent(agent, Signal::KILL);
        test_group.agents[agent].restart_agent_after_exit();
    }
    let steps = test_group.group.pass_counts().begun_passes;
    wait_until("the group runs more passes", || {
        test_group.group.pass_counts().begun_passes > steps + 40
    })
    .await;
    for first in [8, 13, 3, 10, 5] {
        test_group.group.concentrate_demand(first);
        let held = test_group.group.pass_counts().held_back_intervals;
        wait_until("a switch is complete or the group is held", || {
            test_group.group.load_skew() < 1.35
                || test_group.group.pass_counts().held_back_intervals > held
        })
        .await;
    }
    test_group.group.concentrate_demand(0);
    test_group.send_signal_to_agent(0, Signal::STOP);
    test_group.group.set_vm_state(0, VmState::Frozen);
    let steps = test_group.group.pass_counts().begun_passes;
    wait_until("the group runs more passes", || {
        test_group.group.pass_counts().begun_passes > steps + 100
    })
    .await;
    test_group.group.set_vm_state(0, VmState::Responsive);
    test_group.send_signal_to_agent(0, Signal::CONT);
    test_group.wait_until_load_is_balanced().await;
}

/// A service with two groups: entry processes send the engines of both groups
/// to all agents.
#[tokio::test(flavor = "multi_thread")]
async fn groups_of_one_service_keep_separate_maps() {
    let (one, mut engines) =
        TestGroup::start_without_load_subscription().await;
    let (other, more) = TestGroup::start_without_load_subscription().await;
    one.group.set_group_name("one");
    other.group.set_group_name("other");
    engines.extend(more);
    one.subscribe_to_agents(engines.clone()).await;
    other.subscribe_to_agents(engines).await;
    for first in [0, 5, 11] {
        one.group.concentrate_demand(first);
        other.group.concentrate_demand(first + 2);
        one.wait_until_load_is_balanced().await;
        other.wait_until_load_is_balanced().await;
    }
    assert_eq!(
        one.group.pass_counts().mixed_passes
            + other.group.pass_counts().mixed_passes,
        0
    );
}

/// An agent runs on its engine's own VM and detects reliably that the engine's
/// process has ended. An agent whose engine just doesn't answer reports no
/// end.
#[tokio::test(flavor = "multi_thread")]
async fn agent_reports_the_end_of_its_engine_process() {
    let (test_group, engines) =
        TestGroup::start_without_load_subscription().await;
    test_group.subscribe_to_agents(engines.clone()).await;
    let reports_of = |engine: SocketAddr| {
        let load_reports = test_group.load_reports.lock().expect("no panic");
        load_reports.iter().filter(|it| it.engine_address == engine).count()
    };
    wait_until("every agent reports", || {
        engines.iter().all(|it| reports_of(*it) > 0)
    })
    .await;
    test_group.group.set_vm_state(3, VmState::Frozen);
    test_group.group.kill_rank(2);
    let engine_exit_reports =
        || test_group.engine_exit_reports.lock().expect("no panic").clone();
    wait_until("the engine's end is reported repeatedly", || {
        engine_exit_reports().len() > 2
    })
    .await;
    assert!(
        engine_exit_reports().iter().all(|it| it.engine_address == engines[2])
    );
    let before = reports_of(engines[2]);
    let others = reports_of(engines[1]);
    wait_until("the others report", || reports_of(engines[1]) > others + 1)
        .await;
    assert_eq!(reports_of(engines[2]), before);
}

/// Guards against an agent that sends a call or an order to its own or another
/// engine within the Retry-After of a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn agents_call_no_engine_within_its_retry_after() {
    let test_group = TestGroup::start_with_balanced_load().await;
    for rank in 0..usize::from(RANK_COUNT) {
        let before = test_group.group.call_count(rank);
        test_group.group.set_retry_after(rank, Some("2.5"));
        // The shifted demand requires a switch of maps.
        test_group.group.concentrate_demand(4 * (rank + 1) % EXPERTS_PER_SET);
        sleep(Duration::from_millis(2_000)).await;
        let calls = test_group.group.call_count(rank) - before;
        // The engine may refuse one call of each agent, and one call was in
        // flight.
        let most = u64::from(RANK_COUNT) + 1;
        assert!((1..=most).contains(&calls), "rank {rank}: {calls} calls");
        test_group.group.set_retry_after(rank, None);
        let before = test_group.group.call_count(rank);
        wait_until("the engine is called again", || {
            test_group.group.call_count(rank) > before + 10
        })
        .await;
    }
    assert_eq!(test_group.group.pass_counts().mixed_passes, 0);
}

/// Guards against a cooldown that stays in force after the end of the process
/// that requested it.
#[tokio::test(flavor = "multi_thread")]
async fn engine_process_exit_is_detected_during_cooldown() {
    let (test_group, engines) =
        TestGroup::start_without_load_subscription().await;
    test_group.subscribe_to_agents(engines.clone()).await;
    let lost = || {
        let engine_exit_reports =
            test_group.engine_exit_reports.lock().expect("no panic");
        engine_exit_reports.iter().any(|it| it.engine_address == engines[2])
    };
    wait_until("every agent reports", || {
        let load_reports = test_group.load_reports.lock().expect("no panic");
        engines.iter().all(|it| {
            load_reports.iter().any(|load| load.engine_address == *it)
        })
    })
    .await;
    test_group.group.set_retry_after(2, Some("1000000000"));
    let before = test_group.group.call_count(2);
    wait_until("the engine refuses a call", || {
        test_group.group.call_count(2) > before
    })
    .await;
    sleep(Duration::from_millis(200)).await;
    assert!(!lost());
    test_group.group.kill_rank(2);
    test_group.group.set_retry_after(2, None);
    wait_until("the engine's end is reported", lost).await;
    let before = test_group.group.call_count(2);
    test_group.group.restart_rank(2, engines[2]).await;
    wait_until("the engine is called", || {
        test_group.group.call_count(2) > before + 3
    })
    .await;
}

/// Guards against an engine's announcement to leave that reaches its agent but
/// not the entry processes.
#[tokio::test(flavor = "multi_thread")]
async fn agent_reports_that_its_engine_is_leaving() {
    let (test_group, engines) =
        TestGroup::start_without_load_subscription().await;
    test_group.subscribe_to_agents(engines.clone()).await;
    test_group.group.set_leaving(1);
    let leaving = |engine: SocketAddr| {
        let load_reports = test_group.load_reports.lock().expect("no panic");
        load_reports
            .iter()
            .any(|it| it.engine_address == engine && it.draining)
    };
    wait_until("the agent reports that its engine is leaving", || {
        leaving(engines[1])
    })
    .await;
    assert!(!leaving(engines[0]));
}

/// Guards against two coordinators with the same fencing number: after a
/// rollback the log assigns the offset that determined the first coordinator's
/// number a second time.
#[tokio::test(flavor = "multi_thread")]
async fn fencing_numbers_grow_after_a_log_rollback() {
    let before_all = Instant::now();
    let (mut test_group, engines) =
        TestGroup::start_without_load_subscription().await;
    test_group.log.set_era(Some(3));
    test_group.subscribe_to_agents(engines).await;
    let mut last = 0;
    for round in 0..3 {
        test_group.group.concentrate_demand(3 * round);
        test_group.wait_until_load_is_balanced().await;
        let fence = test_group.group.max_fencing_token();
        assert!(fence > last, "{fence} after {last}");
        last = fence;
        test_group.log.roll_back(before_all);
        // After the kills no agent knows the fencing number of the last
        // coordinator.
        for agent in 0..usize::from(RANK_COUNT) {
            test_group.send_signal_to_agent(agent, Signal::KILL);
        }
        for agent in &mut test_group.agents {
            agent.restart_agent_after_exit();
        }
    }
}

/// Guards against counts of an earlier demand that an agent reports as recent:
/// the agent itself was frozen.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_agent_reports_no_old_counts() {
    check_reported_counts_are_recent(async |test_group| {
        test_group.send_signal_to_agent(0, Signal::STOP);
        sleep(Duration::from_millis(1_500)).await;
        test_group.send_signal_to_agent(0, Signal::CONT);
    })
    .await;
}

/// Guards against counts of an earlier demand that an agent reports as recent:
/// its engine did not answer for a while.
#[tokio::test(flavor = "multi_thread")]
async fn counts_from_before_an_engine_outage_are_not_reported() {
    check_reported_counts_are_recent(async |test_group| {
        let last = usize::from(RANK_COUNT) - 1;
        test_group.group.set_vm_state(last, VmState::Frozen);
        sleep(Duration::from_millis(1_500)).await;
        test_group.group.set_vm_state(last, VmState::Responsive);
    })
    .await;
}

/// Plays the coordinator of a group of which one agent is left, and checks
/// that each of the agent's reports of counts covers only a few passes.
async fn check_reported_counts_are_recent(
    disturb: impl AsyncFnOnce(&TestGroup),
) {
    let (mut test_group, engines) =
        TestGroup::start_without_load_subscription().await;
    test_group.subscribe_to_agents(engines.clone()).await;
    // Only the agent of the last rank runs on.
    test_group.agents.drain(..usize::from(RANK_COUNT) - 1);
    let increases = lead_without_plans(&test_group).await;
    let count = || increases.lock().expect("no panic").len();
    wait_until("the agent reports counts", || count() > 5).await;
    disturb(&test_group).await;
    let before = count();
    wait_until("the agent reports counts again", || count() > before + 10)
        .await;
    // Each pass selects each of the experts of both sets once.
    let passes = |increase: &SelectionCountIncrease| {
        let units = increase.increase_units_by_expert.iter();
        let units: u64 = units.map(|it| u64::from(*it)).sum();
        units * increase.selections_per_increase_unit
            / (2 * EXPERTS_PER_SET as u64)
    };
    let increases = increases.lock().expect("no panic");
    let passes: Vec<u64> = increases.iter().map(passes).collect();
    let most =
        1 + MAX_REPORTED_COUNTING_WINDOW.0 / PASS_INTERVAL.as_millis() as u64;
    assert!(passes.iter().all(|it| *it <= most), "{passes:?}");
}

/// Sends directives that require nothing, in place of the agent of rank 0, and
/// collects the counts that agents report.
async fn lead_without_plans(
    test_group: &TestGroup,
) -> Arc<std::sync::Mutex<Vec<SelectionCountIncrease>>> {
    let network = test_group.network;
    let address = move |vm| {
        SocketAddr::from((network.vm_address(vm), AGENT_DATAGRAM_PORT))
    };
    let own = address(1);
    let mut socket = UdpSocket::bind(own).await;
    while socket.is_err() {
        sleep(Duration::from_millis(20)).await;
        socket = UdpSocket::bind(own).await;
    }
    let socket = Arc::new(socket.expect("a socket"));
    let directive = Directive {
        fencing_number: 1 << 40,
        epoch: Epoch(1),
        desired_state: DesiredState::Rest,
    };
    let message = gossip::encode(&GroupMessage {
        group_name: "g".into(),
        agent_message: AgentMessage::Directive(directive, own),
    });
    let sender = socket.clone();
    tokio::spawn(async move {
        loop {
            let _ = sender.send_to(&message, address(RANK_COUNT)).await;
            sleep(Duration::from_millis(100)).await;
        }
    });
    let increases: Arc<std::sync::Mutex<Vec<_>>> = Arc::default();
    let received = increases.clone();
    tokio::spawn(async move {
        let mut buffer = [0; 2_048];
        while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
            let message = gossip::decode::<GroupMessage<AgentMessage>>(
                &buffer[..length],
            );
            if let Some(AgentMessage::SelectionCountIncrease(increase)) =
                message.map(|it| it.agent_message)
            {
                received.lock().expect("no panic").push(increase);
            }
        }
    });
    increases
}
