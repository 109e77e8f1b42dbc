//! Structured logs: one line of `key=value` pairs for each event. Every line
//! states when its event was logged, as a Unix time in milliseconds, so that
//! the lines of several processes can be ordered.
//!
//! A background thread writes the lines to standard output from a bounded
//! queue. If the queue is full, lines are dropped and counted, so that logging
//! never blocks request processing.

use serde::{Deserialize, Serialize};
use slog::{Drain, Logger, o};

use crate::clock;

/// The capacity of the queue to the thread that writes log lines.
const MAX_QUEUED_LINES: usize = 4096;

/// The log level.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Log nothing.
    Off,
    /// Log faults that an operator has to look into.
    Error,
    /// Also log normal operational events.
    #[default]
    Info,
    /// Also log every routing decision.
    Debug,
}

/// Creates a logger whose lines name the program and the VM.
pub fn logger(program: &'static str, vm: &str, level: Level) -> Logger {
    let keys = o!("program" => program, "vm" => vm.to_string());
    let Some(min_level) = min_slog_level(level) else {
        return Logger::root(slog::Discard, keys);
    };
    let stdout = std::io::LineWriter::new(std::io::stdout());
    let lines = slog_logfmt::Logfmt::new(stdout)
        .set_prefix(write_prefix)
        .build()
        .fuse();
    let lines = slog_async::Async::new(lines)
        .chan_size(MAX_QUEUED_LINES)
        .build()
        .fuse();
    let lines = slog::LevelFilter::new(TimestampDrain { lines }, min_level);
    Logger::root(lines.fuse(), keys)
}

/// Adds the current time to each event. The lines are written later, by a
/// background thread.
struct TimestampDrain<D> {
    lines: D,
}

impl<D: Drain> Drain for TimestampDrain<D> {
    type Ok = D::Ok;
    type Err = D::Err;

    fn log(
        &self,
        record: &slog::Record,
        keys: &slog::OwnedKVList,
    ) -> Result<D::Ok, D::Err> {
        let pairs =
            (record.kv(), slog::SingleKV("unix_ms", clock::unix_now_ms()));
        let metadata = slog::RecordStatic {
            location: record.location(),
            tag: record.tag(),
            level: record.level(),
        };
        let timestamped = slog::Record::new(
            &metadata,
            record.msg(),
            slog::BorrowedKV(&pairs),
        );
        self.lines.log(&timestamped, keys)
    }
}

/// Writes the level and the event at the start of a line, as `key=value`
/// pairs.
fn write_prefix(
    line: &mut dyn std::io::Write,
    record: &slog::Record,
) -> slog::Result {
    let level = record.level().as_short_str();
    write!(line, "level={level} event={} ", record.msg())?;
    Ok(())
}

fn min_slog_level(level: Level) -> Option<slog::Level> {
    match level {
        Level::Off => None,
        Level::Error => Some(slog::Level::Error),
        Level::Info => Some(slog::Level::Info),
        Level::Debug => Some(slog::Level::Debug),
    }
}
