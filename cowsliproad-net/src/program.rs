//! Code that all long-running programs share: command line, threads, signals
//! and exit status.

use std::{
    any::Any,
    io,
    panic::{self, AssertUnwindSafe},
    path::{Path, PathBuf},
    process::{self, ExitCode},
    sync::mpsc,
    thread,
    time::SystemTime,
};

use clap::{Arg, ArgAction, Command, value_parser};
use cowsliproad_kernel::{
    clock::Millis,
    log::{self, Level},
    settings::{self, Validate},
};
use serde::{Serialize, de::DeserializeOwned};
use slog::{Logger, error, info};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    task::LocalSet,
};

use crate::{
    signals::{Signals, StopSignals},
    threads::{self, Runtimes},
    timer,
};

/// The exit status for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// The exit status of a program that fails.
const EXIT_FAILURE: u8 = 1;

/// How long a settings file that ends early or is missing at the start may
/// take to be written.
const UNFINISHED_SETTINGS_TIMEOUT: Millis = Millis(5_000);

/// How often such a file is read again.
const UNFINISHED_SETTINGS_RETRY_INTERVAL: Millis = Millis(50);

/// The pause before a task that panicked starts again.
const TASK_RESTART_DELAY: Millis = Millis(500);

/// How long the last log lines may take to be written. A reader of the log
/// that has stopped must not keep the process.
const EXIT_FLUSH_TIMEOUT: Millis = Millis(250);

/// A program that runs on one thread until it is stopped. This suits a VM with
/// a fraction of one core; tasks share their state without locks.
#[derive(Clone, Debug)]
pub struct Program<T> {
    /// The name of the executable.
    pub name: &'static str,
    /// The name of the program in its log lines.
    pub log_name: &'static str,
    /// What the program does, for the help text.
    pub about: &'static str,
    /// Example settings for the help text.
    pub example: T,
    /// The environment variable with the path of the settings file, if the
    /// command line has no path.
    pub path_variable: &'static str,
    /// The name of the VM in the settings, for log lines.
    pub vm_name: fn(&T) -> &str,
}

/// What a program gets when it starts.
#[derive(Debug)]
pub struct Startup<T> {
    /// The settings that the file had.
    pub settings: T,
    /// Changes of the settings file since then.
    pub settings_watch: SettingsWatch,
    /// The signals to stop, caught since the start of the process.
    pub stop_signals: StopSignals,
}

impl<T> Startup<T> {
    /// Starts with settings that come from no file. Needs a runtime.
    pub fn new(settings: T) -> io::Result<Startup<T>> {
        let Signals { stop, hangup } = Signals::new()?;
        let settings_watch =
            SettingsWatch { path: PathBuf::new(), hangup, modified_at: None };
        Ok(Startup { settings, settings_watch, stop_signals: stop })
    }
}

/// Watches a settings file from before it was first read.
#[derive(Debug)]
pub struct SettingsWatch {
    path: PathBuf,
    hangup: Signal,
    modified_at: Option<SystemTime>,
}

/// Why a process ends.
enum End {
    /// The program was stopped, which it has logged.
    Stopped,
    /// A signal stopped the process before its program began.
    StoppedAtStart(&'static str),
    BadSettings(String),
    Failed(String),
}

impl<T: Validate + DeserializeOwned + Serialize> Program<T> {
    /// Runs the program, from its command line to its exit status. However the
    /// process ends by itself, the reason is its last log line.
    pub fn run<F>(self, main: impl FnOnce(Startup<T>) -> F) -> ExitCode
    where
        F: Future<Output = io::Result<()>>,
    {
        let mut vm = String::from("-");
        let end = self.run_until_end(main, &mut vm);
        let (status, reason) = match end {
            End::Stopped => return ExitCode::SUCCESS,
            End::StoppedAtStart(signal) => {
                exit_later(0);
                let log = log::logger(self.log_name, &vm, Level::Info);
                info!(log, "stopped"; "signal" => signal);
                return ExitCode::SUCCESS;
            }
            End::BadSettings(reason) => (EXIT_BAD_SETTINGS, reason),
            End::Failed(reason) => (EXIT_FAILURE, reason),
        };
        eprintln!("{}: {reason}", self.name);
        exit_later(status);
        let log = log::logger(self.log_name, &vm, Level::Error);
        error!(log, "ended"; "why" => reason, "status" => status);
        ExitCode::from(status)
    }

