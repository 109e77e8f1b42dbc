//! Starts and ends of processes: what may go wrong for a moment ends none, and
//! each end leaves its reason in the log.

use std::{
    fs::{self, File},
    io::Write,
    path::{Path, PathBuf},
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use cowsliproad_direct::settings::Settings;
use cowsliproad_kernel::clock::Millis;
use rustix::process::Signal;
use tokio::{
    net::{TcpListener, UdpSocket},
    time::sleep,
};

use crate::harness::{Entry, Plant, settings_file, until, write};

/// Long enough for a process to end by itself.
const MOMENT: Duration = Duration::from_millis(300);

/// A file for the log of a process.
struct LogFile(PathBuf);

impl LogFile {
    fn new(settings: &Settings) -> LogFile {
        LogFile(settings_file(settings).with_extension("log"))
    }

    fn output(&self) -> Stdio {
        File::create(&self.0).expect("a file").into()
    }

    fn text(&self) -> String {
        fs::read_to_string(&self.0).unwrap_or_default()
    }

    /// The last line that has all these parts.
    fn line_with(&self, parts: &[&str]) -> Option<String> {
        let text = self.text();
        let mut lines = text.lines().rev();
        let line = lines.find(|line| parts.iter().all(|it| line.contains(it)));
        line.map(str::to_string)
    }
}

impl Drop for LogFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Makes a pipe of the file system, and opens it for writing once the process
/// reads it.
async fn open_pipe(path: &Path) -> File {
    let path = path.to_path_buf();
    let open = move || File::options().write(true).open(path);
    let opened = tokio::task::spawn_blocking(open).await;
    opened.expect("no panic").expect("a pipe")
}

fn make_pipe(path: &Path) {
    let _ = fs::remove_file(path);
    let made = Command::new("mkfifo").arg(path).status();
    assert!(made.expect("the program runs").success());
}

/// Guards against a process that a signal to read its settings again ends
/// while it starts.
#[tokio::test(flavor = "multi_thread")]
async fn a_hangup_during_the_start_ends_no_entry() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let settings = plant.settings(&[]);
    let path = settings_file(&settings);
    make_pipe(&path);
    let mut entry = Entry::start_with_own_file(settings, Stdio::null());
    // The process has begun to read its settings and waits for them.
    let mut pipe = open_pipe(&path).await;
    entry.signal(Signal::HUP);
    sleep(MOMENT).await;
    assert!(entry.is_running());
    let text = cowsliproad_kernel::settings::to_json(&entry.settings);
    fs::remove_file(&path).expect("the pipe is there");
    write(&path, &entry.settings);
    pipe.write_all(text.as_bytes()).expect("the process reads");
    drop(pipe);
    entry.until_ready().await;
}

/// Guards against settings that change while the process starts, and are not
/// read until they change again.
#[tokio::test(flavor = "multi_thread")]
async fn settings_that_change_during_the_start_are_read() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let settings = plant.settings(&[]);
    let path = settings_file(&settings);
    let log = LogFile::new(&settings);
    make_pipe(&path);
    let entry = Entry::start_with_own_file(settings, log.output());
    let mut pipe = open_pipe(&path).await;
    entry.signal(Signal::HUP);
    let changed =
        Settings { target_wait_ms: Millis(1_500), ..entry.settings.clone() };
    fs::remove_file(&path).expect("the pipe is there");
    write(&path, &changed);
    let text = cowsliproad_kernel::settings::to_json(&entry.settings);
    pipe.write_all(text.as_bytes()).expect("the process reads");
    drop(pipe);
    until("the change is read", async || {
        log.line_with(&["event=settings_read", "changed=true"]).is_some()
    })
    .await;
}

/// Guards against a process that ends at once since its settings file is just
/// being written.
#[tokio::test(flavor = "multi_thread")]
async fn a_settings_file_that_is_being_written_is_waited_for() {
    for begun in [None, Some(""), Some("{\"vm\": \"entry")] {
        let mut plant = Plant::start().await;
        plant.target("i-1", "plain").await;
        let settings = plant.settings(&[]);
        let path = settings_file(&settings);
        if let Some(text) = begun {
            fs::write(&path, text).expect("a file");
        }
        let mut entry = Entry::start_with_own_file(settings, Stdio::null());
        sleep(MOMENT).await;
        assert!(entry.is_running(), "{begun:?}");
        write(&path, &entry.settings);
        entry.until_ready().await;
    }
}

