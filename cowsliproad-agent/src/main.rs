//! The agent's executable.

#![forbid(unsafe_code)]

use cowsliproad_agent::settings::Settings;
use cowsliproad_net::program;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() {
    let description =
        "The agent: a proxy that admits all requests for one target";
    let settings: Settings = program::load_settings(
        "cowsliproad-agent",
        description,
        &Settings::example(),
    );
    let traffic_threads = settings.traffic_threads;
    program::run(traffic_threads, async |runtimes| {
        let agent = cowsliproad_agent::start_agent(settings, runtimes).await?;
        program::wait_for_stop_signal().await;
        agent.stop_gracefully().await;
        Ok(())
    });
}
