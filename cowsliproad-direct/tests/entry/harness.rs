//! Entries as separate processes on loopback, before stand-ins.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use cowsliproad_direct::settings::{RetryBudgetSettings, Settings};
use cowsliproad_kernel::{
    clock::Millis,
    gossip::{
        self, CrashSuspectRequests, Datagram, EngineExit, EngineLoad,
        GossipDigest,
    },
    position::{LogEra, LogPosition},
};
use cowsliproad_net::client::{Client, Error};
use cowsliproad_platform::{
    READINESS_PATH, SETTINGS_VARIABLE, header, log::TARGETS_TOPIC,
};
use cowsliproad_platform_standin::{
    catalog::{OperatorConfig, RouteKind},
    log::Log,
    network::Network,
    target::{self, Announcement, Target, TargetConfig},
};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use rustix::process::{Pid, Signal, kill_process};
use tokio::{
    net::{TcpListener, UdpSocket},
    time::sleep,
};

use crate::held_clock::HeldClock;

/// How long anything may take that has no bound of its own.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// The key that the plant's organisation holds.
pub const KEY: &str = "key-1";

/// Ports are the same on all VMs; each VM has an address.
const CALLERS: u16 = 18_080;
const READINESS: u16 = 18_081;
pub const PEERS: u16 = 18_082;
const TARGETS: u16 = 18_083;

/// A platform with targets and entries.
pub struct Plant {
    net: Network,
    pub log: Arc<Log>,
    pub log_address: SocketAddr,
    pub catalog: OperatorConfig,
    retries: RetryBudgetSettings,
    next: u8,
}

/// An entry's process.
pub struct Entry {
    pub settings: Settings,
    pub file: PathBuf,
    child: Child,
    clock: Option<HeldClock>,
}

/// Numbers requests.
static REQUEST: AtomicU64 = AtomicU64::new(1);

impl Plant {
    /// A platform whose configuration has a route of each kind and two
    /// services, `plain` and `model`.
    pub async fn start() -> Plant {
        let (net, log, log_address) =
            Network::start_with_log(TARGETS, PEERS).await.expect("a network");
        let mut catalog = OperatorConfig::new()
            .with_service("plain")
            .with_service("model")
            .with_route("/once/", RouteKind::Once, "plain", 4_000)
            .with_route("/many/", RouteKind::Idempotent, "plain", 4_000)
            .with_route("/many/model/", RouteKind::Idempotent, "model", 4_000)
            .with_route("/stream/", RouteKind::Stream, "model", 8_000)
            .with_route("/live/", RouteKind::StreamOnce, "model", 8_000)
            .with_organisation("harju", &[KEY]);
        catalog.publish(&log);
        let retries = Settings::example().retries;
        Plant { net, log, log_address, catalog, retries, next: 1 }
    }

    /// The same platform with another retry budget of its entries.
    pub fn with_retries(self, retries: RetryBudgetSettings) -> Plant {
        Plant { retries, ..self }
    }

    /// An address for one more VM.
    pub fn vm(&mut self) -> Ipv4Addr {
        self.next += 1;
        self.net.vm_address(self.next)
    }

    /// Where one more target may listen, and the log that it is announced in.
    pub fn target_site(&mut self) -> (SocketAddr, Arc<Log>) {
        (SocketAddr::from((self.vm(), TARGETS)), self.log.clone())
    }

    /// One more target.
    pub async fn target(&mut self, id: &str, service: &str) -> Arc<Target> {
        let config = TargetConfig::new(id, service, "a");
        self.target_with(config).await
    }

    /// One more target of a kind.
    pub async fn target_with(&mut self, config: TargetConfig) -> Arc<Target> {
        let (address, log) = self.target_site();
        target::start(address, config, &log).await.expect("a target")
    }

    /// A quick target, which gets most requests, and two slower ones.
    pub async fn uneven_targets(&mut self, service: &str) -> Vec<Arc<Target>> {
        let mut targets = Vec::new();
        for (id, pause) in [("i-1", 2), ("i-2", 20), ("i-3", 20)] {
            let pause = Duration::from_millis(pause);
            let events = if service == "model" { 4 } else { 0 };
            let config =
                TargetConfig::new(id, service, "a").with_start_time(1);
            let config = config.with_events(events, pause);
            targets.push(self.target_with(config).await);
        }
        targets
    }