/// Guards against a process that ends without a reason in its log, and against
/// one that waits for a file that is whole and wrong.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_settings_end_the_process_with_a_reason_in_its_log() {
    let mut plant = Plant::start().await;
    let settings = plant.settings(&[]);
    let log = LogFile::new(&settings);
    let wrong = Settings { shutdown_grace_ms: Millis(1), ..settings };
    let begun = Instant::now();
    let mut entry = Entry::start_with(wrong, log.output());
    assert_eq!(entry.ended().await.code(), Some(2));
    assert!(begun.elapsed() < Duration::from_secs(3));
    let line = log.line_with(&["event=ended", "grace_ms", "status=2"]);
    assert!(line.is_some(), "{}", log.text());
}

/// Guards against a process that ends at once since a port of its own is still
/// in use, as just after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_port_in_use_is_waited_for() {
    for number in 0..4 {
        let mut plant = Plant::start().await;
        plant.target("i-1", "plain").await;
        let settings = plant.settings(&[]);
        let log = LogFile::new(&settings);
        let (callers, readiness, peers) = (
            settings.caller_listen_address,
            settings.readiness_address,
            settings.own_peer_address(),
        );
        let listener = match number {
            0 => Some(TcpListener::bind(callers).await.expect("free")),
            1 => Some(TcpListener::bind(readiness).await.expect("free")),
            2 => Some(TcpListener::bind(peers).await.expect("free")),
            _ => None,
        };
        let socket = match number {
            3 => Some(UdpSocket::bind(peers).await.expect("free")),
            _ => None,
        };
        let mut entry = Entry::start_with(settings, log.output());
        sleep(MOMENT).await;
        assert!(entry.is_running(), "{number}");
        let line = log.line_with(&["event=address_unavailable"]);
        assert!(line.is_some(), "{}", log.text());
        drop((listener, socket));
        entry.until_ready().await;
    }
}

/// Guards against a process that a stop signal can't end while it waits for
/// its port, or that doesn't log which signal ended it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_signal_ends_a_process_that_waits_for_its_port() {
    let mut plant = Plant::start().await;
    let settings = plant.settings(&[]);
    let log = LogFile::new(&settings);
    let taken = TcpListener::bind(settings.caller_listen_address).await;
    let mut entry = Entry::start_with(settings, log.output());
    until("it waits", async || {
        log.line_with(&["event=address_unavailable"]).is_some()
    })
    .await;
    entry.signal(Signal::TERM);
    assert!(entry.ended().await.success());
    let line = log.line_with(&["event=stopped", "signal=SIGTERM"]);
    assert!(line.is_some(), "{}", log.text());
    drop(taken);
}

/// Guards against a process that a stop signal can't end while it waits for
/// its settings, or that doesn't log which signal ended it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_signal_ends_a_process_that_waits_for_its_settings() {
    let mut plant = Plant::start().await;
    let settings = plant.settings(&[]);
    let log = LogFile::new(&settings);
    let mut entry = Entry::start_with_own_file(settings, log.output());
    sleep(MOMENT).await;
    entry.signal(Signal::TERM);
    assert!(entry.ended().await.success());
    let line = log.line_with(&["event=stopped", "signal=SIGTERM"]);
    assert!(line.is_some(), "{}", log.text());
}

/// Guards against a process that doesn't log which signal ended it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_leaves_its_signal_in_the_log() {
    for (signal, name) in [(Signal::TERM, "SIGTERM"), (Signal::INT, "SIGINT")]
    {
        let mut plant = Plant::start().await;
        plant.target("i-1", "plain").await;
        let settings = plant.settings(&[]);
        let log = LogFile::new(&settings);
        let mut entry = Entry::start_with(settings, log.output());
        entry.until_ready().await;
        entry.signal(signal);
        assert!(entry.ended().await.success());
        let signal = format!("signal={name}");
        assert!(log.line_with(&["event=stopping", &signal]).is_some());
        assert!(log.line_with(&["event=stopped"]).is_some());
    }
}

/// Guards against a process that can't end since nobody reads its log.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_nobody_reads_keeps_no_process_from_its_end() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let settings = plant.settings(&[]);
    let grace = settings.shutdown_grace_ms.duration();
    let mut entry = Entry::start_with(settings, Stdio::piped());
    entry.until_ready().await;
    // A pipe holds 64 KiB; the lines of these requests are over 200 KiB.
    for _ in 0..600 {
        entry.ask("/many/a").await.expect("an answer");
    }
    let told = Instant::now();
    entry.signal(Signal::TERM);
    assert!(entry.ended().await.success());
    assert!(told.elapsed() < grace, "{:?}", told.elapsed());
}