    fn run_until_end<F>(
        &self,
        main: impl FnOnce(Startup<T>) -> F,
        vm: &mut String,
    ) -> End
    where
        F: Future<Output = io::Result<()>>,
    {
        let failed = |error: io::Error| End::Failed(error.to_string());
        let runtime = match new_single_threaded_runtime() {
            Ok(runtime) => runtime,
            Err(error) => return failed(error),
        };
        let signals = {
            let _entered = runtime.enter();
            Signals::new()
        };
        let mut signals = match signals {
            Ok(signals) => signals,
            Err(error) => return failed(error),
        };
        let path = std::env::var_os(self.path_variable).map(PathBuf::from);
        let path = settings_path(self.name, self.about, &self.example, path);
        let modified_at = file_modified_at(&path);
        let reading = read_unfinished_settings::<T>(&path);
        let settings = runtime.block_on(async {
            tokio::select! {
                read = reading => Ok(read),
                signal = signals.stop.recv() => Err(signal),
            }
        });
        let settings = match settings {
            Ok(Ok(settings)) => settings,
            Ok(Err(error)) => return End::BadSettings(error.to_string()),
            Err(signal) => return End::StoppedAtStart(signal),
        };
        *vm = (self.vm_name)(&settings).to_string();
        log_panics(self.log_name, vm.clone());
        let Signals { stop, hangup } = signals;
        let settings_watch = SettingsWatch { path, hangup, modified_at };
        let startup = Startup { settings, settings_watch, stop_signals: stop };
        let running = AssertUnwindSafe(|| {
            let tasks = LocalSet::new();
            tasks.spawn_local(timer::watch_suspensions());
            // Dropped before the tasks, whose loggers then write their last
            // lines.
            let mut end = BoundedEnd { status: EXIT_FAILURE };
            let outcome = tasks.block_on(&runtime, main(startup));
            if outcome.is_ok() {
                end.status = 0;
            }
            outcome
        });
        match panic::catch_unwind(running) {
            Ok(Ok(())) => End::Stopped,
            Ok(Err(error)) => failed(error),
            Err(panic) => End::Failed(format!(
                "its main task panicked: {}",
                panic_text(&*panic)
            )),
        }
    }
}

/// Reads the settings file. While the file is missing or ends early, it may
/// still be being written, and is read again.
async fn read_unfinished_settings<T: Validate + DeserializeOwned>(
    path: &Path,
) -> Result<T, settings::Error> {
    let give_up_at = Millis::now() + UNFINISHED_SETTINGS_TIMEOUT;
    loop {
        match settings::read(path) {
            Err(error)
                if error.may_be_unfinished() && Millis::now() < give_up_at =>
            {
                let pause = UNFINISHED_SETTINGS_RETRY_INTERVAL;
                timer::sleep(pause.duration()).await;
            }
            read => return read,
        }
    }
}

/// Logs every panic. A task that panics ends alone: the process lives on and
/// does less.
fn log_panics(log_name: &'static str, vm: String) {
    let default = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        let vm = vm.clone();
        let at = panic.location().map(ToString::to_string);
        let why = panic_text(panic.payload()).to_string();
        let (written, line) = mpsc::channel();
        thread::spawn(move || {
            let log = log::logger(log_name, &vm, Level::Error);
            error!(log, "panicked"; "why" => why, "at" => at);
            drop(log);
            // The panic may wait no longer.
            let _ = written.send(());
        });
        // A line that nobody reads is written later, or never.
        let _ = line.recv_timeout(EXIT_FLUSH_TIMEOUT.duration());
        default(panic);
    }));
}

/// Runs a task for as long as the process. If the task panics, it starts again
/// after a pause.
pub async fn supervise<F>(
    log: &Logger,
    task_name: &'static str,
    start: impl Fn() -> F,
    on_restart: impl Fn(),
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        let ended = tokio::task::spawn_local(start()).await;
        on_restart();
        error!(log, "task_ended"; "task" => task_name,
            "panicked" => ended.is_err(),
            "restarts_in" => TASK_RESTART_DELAY.0);
        timer::sleep(TASK_RESTART_DELAY.duration()).await;
    }
}

fn panic_text(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    let text =
        text.or_else(|| payload.downcast_ref::<String>().map(|it| &**it));
    text.unwrap_or("unknown")
}

/// Bounds the time that the process takes to end, from when this is dropped.
struct BoundedEnd {
    status: u8,
}

impl Drop for BoundedEnd {
    fn drop(&mut self) {
        exit_later(self.status);
    }
}

/// Ends the process with `status` if it has not ended by itself after the
/// flush timeout.
fn exit_later(status: u8) {
    thread::spawn(move || {
        thread::sleep(EXIT_FLUSH_TIMEOUT.duration());
        process::exit(status.into());
    });
}