    /// A listener that is announced as a target and answers nothing itself.
    pub async fn bare_target(
        &mut self,
        id: &str,
        service: &str,
        start: Option<u64>,
    ) -> TcpListener {
        let address = SocketAddr::from((self.vm(), TARGETS));
        let listener = TcpListener::bind(address).await.expect("a target");
        let announced = Announcement {
            service,
            listen_address: address,
            zone: "a",
            state: "ready",
            sequence: 1,
            start_unix_ms: start,
        };
        let text = announced.to_json();
        self.log.put(TARGETS_TOPIC, id, Some(text.as_bytes()));
        listener
    }

    /// Settings of one more entry.
    pub fn settings(&mut self, seeds: &[&Entry]) -> Settings {
        let vm = self.vm();
        let at = |port| SocketAddr::from((vm, port));
        Settings {
            vm: format!("entry-{}", self.next).into(),
            caller_listen_address: at(CALLERS),
            readiness_address: at(READINESS),
            peer_port: PEERS,
            seed_addresses: seeds
                .iter()
                .map(|it| it.settings.caller_listen_address)
                .collect(),
            log_address: self.log_address,
            target_wait_ms: Millis(1_900),
            retries: self.retries,
            ..Settings::example()
        }
    }

    /// Entries that know one another.
    pub async fn entries(&mut self, count: usize) -> Vec<Entry> {
        let mut entries: Vec<Entry> = Vec::new();
        for _ in 0..count {
            let seeds: Vec<&Entry> = entries.iter().take(3).collect();
            let settings = self.settings(&seeds);
            entries.push(Entry::start(settings));
        }
        for entry in &entries {
            entry.until_ready().await;
        }
        for entry in &entries {
            until("they have met", async || {
                entry.metric("peers").await == Some((count - 1) as f64)
            })
            .await;
        }
        entries
    }

    /// One more entry, ready.
    pub async fn entry(&mut self) -> Entry {
        let settings = self.settings(&[]);
        let entry = Entry::start(settings);
        entry.until_ready().await;
        entry
    }
}

impl Entry {
    /// Starts a process.
    pub fn start(settings: Settings) -> Entry {
        Entry::start_with(settings, Stdio::null())
    }

    /// Starts a process whose log goes somewhere.
    pub fn start_with(settings: Settings, output: Stdio) -> Entry {
        Entry::start_with_clock(settings, output, None)
    }

    /// Starts a process that may have so many files open.
    pub fn start_with_open_files(
        settings: Settings,
        output: Stdio,
        open_files: u64,
    ) -> Entry {
        let mut command = Command::new("sh");
        command.arg("-c").arg(format!("ulimit -n {open_files}; exec \"$0\""));
        command.arg(entry_program());
        Entry::start_command(command, settings, output, None)
    }

    /// Starts a process that can be suspended.
    pub fn start_suspendable(settings: Settings, output: Stdio) -> Entry {
        let clock = HeldClock::new();
        Entry::start_with_clock(settings, output, Some(clock))
    }

    fn start_with_clock(
        settings: Settings,
        output: Stdio,
        clock: Option<HeldClock>,
    ) -> Entry {
        let command = Command::new(entry_program());
        Entry::start_command(command, settings, output, clock)
    }

    fn start_command(
        command: Command,
        settings: Settings,
        output: Stdio,
        clock: Option<HeldClock>,
    ) -> Entry {
        let file = settings_file(&settings);
        write(&file, &settings);
        Entry::spawn(command, settings, file, output, clock)
    }

    /// Starts a process whose settings file the test makes.
    pub fn start_with_own_file(settings: Settings, output: Stdio) -> Entry {
        let command = Command::new(entry_program());
        let file = settings_file(&settings);
        Entry::spawn(command, settings, file, output, None)
    }

