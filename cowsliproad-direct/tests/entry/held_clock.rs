//! A monotonic clock of another process that a test holds back.
//!
//! While a VM is suspended its monotonic clock stands still, and the clock that
//! counts since boot goes on. A test can't suspend the machine, so it stops the
//! process and holds back what the process reads from the monotonic clock.

use std::{
    fs,
    path::PathBuf,
    process::Command,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// The library that a process with a held clock loads.
const SOURCE: &str = include_str!("held_clock.c");

/// The clock of one process.
pub struct HeldClock {
    /// Holds the time that the clock is behind, in nanoseconds.
    file: PathBuf,
}

impl HeldClock {
    /// A clock that is not behind yet.
    pub fn new() -> HeldClock {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("clock-{}-{number}", std::process::id());
        let file = std::env::temp_dir().join(name);
        fs::write(&file, 0_i64.to_ne_bytes()).expect("a clock file");
        HeldClock { file }
    }

    /// Has a process start with this clock.
    pub fn apply_to(&self, command: &mut Command) {
        command.env("LD_PRELOAD", library());
        command.env("HELD_CLOCK_FILE", &self.file);
    }

    /// Holds the clock back by a further time. The process must be stopped.
    pub fn hold_back(&self, time: Duration) {
        let held = fs::read(&self.file).expect("a clock file");
        let held = i64::from_ne_bytes(held.try_into().expect("8 bytes"));
        let held = held + time.as_nanos() as i64;
        // In place: the process has the file mapped.
        let mut options = fs::OpenOptions::new();
        let mut file = options.write(true).open(&self.file).expect("a file");
        let written =
            std::io::Write::write_all(&mut file, &held.to_ne_bytes());
        written.expect("a clock file");
    }
}

impl Drop for HeldClock {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.file);
    }
}

/// Builds the library once for all tests of this program.
fn library() -> &'static PathBuf {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = |ending| {
            directory.join(format!("clock-{}.{ending}", std::process::id()))
        };
        let (source, library) = (file("c"), file("so"));
        fs::write(&source, SOURCE).expect("a source file");
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .args([&library, &source])
            .status();
        assert!(built.expect("a C compiler").success());
        library
    })
}
