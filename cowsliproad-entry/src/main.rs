//! The program of the entry process.

#![forbid(unsafe_code)]

use cowsliproad_entry::settings::Settings;
use cowsliproad_net::program;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() {
    let about = "The entry process, which serves callers and operators";
    let settings: Settings = program::load_settings(
        "cowsliproad-entry",
        about,
        &Settings::example(),
    );
    let threads = settings.traffic_threads;
    program::run(threads, async |threads| {
        let entry = cowsliproad_entry::start_entry(settings, threads).await?;
        program::wait_for_stop_signal().await;
        entry.stop_gracefully().await;
        Ok(())
    });
}
