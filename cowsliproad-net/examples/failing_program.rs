//! A program that fails in the way that its settings say, for tests.

use std::{process::ExitCode, time::Duration};

use cowsliproad_kernel::{
    log::{self, Level},
    settings::Validate,
};
use cowsliproad_net::program::{self, Program, Startup};
use serde::{Deserialize, Serialize};

const LOG_NAME: &str = "failing";

/// How the program fails.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
enum Failure {
    /// The main task returns an error.
    Error,
    /// The main task panics.
    Panic,
    /// A supervised task panics each time it starts.
    Task,
}

#[derive(Debug, Deserialize, Serialize)]
struct Settings {
    failure: Failure,
}

impl Validate for Settings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        Ok(())
    }
}

async fn run(startup: Startup<Settings>) -> std::io::Result<()> {
    match startup.settings.failure {
        Failure::Error => Err(std::io::Error::other("nothing works")),
        Failure::Panic => panic!("the main task is wrong"),
        Failure::Task => {
            let log = log::logger(LOG_NAME, "vm-1", Level::Info);
            let start = || async { panic!("the task is wrong") };
            let restarting = program::supervise(&log, "task", start, || {});
            tokio::select! {
                () = restarting => {}
                () = tokio::time::sleep(Duration::from_millis(1_200)) => {}
            }
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let program = Program {
        name: "failing_program",
        log_name: LOG_NAME,
        about: "Fails",
        example: Settings { failure: Failure::Error },
        path_variable: "FAILING_SETTINGS",
        vm_name: |_| "vm-1",
    };
    program.run(run)
}
