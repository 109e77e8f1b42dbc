//! The VM of an entry process, and the platform around it.

use std::{net::SocketAddr, process::Stdio, sync::Arc, time::Duration};

use cowsliproad_direct::settings::Settings;
use cowsliproad_net::client::Client;
use cowsliproad_platform_standin::{
    catalog::RouteKind,
    target::{Target, TargetConfig},
};
use http::{Request, StatusCode};
use http_body_util::Full;
use rustix::process::Signal;
use tokio::{
    sync::{Mutex, MutexGuard},
    time::sleep,
};

use crate::{
    callers::Crowd,
    harness::{Entry, KEY, PATIENCE, Plant},
    usage::Usage,
};

/// The pause after a wave.
const WAVE_INTERVAL: Duration = Duration::from_millis(50);

/// Callers in a wave.
const WAVE: usize = 20;

/// How often a large request that is refused comes back.
const LARGE_TRIES: usize = 10;

/// One crowd at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

/// What an entry process may use, and the largest body that it accepts.
#[derive(Clone, Copy, Debug)]
pub struct Vm {
    pub memory_mb: usize,
    pub open_files: usize,
    pub max_body_bytes: usize,
}

impl Vm {
    /// The VM of the tests: small, so that a small crowd is too much for it.
    /// `CROWD_VM=MEMORY_MB,FILES,BODY_BYTES` replaces it.
    pub fn new() -> Vm {
        let small =
            Vm { memory_mb: 64, open_files: 400, max_body_bytes: 1 << 20 };
        let Ok(text) = std::env::var("CROWD_VM") else { return small };
        let mut numbers = text.split(',').map(|it| it.parse().ok());
        let mut next = || numbers.next().flatten().expect("three numbers");
        Vm { memory_mb: next(), open_files: next(), max_body_bytes: next() }
    }

    /// Callers whose largest bodies together are more than the memory.
    pub fn callers_beyond_memory(&self) -> usize {
        self.memory_mb * (1 << 20) * 8 / 5 / self.max_body_bytes
    }

    /// More connections than the process may have open.
    pub fn callers_beyond_files(&self) -> usize {
        self.open_files * 3 / 4
    }
}

/// An entry process on its VM, before a platform with targets.
pub struct Scene {
    pub vm: Vm,
    pub plant: Plant,
    pub targets: Vec<Arc<Target>>,
    /// Gone only while the process is replaced.
    entry: Option<Entry>,
    usage: Usage,
    _alone: MutexGuard<'static, ()>,
}

impl Scene {
    /// Starts an entry process that is ready, before targets that answer at
    /// once (`/many/`) or slowly (`/slow/`).
    pub async fn start() -> Scene {
        let alone = ALONE.lock().await;
        let vm = Vm::new();
        let mut plant = Plant::start().await;
        plant.catalog = plant
            .catalog
            .clone()
            .with_max_body_bytes(vm.max_body_bytes)
            .with_service("slow")
            .with_route("/slow/", RouteKind::Once, "slow", 600_000)
            .with_route("/long/", RouteKind::Idempotent, "plain", 600_000);
        plant.catalog.publish(&plant.log);
        let mut targets = Vec::new();
        for number in 0..4 {
            let id = format!("plain-{number}");
            targets.push(plant.target(&id, "plain").await);
            let slow =
                TargetConfig::new(&format!("slow-{number}"), "slow", "a")
                    .with_response_delay(Duration::from_secs(2));
            targets.push(plant.target_with(slow).await);
        }
        let settings = plant.settings(&[]);
        let entry = start_entry(vm, settings);
        entry.until_ready().await;
        let usage = Usage::watch(entry.process_id());
        let entry = Some(entry);
        Scene { vm, plant, targets, entry, usage, _alone: alone }
    }

