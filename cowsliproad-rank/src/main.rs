//! The program of an agent beside a model engine.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use cowsliproad_net::program::Program;
use cowsliproad_platform::SETTINGS_VARIABLE;
use cowsliproad_rank::settings::Settings;

fn main() -> ExitCode {
    let program = Program {
        name: "cowsliproad-rank",
        log_name: cowsliproad_rank::LOG_NAME,
        about: "Reports an engine's load and leads its group's expert map",
        example: Settings::example(),
        path_variable: SETTINGS_VARIABLE,
        vm_name: |settings| &settings.vm_name,
    };
    program.run(cowsliproad_rank::run)
}
