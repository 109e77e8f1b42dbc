//! Structured logs: one `key=value` line for each event.
//!
//! Lines go to standard output through a bounded asynchronous drain. When the
//! drain is full, lines are dropped and counted rather than holding up
//! traffic.

use serde::{Deserialize, Serialize};
use slog::{Drain, Logger, o};

/// Lines that may wait for the writer.
const CHANNEL_LINES: usize = 4096;

/// How much is logged.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing at all.
    Off,
    /// Faults that need a person.
    Error,
    /// What an operator wants to see.
    #[default]
    Info,
    /// One line for each routing decision as well.
    Debug,
}

/// Makes the logger of a program called `program` on VM `vm`.
pub fn logger(program: &'static str, vm: &str, level: Level) -> Logger {
    let keys = o!("program" => program, "vm" => vm.to_string());
    let Some(least) = least(level) else {
        return Logger::root(slog::Discard, keys);
    };
    let stdout = std::io::LineWriter::new(std::io::stdout());
    let lines =
        slog_logfmt::Logfmt::new(stdout).set_prefix(prefix).build().fuse();
    let lines =
        slog_async::Async::new(lines).chan_size(CHANNEL_LINES).build().fuse();
    Logger::root(slog::LevelFilter::new(lines, least).fuse(), keys)
}

/// Starts a line with its level and event, as pairs like the rest.
fn prefix(
    line: &mut dyn std::io::Write,
    record: &slog::Record,
) -> slog::Result {
    let level = record.level().as_short_str();
    write!(line, "level={level} event={} ", record.msg())?;
    Ok(())
}

fn least(level: Level) -> Option<slog::Level> {
    match level {
        Level::Off => None,
        Level::Error => Some(slog::Level::Error),
        Level::Info => Some(slog::Level::Info),
        Level::Debug => Some(slog::Level::Debug),
    }
}
