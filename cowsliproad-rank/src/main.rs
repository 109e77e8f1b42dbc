//! The program of an agent beside a model engine.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use cowsliproad_net::program;
use cowsliproad_platform::SETTINGS_VARIABLE;
use cowsliproad_rank::settings::Settings;

fn main() -> ExitCode {
    let about = "Reports an engine's load and leads its group's expert map";
    let example = Settings::example();
    let name = "cowsliproad-rank";
    let (path, settings) = program::load_settings_or_env(
        name,
        about,
        &example,
        SETTINGS_VARIABLE,
    );
    match program::run_single_threaded(cowsliproad_rank::run(path, settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("can't run: {error}");
            ExitCode::FAILURE
        }
    }
}
