//! How the target is spoken to: one plug-in for each kind of target.
//!
//! An adapter is a type; [`run`] is compiled for each, and the plug-in's
//! entry point starts that one. Nothing is dispatched while requests flow.

pub mod engine;
pub mod plain;

use std::{sync::Arc, time::Instant};

use cowsliproad_kernel::{
    plugin::{self, inventory},
    wire::{AnswerFormat, RequestFailure},
};
use tokio::runtime::Handle;

use crate::{
    ends::{self, Seen},
    gate::Gate,
    pace::Pace,
    settings::Settings,
    work::Work,
};

/// A kind of target.
#[derive(Clone, Copy, Debug)]
pub struct Plugin {
    /// The name that settings choose it by.
    pub name: &'static str,
    /// One line for help texts.
    pub about: &'static str,
    /// Starts taking work from a gate.
    pub start: fn(Arc<Gate>, &Handle),
}

inventory::collect!(Plugin);

impl plugin::Plugin for Plugin {
    fn name(&self) -> &'static str {
        self.name
    }

    fn description(&self) -> &'static str {
        self.about
    }
}

/// A way to speak to a target.
pub trait Adapter: Send + Sync + 'static {
    /// Makes the adapter of an agent. What answers say of how much the target
    /// takes is noted in `pace`.
    fn new(settings: &Settings, pace: &Arc<Pace>) -> Self;

    /// Has the target do the work once, adding the answer's bytes to it.
    fn call(
        &self,
        work: &Work,
    ) -> impl Future<Output = Result<AnswerFormat, RequestFailure>> + Send;
}

/// Starts taking work from a gate.
pub fn start<A: Adapter>(gate: Arc<Gate>, traffic: &Handle) {
    let adapter = Arc::new(A::new(&gate.settings, &gate.pace));
    let handle = traffic.clone();
    traffic.spawn(async move {
        loop {
            let work = gate.next().await;
            handle.spawn(run(gate.clone(), adapter.clone(), work));
        }
    });
}

async fn run<A: Adapter>(gate: Arc<Gate>, adapter: Arc<A>, work: Arc<Work>) {
    let start = Instant::now();
    let result = adapter.call(&work).await;
    let held = start.elapsed();
    let Err(failure) = result else {
        gate.finish(&work, result, held);
        return gate.ends.outlived(work.kind());
    };
    // Before the answer, so that no entry sends it on to one target more.
    let seen = ends::look(&gate, &work, failure).await;
    gate.finish(&work, result, held);
    if seen == Seen::Listens {
        ends::look_again(&gate, &work).await;
    }
}
