//! The faults of a stand-in, switched while it runs.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use cowsliproad_kernel::sync::lock;
use serde::{Deserialize, Serialize};

/// What is wrong with a stand-in.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It takes requests and never answers or acts.
    BlackHole,
    /// It starts to answer and stops in the middle, keeping the connection.
    Stall,
    /// It starts to answer and closes the connection in the middle.
    Cut,
    /// It acts, then closes the connection without an answer.
    LoseAnswer,
    /// It fails each request at once.
    Error,
    /// Everything takes so many times as long.
    Slow(u32),
    /// Every answer starts so many milliseconds late.
    Late(u64),
}

/// A switch shared by a stand-in and whoever sets its faults.
#[derive(Clone, Debug, Default)]
pub struct Switch {
    fault: Arc<Mutex<Fault>>,
}

impl Switch {
    /// A switch with no fault.
    pub fn new() -> Switch {
        Switch::default()
    }

    /// Sets the fault.
    pub fn set(&self, fault: Fault) {
        *self.lock() = fault;
    }

    /// The present fault.
    pub fn get(&self) -> Fault {
        *self.lock()
    }

    /// A time as the fault stretches it.
    pub fn stretch(&self, time: Duration) -> Duration {
        match self.get() {
            Fault::Slow(factor) => time * factor,
            _ => time,
        }
    }

    /// Waits as the fault demands before an answer starts.
    pub async fn before_answer(&self) {
        match self.get() {
            Fault::BlackHole => std::future::pending().await,
            Fault::Late(wait) => {
                tokio::time::sleep(Duration::from_millis(wait)).await;
            }
            _ => {}
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Fault> {
        lock(&self.fault)
    }
}
