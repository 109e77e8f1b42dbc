//! The agent's program.

#![forbid(unsafe_code)]

use cowsliproad_agent::settings::Settings;
use cowsliproad_net::program;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() {
    let about = "The gate in front of one target";
    let settings: Settings = program::load_settings(
        "cowsliproad-agent",
        about,
        &Settings::example(),
    );
    let threads = settings.threads;
    program::run(threads, async |threads| {
        let agent = cowsliproad_agent::start(settings, threads).await?;
        program::wait_for_stop_signal().await;
        agent.stop().await;
        Ok(())
    });
}
