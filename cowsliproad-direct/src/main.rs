//! The executable of an entry process that forwards requests directly to
//! targets.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use cowsliproad_direct::settings::Settings;
use cowsliproad_net::program::Program;
use cowsliproad_platform::SETTINGS_VARIABLE;

fn main() -> ExitCode {
    let program = Program {
        name: "cowsliproad-direct",
        log_name: cowsliproad_direct::LOG_NAME,
        about: "Forwards callers' requests directly to targets",
        example: Settings::example(),
        path_variable: SETTINGS_VARIABLE,
        vm_name: |settings| &settings.vm,
    };
    program.run(cowsliproad_direct::run)
}
