//! What the long-running programs have in common: their command line, their
//! threads, their signals and their exit status.

use std::{
    io,
    path::{Path, PathBuf},
    process,
    time::SystemTime,
};

use clap::{Arg, ArgAction, Command, value_parser};
use cowsliproad_kernel::{
    clock::Millis,
    settings::{self, Check},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::signal::unix::{SignalKind, signal};

use crate::threads::{self, Threads};

/// The exit status when the settings are refused.
const BAD_SETTINGS: i32 = 2;

/// Reads a program's settings as its command line says. Ends the process
/// after `--check` and `--print-default`, and when the settings are bad.
pub fn settings<T>(name: &'static str, about: &'static str, example: &T) -> T
where
    T: Check + DeserializeOwned + Serialize,
{
    read(name, about, example, None).1
}

/// The same, with the file's path; without an argument that stands in an
/// environment variable.
pub fn settings_or<T>(
    name: &'static str,
    about: &'static str,
    example: &T,
    variable: &str,
) -> (PathBuf, T)
where
    T: Check + DeserializeOwned + Serialize,
{
    let path = std::env::var_os(variable).map(PathBuf::from);
    read(name, about, example, path)
}

fn read<T>(
    name: &'static str,
    about: &'static str,
    example: &T,
    fallback: Option<PathBuf>,
) -> (PathBuf, T)
where
    T: Check + DeserializeOwned + Serialize,
{
    let matches = command(name, about).get_matches();
    if matches.get_flag("print-default") {
        println!("{}", settings::print(example));
        process::exit(0);
    }
    let path = matches.get_one::<PathBuf>("settings").cloned().or(fallback);
    let Some(path) = path else {
        eprintln!("{name}: --settings FILE is needed");
        process::exit(BAD_SETTINGS);
    };
    match settings::read(&path) {
        Ok(_) if matches.get_flag("check") => {
            println!("{}: good", path.display());
            process::exit(0);
        }
        Ok(settings) => (path, settings),
        Err(error) => {
            eprintln!("{name}: {error}");
            process::exit(BAD_SETTINGS);
        }
    }
}

/// Runs a program's main task and ends the process if it fails.
pub fn run(workers: usize, main: impl AsyncFnOnce(Threads) -> io::Result<()>) {
    let outcome = threads::run(workers, main);
    if let Err(error) = outcome.and_then(|outcome| outcome) {
        eprintln!("can't run: {error}");
        process::exit(1);
    }
}

/// Runs a program's main task on this thread alone, which suits a VM with a
/// part of one core: tasks share their state without locks.
pub fn run_local(
    main: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, main)
}

/// How often a settings file is looked at that may change without a signal.
const LOOK_TIME: Millis = Millis(5_000);

/// Reads the settings again whenever SIGHUP comes or the file changes, and
/// hands over what was read, for ever. SIGHUP never ends the process.
pub async fn reload<T: Check + DeserializeOwned>(
    path: PathBuf,
    mut take: impl FnMut(Result<T, settings::Error>),
) {
    let mut seen = written(&path);
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return std::future::pending().await;
    };
    loop {
        let told = tokio::select! {
            told = hangup.recv() => told.is_some(),
            () = tokio::time::sleep(LOOK_TIME.duration()) => false,
        };
        let now = written(&path);
        if told || now != seen {
            seen = now;
            take(settings::read(&path));
        }
    }
}

fn written(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}

/// Waits for SIGTERM or SIGINT.
pub async fn stopped() {
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

fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The settings file, in JSON"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only check the settings file"),
        )
        .arg(
            Arg::new("print-default")
                .long("print-default")
                .action(ArgAction::SetTrue)
                .help("Print a settings file to start from"),
        )
}