/// Reads the settings file named on the command line. Exits the process after
/// `--check` and `--print-default`, and if the settings are invalid.
pub fn load_settings<T>(
    name: &'static str,
    about: &'static str,
    example: &T,
) -> T
where
    T: Validate + DeserializeOwned + Serialize,
{
    read_settings(name, about, example, None).1
}

/// Like [`load_settings`], but also returns the path of the file, and takes the
/// path from an environment variable if the command line has no path.
pub fn load_settings_or_env<T>(
    name: &'static str,
    about: &'static str,
    example: &T,
    path_variable: &str,
) -> (PathBuf, T)
where
    T: Validate + DeserializeOwned + Serialize,
{
    let path = std::env::var_os(path_variable).map(PathBuf::from);
    read_settings(name, about, example, path)
}

fn read_settings<T>(
    name: &'static str,
    about: &'static str,
    example: &T,
    fallback_path: Option<PathBuf>,
) -> (PathBuf, T)
where
    T: Validate + DeserializeOwned + Serialize,
{
    let path = settings_path(name, about, example, fallback_path);
    match settings::read(&path) {
        Ok(settings) => (path, settings),
        Err(error) => exit_with_bad_settings(name, &error.to_string()),
    }
}

/// The path of the settings file. Exits the process after `--check` and
/// `--print-default`, and if there is no path.
fn settings_path<T>(
    name: &'static str,
    about: &'static str,
    example: &T,
    fallback_path: Option<PathBuf>,
) -> PathBuf
where
    T: Validate + DeserializeOwned + Serialize,
{
    let matches = command_line(name, about).get_matches();
    if matches.get_flag("print-default") {
        println!("{}", settings::to_json(example));
        process::exit(0);
    }
    let path =
        matches.get_one::<PathBuf>("settings").cloned().or(fallback_path);
    let Some(path) = path else {
        exit_with_bad_settings(name, "the option --settings FILE is required");
    };
    if !matches.get_flag("check") {
        return path;
    }
    match settings::read::<T>(&path) {
        Ok(_) => {
            println!("{}: valid", path.display());
            process::exit(0);
        }
        Err(error) => exit_with_bad_settings(name, &error.to_string()),
    }
}

fn exit_with_bad_settings(name: &str, why: &str) -> ! {
    eprintln!("{name}: {why}");
    process::exit(EXIT_BAD_SETTINGS.into());
}

/// Runs a program's main task on a multi-threaded runtime, and exits the
/// process if the task fails.
pub fn run(
    traffic_threads: usize,
    main: impl AsyncFnOnce(Runtimes) -> io::Result<()>,
) {
    let outcome =
        threads::run_on_runtimes(traffic_threads, async |runtimes| {
            tokio::spawn(timer::watch_suspensions());
            main(runtimes).await
        });
    if let Err(error) = outcome.and_then(|outcome| outcome) {
        eprintln!("program failed: {error}");
        process::exit(1);
    }
}

/// Runs a program's main task on the current thread only. This suits a VM with
/// a fraction of one core; tasks share their state without locks.
pub fn run_single_threaded(
    main: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    let runtime = new_single_threaded_runtime()?;
    let tasks = LocalSet::new();
    tasks.spawn_local(timer::watch_suspensions());
    tasks.block_on(&runtime, main)
}

fn new_single_threaded_runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

/// How often a settings file is checked for changes without a SIGHUP.
const CHANGE_CHECK_INTERVAL: Millis = Millis(5_000);

impl SettingsWatch {
    /// Reads the settings again on SIGHUP or when the file changes, and passes
    /// the result to `on_read`. Never returns.
    pub async fn watch<T: Validate + DeserializeOwned>(
        mut self,
        mut on_read: impl FnMut(Result<T, settings::Error>),
    ) {
        loop {
            let signalled = tokio::select! {
                signalled = self.hangup.recv() => signalled.is_some(),
                () = timer::sleep(CHANGE_CHECK_INTERVAL.duration()) => false,
            };
            let modified_at = file_modified_at(&self.path);
            if signalled || modified_at != self.modified_at {
                self.modified_at = modified_at;
                on_read(read_unfinished_settings(&self.path).await);
            }
        }
    }
}

fn file_modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_stop_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn command_line(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Path of the settings file (JSON)"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Validate the settings file and exit"),
        )
        .arg(
            Arg::new("print-default")
                .long("print-default")
                .action(ArgAction::SetTrue)
                .help("Print an example settings file and exit"),
        )
}
