//! Real programs as separate processes, on free ports of loopback.

use std::{
    collections::HashMap,
    fs,
    net::{SocketAddr, TcpListener},
    ops::Range,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use cowsliproad_bench::{caller::Balancer, workload};
use cowsliproad_ctl::{
    apply::{self, Others},
    client::{Client, Mode},
};
use cowsliproad_kernel::{clock::Millis, secret::Secret};
use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use tokio::time::sleep;

/// How long anything may take to come up.
const COME_UP: Duration = Duration::from_secs(20);

/// A program that is killed with the test.
pub struct Program {
    child: Child,
}

impl Program {
    fn start(name: &str, args: &[String]) -> Program {
        let child = Command::new(program(name))
            .args(args)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| panic!("{name}: {error}"));
        Program { child }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.process_id().cast_signed());
        let pid = pid.expect("an id");
        kill_process(pid, signal).expect("the process is there");
    }

    /// The process's id.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    /// Waits for the end.
    pub async fn ended(&mut self, patience: Duration) -> ExitStatus {
        let deadline = Instant::now() + patience;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(Instant::now() < deadline, "the process does not end");
            sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An entry's addresses and process.
pub struct Entry {
    pub settings: cowsliproad_entry::settings::Settings,
    pub program: Program,
}

/// A target's stand-in, agent settings and agent process.
pub struct Site {
    pub settings: cowsliproad_agent::settings::Settings,
    pub service: &'static str,
    pub agent: Program,
    _target: Program,
}

/// A deployment of processes.
pub struct Plant {
    pub entries: Vec<Entry>,
    pub sites: Vec<Site>,
    pub balancer: Arc<Balancer>,
    directory: PathBuf,
    _platform: [Program; 2],
}

impl Plant {
    /// Starts entries and targets and loads both users' configuration.
    pub async fn start(name: &str, entries: usize, sites: usize) -> Plant {
        Plant::start_with(name, entries, sites, |_| {}).await
    }

    /// The same with other settings of the entries.
    pub async fn start_with(
        name: &str,
        entries: usize,
        sites: usize,
        adjust: impl Fn(&mut cowsliproad_entry::settings::Settings),
    ) -> Plant {
        let directory = std::env::temp_dir()
            .join(format!("cowsliproad-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a directory for settings");
        let key = Secret(rand::random());
        let (log, vms) = (free(), free());
        let platform = [stand_in("log", log), stand_in("vms", vms)];
        wait_for(log).await;
        let mut plant = Plant {
            entries: Vec::new(),
            sites: Vec::new(),
            balancer: Arc::new(Balancer::new()),
            directory,
            _platform: platform,
        };
        for index in 0..sites {
            let site = plant.start_site(index, key).await;
            plant.sites.push(site);
        }
        let mut settings = Vec::new();
        for index in 0..entries {
            let mut entry = entry_settings(index, log, vms, key);
            adjust(&mut entry);
            settings.push(entry);
        }
        let links: Vec<_> =
            settings.iter().map(|it| it.link_address).collect();
        for mut settings in settings {
            let own = settings.link_address;
            settings.peer_link_addresses =
                links.iter().copied().filter(|it| *it != own).collect();
            plant.start_entry(settings).await;
        }
        plant.load().await;
        plant
    }

    /// Starts an entry from its settings.
    pub async fn start_entry(
        &mut self,
        settings: cowsliproad_entry::settings::Settings,
    ) {
        let program =
            self.spawn("cowsliproad-entry", &settings.name, &settings);
        // It listens at one address after the other.
        for address in [
            settings.caller_address,
            settings.admin_address,
            settings.link_address,
        ] {
            wait_for(address).await;
        }
        self.balancer.add(settings.caller_address);
        self.entries.push(Entry { settings, program });
    }

    /// Starts the agent of a site anew.
    pub async fn restart_agent(&mut self, index: usize) {
        let settings = self.sites[index].settings.clone();
        let agent =
            self.spawn("cowsliproad-agent", &settings.target_name, &settings);
        wait_for(settings.link_listen_address).await;
        self.sites[index].agent = agent;
    }

    /// A client of an entry's operator interface.
    pub fn operator(&self, index: usize) -> Client {
        Client::new(self.entries[index].settings.admin_address)
    }

    /// How often each request ran, summed over the plain services.
    pub async fn runs(&self) -> HashMap<String, u32> {
        let client = cowsliproad_net::client::Client::new();
        let mut sum: HashMap<String, u32> = HashMap::new();
        for site in self.sites.iter().filter(|it| it.service == "access") {
            let uri = format!("http://{}/runs", site.settings.target_address);
            let request = http::Request::get(uri)
                .body(http_body_util::Full::default())
                .expect("the parts are valid");
            let reply = client.call(request, 64 << 20, COME_UP).await;
            let reply = reply.expect("the stand-in answers");
            let counts: HashMap<String, u32> =
                serde_json::from_slice(reply.body()).expect("counts");
            for (id, count) in counts {
                *sum.entry(id).or_default() += count;
            }
        }
        sum
    }

    async fn start_site(&self, index: usize, key: Secret) -> Site {
        let (kind, service) = match index % 3 {
            0 => ("engine", "drafting"),
            _ => ("plain", "access"),
        };
        let target = free();
        let stand_in = stand_in(kind, target);
        wait_for(target).await;
        let name = format!("{kind}-{index}");
        let zone = format!("zone-{}", index % 2);
        let mut settings = cowsliproad_agent::settings::Settings::new(
            &name, &zone, target, kind, key,
        );
        settings.link_listen_address = free();
        settings.http_listen_address = free();
        settings.target_silence_timeout = Millis(3_000);
        let agent = self.spawn("cowsliproad-agent", &name, &settings);
        wait_for(settings.link_listen_address).await;
        Site { settings, service, agent, _target: stand_in }
    }

    async fn load(&self) {
        let mut objects = workload::objects();
        for site in &self.sites {
            objects.push(cowsliproad_config::ConfigObject::Target(
                cowsliproad_config::object::Target {
                    name: site.settings.target_name.clone(),
                    service: site.service.into(),
                    zone: site.settings.zone.clone(),
                    agent_address: site.settings.link_listen_address,
                },
            ));
        }
        let client = self.operator(0);
        let found = apply::differences(&objects, &[], Others::Keep);
        let outcome = apply::apply(&client, &found, Mode::Commit).await;
        outcome.expect("the configuration is accepted");
        for index in 0..self.entries.len() {
            self.settle(index).await;
        }
    }

    /// Waits until an entry serves through every target.
    pub async fn settle(&self, index: usize) {
        let client = self.operator(index);
        let deadline = Instant::now() + COME_UP;
        loop {
            let status = client.status().await;
            let serving = status.map_or(0, |status| {
                let targets = status.targets.iter();
                targets.filter(|it| it.state == "serving").count()
            });
            if serving == self.sites.len() {
                return;
            }
            assert!(Instant::now() < deadline, "entry {index} is not ready");
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn spawn<T: Serialize>(
        &self,
        program: &str,
        name: &str,
        settings: &T,
    ) -> Program {
        let path = self.directory.join(format!("{name}.json"));
        let mut fields = serde_json::to_value(settings).expect("it is JSON");
        let omitted = std::env::var("OMITTED_SETTINGS").unwrap_or_default();
        let object = fields.as_object_mut().expect("settings are an object");
        object.retain(|name, _| !omitted.split(',').any(|it| it == name));
        let text = cowsliproad_kernel::settings::to_json(&fields);
        fs::write(&path, text).expect("the settings are written");
        let path = path.display().to_string();
        Program::start(program, &["--settings".into(), path])
    }
}

impl Drop for Plant {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn stand_in(kind: &str, address: SocketAddr) -> Program {
    let args = [kind.into(), "--listen".into(), address.to_string()];
    Program::start("cowsliproad-standin", &args)
}

fn entry_settings(
    index: usize,
    log: SocketAddr,
    vms: SocketAddr,
    key: Secret,
) -> cowsliproad_entry::settings::Settings {
    let name = format!("entry-{index}");
    let zone = format!("zone-{}", index % 2);
    let mut settings = cowsliproad_entry::settings::Settings::new(
        &name, &zone, log, vms, key,
    );
    settings.caller_address = free();
    settings.admin_address = free();
    settings.link_address = free();
    settings.stop_grace_time = Millis(300);
    settings
}

/// Ports below those that the system gives to connections: one of these
/// would be taken between its choice and the program's start.
const PORTS: Range<u16> = 10_000..32_000;

/// A port that nobody listens at and that no other call has returned. Test
/// programs that run beside one another begin at ports of their own.
fn free() -> SocketAddr {
    static DRAWN: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(37);
    loop {
        let drawn = DRAWN.fetch_add(1, Ordering::Relaxed);
        let offset = first.wrapping_add(drawn) % PORTS.len() as u32;
        let address = ([127, 0, 0, 1], PORTS.start + offset as u16).into();
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

async fn wait_for(address: SocketAddr) {
    let deadline = Instant::now() + COME_UP;
    while tokio::net::TcpStream::connect(address).await.is_err() {
        assert!(Instant::now() < deadline, "{address} does not come up");
        sleep(Duration::from_millis(10)).await;
    }
}

/// A program of the workspace, which cargo builds beside the tests, or that of
/// another landing in the folder `PROGRAMS`. `OMITTED_SETTINGS` leaves out the
/// settings that it doesn't know.
fn program(name: &str) -> PathBuf {
    if let Some(directory) = std::env::var_os("PROGRAMS") {
        return PathBuf::from(directory).join(name);
    }
    let test = std::env::current_exe().expect("the test's own path");
    let directory = test.ancestors().nth(2).expect("the target directory");
    directory.join(name)
}