    /// Ends the process by a signal and starts another one in its place.
    pub async fn restart(&mut self, signal: Signal) {
        let mut gone = self.entry.take().expect("an entry process");
        gone.signal(signal);
        let status = gone.ended().await;
        assert!(signal == Signal::KILL || status.success(), "{status}");
        let settings = gone.settings.clone();
        // The settings file goes with the process.
        drop(gone);
        let entry = start_entry(self.vm, settings);
        self.usage = Usage::watch(entry.process_id());
        entry.until_ready().await;
        self.entry = Some(entry);
    }

    /// The entry process.
    pub fn entry(&self) -> &Entry {
        self.entry.as_ref().expect("an entry process")
    }

    /// The same, to wait for its end.
    pub fn entry_mut(&mut self) -> &mut Entry {
        self.entry.as_mut().expect("an entry process")
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.entry().settings.caller_listen_address
    }

    /// Waits until a crowd is at rest.
    pub async fn until_at_rest(&self, crowd: &Crowd) {
        self.usage.until_at_rest(crowd).await;
    }

    /// Has a crowd send the same in waves, each of which the process reads
    /// before the next one comes.
    pub async fn send_in_waves(
        &self,
        caller_count: usize,
        writes: &[Arc<[u8]>],
    ) -> Crowd {
        let address = self.address();
        let mut crowd = Crowd::send(address, Vec::new()).await;
        for _ in 0..caller_count.div_ceil(WAVE) {
            let wave = vec![writes.to_vec(); WAVE];
            crowd.join(Crowd::send(address, wave).await);
            sleep(WAVE_INTERVAL).await;
        }
        crowd
    }

    /// Checks that the process lived within its VM so far.
    pub fn check_process(&mut self, crowd: &str) {
        assert!(self.entry_mut().is_running(), "{crowd}: the process ended");
        let (memory, files) = self.usage.peak();
        let megabytes = |bytes| bytes as f64 / f64::from(1 << 20);
        eprintln!(
            "{crowd}: peak {:.1} MB, now {:.1} MB, {files} files",
            megabytes(memory),
            megabytes(self.usage.resident()),
        );
        let (max, most) = (self.vm.memory_mb << 20, self.vm.open_files);
        assert!(memory <= max, "{crowd}: {memory} bytes, of {max}");
        assert!(files <= most, "{crowd}: {files} files, of {most}");
    }

    /// Checks the same, and that callers who behave are answered: an ordinary
    /// one, and one with the largest body that is allowed.
    pub async fn check(&mut self, crowd: &str) {
        let answer = self.entry().ask("/many/a").await;
        let status = answer.map(|it| it.status());
        assert_eq!(status.ok(), Some(StatusCode::OK), "{crowd}: ordinary");
        let status = self.send_large().await;
        assert_eq!(status, Some(StatusCode::OK), "{crowd}: large");
        self.check_process(crowd);
    }

    /// Sends the largest body that is allowed, and comes back when a refusal
    /// says so.
    async fn send_large(&self) -> Option<StatusCode> {
        let mut status = None;
        for _ in 0..LARGE_TRIES {
            let body = "x".repeat(self.vm.max_body_bytes);
            let request: Request<Full<_>> =
                self.entry().request("/many/large", KEY, &body);
            let answer = Client::new().call(request, 1 << 20, PATIENCE).await;
            let answer = answer.ok()?;
            status = Some(answer.status());
            if status != Some(StatusCode::SERVICE_UNAVAILABLE) {
                break;
            }
            let after = answer.headers().get(http::header::RETRY_AFTER)?;
            let seconds: f64 = after.to_str().ok()?.parse().ok()?;
            sleep(Duration::from_secs_f64(seconds)).await;
        }
        status
    }
}

/// Starts an entry process that is told what its VM has.
pub fn start_entry(vm: Vm, settings: Settings) -> Entry {
    let settings = Settings {
        max_open_files: Some(vm.open_files as u64),
        memory_mb: vm.memory_mb as u64,
        ..settings
    };
    Entry::start_with_open_files(settings, Stdio::null(), vm.open_files as u64)
}
