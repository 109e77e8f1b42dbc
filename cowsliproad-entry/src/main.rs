//! The program of the entry process.

#![forbid(unsafe_code)]

use cowsliproad_entry::settings::Settings;
use cowsliproad_net::program;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() {
    let about = "Where callers and operators come in";
    let settings: Settings = program::load_settings(
        "cowsliproad-entry",
        about,
        &Settings::example(),
    );
    let threads = settings.threads;
    program::run(threads, async |threads| {
        let entry = cowsliproad_entry::start(settings, threads).await?;
        program::stop_signal().await;
        entry.stop().await;
        Ok(())
    });
}
