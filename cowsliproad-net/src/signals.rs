//! The signals that stop a process or have it read its settings again.
//!
//! They are caught from the creation of [`Signals`] on, also while nothing
//! waits for them, so a program creates them before anything else.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that a program acts on.
#[derive(Debug)]
pub struct Signals {
    /// SIGTERM and SIGINT.
    pub stop: StopSignals,
    /// SIGHUP: the settings file may have changed.
    pub hangup: Signal,
}

/// The signals that stop a process.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Catches the signals from now on. Needs a runtime.
    pub fn new() -> io::Result<Signals> {
        // SIGHUP comes first: it must not end the process, at any moment.
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Signals { stop: StopSignals { terminate, interrupt }, hangup })
    }
}

impl StopSignals {
    /// Waits for a stop signal, and returns its name.
    pub async fn recv(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
}
