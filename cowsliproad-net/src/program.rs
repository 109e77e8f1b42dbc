//! Code that all long-running programs share: command line, threads, signals
//! and exit status.

use std::{
    io,
    path::{Path, PathBuf},
    process,
    time::SystemTime,
};

use clap::{Arg, ArgAction, Command, value_parser};
use cowsliproad_kernel::{
    clock::Millis,
    settings::{self, Validate},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    threads::{self, Runtimes},
    timer,
};

/// The exit status for invalid settings.
const EXIT_BAD_SETTINGS: i32 = 2;

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
    let matches = command_line(name, about).get_matches();
    if matches.get_flag("print-default") {
        println!("{}", settings::to_json(example));
        process::exit(0);
    }
    let path =
        matches.get_one::<PathBuf>("settings").cloned().or(fallback_path);
    let Some(path) = path else {
        eprintln!("{name}: the option --settings FILE is required");
        process::exit(EXIT_BAD_SETTINGS);
    };
    match settings::read(&path) {
        Ok(_) if matches.get_flag("check") => {
            println!("{}: valid", path.display());
            process::exit(0);
        }
        Ok(settings) => (path, settings),
        Err(error) => {
            eprintln!("{name}: {error}");
            process::exit(EXIT_BAD_SETTINGS);
        }
    }
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
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(timer::watch_suspensions());
    tasks.block_on(&runtime, main)
}

/// How often a settings file is checked for changes without a SIGHUP.
const CHANGE_CHECK_INTERVAL: Millis = Millis(5_000);

/// Reads the settings again on SIGHUP or when the file changes, and passes the
/// result to `on_read`. Never returns. SIGHUP doesn't stop the process.
pub async fn watch_settings<T: Validate + DeserializeOwned>(
    path: PathBuf,
    mut on_read: impl FnMut(Result<T, settings::Error>),
) {
    let mut last_modified = file_modified_at(&path);
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return std::future::pending().await;
    };
    loop {
        let signalled = tokio::select! {
            signalled = hangup.recv() => signalled.is_some(),
            () = timer::sleep(CHANGE_CHECK_INTERVAL.duration()) => false,
        };
        let modified = file_modified_at(&path);
        if signalled || modified != last_modified {
            last_modified = modified;
            on_read(settings::read(&path));
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
