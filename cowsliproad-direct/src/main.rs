//! The executable of an entry process that forwards requests directly to
//! targets.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use cowsliproad_direct::settings::Settings;
use cowsliproad_net::program;
use cowsliproad_platform::SETTINGS_VARIABLE;

fn main() -> ExitCode {
    let about = "Forwards callers' requests directly to targets";
    let example = Settings::example();
    let name = "cowsliproad-direct";
    let (path, settings) = program::load_settings_or_env(
        name,
        about,
        &example,
        SETTINGS_VARIABLE,
    );
    match program::run_single_threaded(cowsliproad_direct::run(path, settings))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("can't run: {error}");
            ExitCode::FAILURE
        }
    }
}
