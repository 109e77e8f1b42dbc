//! Agents as separate processes beside engines.

use std::{
    cell::RefCell,
    fs,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use cowsliproad_platform::SETTINGS_VARIABLE;
use cowsliproad_rank::settings::Settings;
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::sleep;

use crate::harness::{PEERS, entry_program};

/// The port on which agents reach one another.
const AGENTS: u16 = 18_086;

/// The process of an agent, which a siege may end and start again.
pub struct Agent {
    settings_file: PathBuf,
    child: RefCell<Child>,
}

impl Agent {
    /// Starts the agent beside an engine.
    pub fn start(engine: SocketAddr, log: SocketAddr) -> Agent {
        let settings = Settings {
            vm_name: format!("agent-{}", engine.ip()).into(),
            vm_address: engine.ip(),
            engine_address: engine,
            entry_datagram_port: PEERS,
            agent_datagram_port: AGENTS,
            platform_log_address: log,
            ..Settings::example()
        };
        let settings_file = settings_file(engine.ip());
        let text = cowsliproad_kernel::settings::to_json(&settings);
        fs::write(&settings_file, text).expect("a settings file");
        let child = RefCell::new(spawn(&settings_file));
        Agent { settings_file, child }
    }

    /// Kills the process, and starts another one after a time.
    pub async fn restart_after(&self, time: Duration) {
        let _ = self.child.borrow_mut().kill();
        let _ = self.child.borrow_mut().wait();
        sleep(time).await;
        *self.child.borrow_mut() = spawn(&self.settings_file);
    }

    /// Has the process stand still for a time.
    pub async fn freeze(&self, time: Duration) {
        let frozen = Pid::from_child(&self.child.borrow());
        let _ = kill_process(frozen, Signal::STOP);
        sleep(time).await;
        // Another process has its place if it was killed meanwhile.
        if Pid::from_child(&self.child.borrow()) == frozen {
            let _ = kill_process(frozen, Signal::CONT);
        }
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.get_mut().kill();
        let _ = self.child.get_mut().wait();
        let _ = fs::remove_file(&self.settings_file);
    }
}

fn settings_file(vm: IpAddr) -> PathBuf {
    std::env::temp_dir().join(format!("cowsliproad-agent-{vm}.json"))
}

/// Starts the agents' program, which is built beside that of the entries.
fn spawn(settings_file: &PathBuf) -> Child {
    let program = entry_program().with_file_name("cowsliproad-rank");
    let mut command = Command::new(program);
    command.env(SETTINGS_VARIABLE, settings_file).stdout(Stdio::null());
    command.spawn().expect("`cargo build -p cowsliproad-rank` was run")
}
