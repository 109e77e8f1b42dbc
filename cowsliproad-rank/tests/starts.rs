//! Starts and ends of an agent's process: what may go wrong for a moment ends
//! none, and each end leaves its reason in the log.

use std::{
    fs::{self, File},
    io::Write,
    net::UdpSocket,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

use cowsliproad_kernel::settings;
use cowsliproad_platform::SETTINGS_VARIABLE;
use cowsliproad_rank::settings::Settings;
use rustix::process::{Pid, Signal, kill_process};

/// How long anything may take that has no bound of its own.
const PATIENCE: Duration = Duration::from_secs(20);

/// Long enough for a process to end by itself.
const MOMENT: Duration = Duration::from_millis(300);

/// An agent's process, with its settings file and its log.
struct Agent {
    child: Child,
    log: PathBuf,
    file: PathBuf,
}

impl Agent {
    /// Starts a process whose settings file is there.
    fn start(name: &str, settings: &Settings) -> Agent {
        let agent_file = path(name, "json");
        fs::write(&agent_file, settings::to_json(settings)).expect("a file");
        Agent::start_with_own_file(name)
    }

    /// Starts a process whose settings file the test makes.
    fn start_with_own_file(name: &str) -> Agent {
        let (file, log) = (path(name, "json"), path(name, "log"));
        let output = File::create(&log).expect("a file");
        let child = Command::new(env!("CARGO_BIN_EXE_cowsliproad-rank"))
            .env(SETTINGS_VARIABLE, &file)
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Agent { child, log, file }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process is there");
    }

    fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    fn ended(&mut self) -> ExitStatus {
        let begun = Instant::now();
        while self.is_running() {
            assert!(begun.elapsed() < PATIENCE, "the process does not end");
            sleep(Duration::from_millis(10));
        }
        self.child.wait().expect("a child")
    }

    /// Waits for a line of the log that has these parts.
    fn until_line(&self, parts: &[&str]) {
        let begun = Instant::now();
        loop {
            let text = fs::read_to_string(&self.log).unwrap_or_default();
            let mut lines = text.lines();
            if lines.any(|line| parts.iter().all(|it| line.contains(it))) {
                return;
            }
            assert!(begun.elapsed() < PATIENCE, "no {parts:?}: {text}");
            sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
        let _ = fs::remove_file(&self.log);
    }
}

fn path(name: &str, extension: &str) -> PathBuf {
    let name = format!("cowsliproad-rank-{}-{name}", std::process::id());
    std::env::temp_dir().join(name).with_extension(extension)
}

/// Settings with two free ports.
fn new_settings() -> Settings {
    let sockets =
        [0; 2].map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port"));
    let [entries, agents] =
        sockets.map(|it| it.local_addr().expect("an address").port());
    Settings {
        entry_datagram_port: entries,
        agent_datagram_port: agents,
        ..Settings::example()
    }
}

/// Guards against an agent that a signal to read its settings again ends while
/// it starts.
#[test]
fn a_hangup_during_the_start_ends_no_agent() {
    let name = "hangup";
    let settings = new_settings();
    let made = Command::new("mkfifo").arg(path(name, "json")).status();
    assert!(made.expect("the program runs").success());
    let mut agent = Agent::start_with_own_file(name);
    // The process has begun to read its settings once the pipe opens.
    let mut pipe =
        File::options().write(true).open(&agent.file).expect("a pipe");
    agent.signal(Signal::HUP);
    sleep(MOMENT);
    assert!(agent.is_running());
    let text = settings::to_json(&settings);
    fs::remove_file(&agent.file).expect("the pipe is there");
    fs::write(&agent.file, &text).expect("a file");
    pipe.write_all(text.as_bytes()).expect("the process reads");
    drop(pipe);
    agent.until_line(&["event=started"]);
    agent.until_line(&["event=settings_read"]);
}

/// Guards against an agent that ends at once since a port of its own is still
/// in use, or that no signal ends while it waits.
#[test]
fn an_agent_waits_for_its_ports() {
    let settings = new_settings();
    for port in [settings.entry_datagram_port, settings.agent_datagram_port] {
        let taken = UdpSocket::bind(("127.0.0.1", port)).expect("free");
        let mut agent = Agent::start(&format!("port-{port}"), &settings);
        agent.until_line(&["event=address_unavailable"]);
        assert!(agent.is_running());
        drop(taken);
        agent.until_line(&["event=started"]);
        agent.signal(Signal::TERM);
        assert!(agent.ended().success());
        agent.until_line(&["event=stopping", "signal=SIGTERM"]);
        agent.until_line(&["event=stopped"]);
    }
    let _taken = UdpSocket::bind(("127.0.0.1", settings.agent_datagram_port));
    let mut agent = Agent::start("stop", &settings);
    agent.until_line(&["event=address_unavailable"]);
    agent.signal(Signal::TERM);
    assert!(agent.ended().success());
    agent.until_line(&["event=stopped", "signal=SIGTERM"]);
}

/// Guards against an agent that ends without a reason in its log.
#[test]
fn wrong_settings_end_the_agent_with_a_reason_in_its_log() {
    let wrong = Settings { expert_move_cost: 2.0, ..new_settings() };
    let mut agent = Agent::start("wrong", &wrong);
    assert_eq!(agent.ended().code(), Some(2));
    agent.until_line(&["event=ended", "move_price", "status=2"]);
}