    fn spawn(
        mut command: Command,
        settings: Settings,
        file: PathBuf,
        output: Stdio,
        clock: Option<HeldClock>,
    ) -> Entry {
        command.env(SETTINGS_VARIABLE, &file).stdout(output);
        if let Some(clock) = &clock {
            clock.apply_to(&mut command);
        }
        let child = command.spawn().expect("the program starts");
        Entry { settings, file, child, clock }
    }

    /// Waits until the balancer would send callers.
    pub async fn until_ready(&self) {
        until("the entry is ready", async || self.is_ready().await).await;
    }

    /// What the balancer is told.
    pub async fn is_ready(&self) -> bool {
        let path = READINESS_PATH;
        let uri = format!("http://{}{path}", self.settings.readiness_address);
        let request = Request::get(uri).body(Full::default());
        let request = request.expect("a request");
        let answer = Client::new().call(request, 1_000, PATIENCE).await;
        answer.is_ok_and(|it| it.status() == StatusCode::OK)
    }

    /// A gauge or counter of the process.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let uri =
            format!("http://{}/metrics", self.settings.readiness_address);
        metric(&uri, name).await
    }

    /// The process's id.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Bytes that the process holds in memory.
    pub fn memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.process_id());
        let text = fs::read_to_string(path).expect("the process is there");
        let resident = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|it| it.split_whitespace().next());
        let kilobytes: Option<usize> = resident.and_then(|it| it.parse().ok());
        kilobytes.expect("a size") * 1_024
    }

    /// Processor time that the process has used.
    pub fn processor(&self) -> Duration {
        let path = format!("/proc/{}/stat", self.child.id());
        let text = fs::read_to_string(path).expect("the process is there");
        let fields = text.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        let ticks: u64 = ticks.filter_map(|it| it.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 10)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process is there");
    }

    /// Whether the process has a clock that can be held back.
    pub fn can_be_suspended(&self) -> bool {
        self.clock.is_some()
    }

    /// Suspends the VM of the process for a time: the process stands still, and
    /// its monotonic clock doesn't count that time.
    pub async fn suspend(&self, time: Duration) {
        self.signal(Signal::STOP);
        let begun = Instant::now();
        sleep(time).await;
        self.resume_after(begun.elapsed());
    }

    /// Resumes a stopped process whose VM was suspended for a time.
    pub fn resume_after(&self, suspended: Duration) {
        let clock = self.clock.as_ref().expect("a held clock");
        clock.hold_back(suspended);
        self.signal(Signal::CONT);
    }

    /// Waits for the process's own end.
    pub async fn ended(&mut self) -> ExitStatus {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(begun.elapsed() < PATIENCE, "the process does not end");
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    /// Sends a request on a new connection and reads the whole answer.
    pub async fn ask(&self, path: &str) -> Result<Response<Bytes>, Error> {
        self.ask_with(path, KEY, "body").await
    }

    /// The same with a key and a body.
    pub async fn ask_with(
        &self,
        path: &str,
        key: &str,
        body: &str,
    ) -> Result<Response<Bytes>, Error> {
        let request = self.request(path, key, body);
        Client::new().call(request, 1 << 20, PATIENCE).await
    }

    /// The status that a request without a body gets, if it gets an answer.
    pub async fn status(&self, path: &str, key: &str) -> Option<StatusCode> {
        let answer = self.ask_with(path, key, "").await;
        answer.ok().map(|it| it.status())
    }

    /// A request to this entry.
    pub fn request(
        &self,
        path: &str,
        key: &str,
        body: &str,
    ) -> Request<Full<Bytes>> {
        let number = REQUEST.fetch_add(1, Ordering::Relaxed);
        Request::post(format!(
            "http://{}{path}",
            self.settings.caller_listen_address
        ))
        .header(http::header::HOST, "host.example")
        .header(http::header::AUTHORIZATION, format!("Bearer {key}"))
        .header(header::REQUEST_ID, format!("q{number}"))
        .header(header::TIME_LEFT, "4000")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a request")
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

/// Where the settings of an entry stand.
pub fn settings_file(settings: &Settings) -> PathBuf {
    let address = settings.caller_listen_address.ip();
    std::env::temp_dir().join(format!("cowsliproad-{address}.json"))
}

/// A gauge or counter of a process whose metrics stand there.
pub async fn metric(uri: &str, name: &str) -> Option<f64> {
    let request = Request::get(uri).body(Full::default());
    let request = request.expect("a request");
    let answer = Client::new().call(request, 1 << 20, PATIENCE).await;
    let body = answer.ok()?.into_body();
    let text = String::from_utf8_lossy(&body).into_owned();
    let line = text.lines().find(|it| it.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// The program of the entries: this code's, or `ENTRY_PROGRAM`, by which a
/// siege plays an earlier landing.
pub fn entry_program() -> PathBuf {
    let other = std::env::var_os("ENTRY_PROGRAM");
    let own = env!("CARGO_BIN_EXE_cowsliproad-direct");
    other.map_or_else(|| own.into(), PathBuf::from)
}

/// Writes a settings file, without the fields that `OMITTED_SETTINGS` names: an
/// earlier landing refuses those that it doesn't know.
pub fn write(file: &PathBuf, settings: &Settings) {
    let mut fields = serde_json::to_value(settings).expect("it is JSON");
    let omitted = std::env::var("OMITTED_SETTINGS").unwrap_or_default();
    let fields = fields.as_object_mut().expect("settings are an object");
    fields.retain(|name, _| !omitted.split(',').any(|it| it == name));
    let text = cowsliproad_kernel::settings::to_json(fields);
    fs::write(file, text).expect("a settings file");
}

/// Tells an entry what an agent does: that its engine's process is gone.
pub async fn tell_lost(engine_address: SocketAddr, entry: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let lost = Datagram::EngineExit(EngineExit {
        engine_address,
        engine_start_unix_ms: 0,
    });
    let sent = socket.send_to(&gossip::encode(&lost), entry).await;
    sent.expect("it is sent");
}

/// Tells an entry what another one at `sender` does whose configuration is of
/// a version.
pub async fn tell_version(
    sender: SocketAddr,
    config_version: u64,
    entry: SocketAddr,
) {
    tell(digest(sender, config_version), entry).await;
}

/// Sends an entry a digest.
pub async fn tell(digest: GossipDigest, entry: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let digest = gossip::encode(&Datagram::Digest(Box::new(digest)));
    let sent = socket.send_to(&digest, entry).await;
    sent.expect("it is sent");
}

/// The digest of an entry at `sender` whose configuration is of a version.
pub fn digest(sender: SocketAddr, config_version: u64) -> GossipDigest {
    GossipDigest {
        sender_vm: format!("teller-{}", sender.ip()).into(),
        sender_address: sender,
        sent_at: None,
        config_version,
        log_era: LogEra::default(),
        targets_read_age_ms: 0,
        last_target_change_offset: 0,
        targets_read_position: LogPosition::default(),
        last_contradiction: None,
        config_confirmed_age_ms: None,
        departed_targets_with_start_unix_ms: Vec::new(),
        withdrawn_targets_with_start_and_sequence: Vec::new(),
        withdrawal_end_positions: Vec::new(),
        peers: Vec::new(),
        sender_zone: "a".into(),
        suspected_requests: CrashSuspectRequests::default(),
        retracted_crash_ids: Vec::new(),
        rate_limits: Vec::new(),
    }
}

/// What an idle engine's agent reports.
pub fn report(target: &Target) -> EngineLoad {
    EngineLoad {
        engine_address: target.listen_address().expect("it listens"),
        running_requests: 0,
        queued_requests: 0,
        service_time_percent_of_normal: 100,
        group_name: "g".into(),
        group_epoch: 1,
        last_forward_pass: 1,
        group_accepts_requests: true,
        target_list_id: 0,
        engine_start_unix_ms: 0,
        draining: false,
        expert_map_skew_percent: None,
    }
}

/// Waits until something holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let begun = Instant::now();
    while !holds().await {
        assert!(begun.elapsed() < PATIENCE, "never: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// The numbers of the events in a stream.
pub fn numbers(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let ids = text.lines().filter_map(|it| it.strip_prefix("id: "));
    ids.filter_map(|it| it.parse().ok()).collect()
}
