//! Adapters that send requests to targets: one plug-in per kind of target.
//!
//! An adapter is a type. [`run_work`] is compiled for each adapter, and the
//! plug-in's `start_adapter` function selects one, so there is no dynamic
//! dispatch per request.

pub mod engine;
pub mod plain;

use std::{sync::Arc, time::Instant};

use cowsliproad_kernel::{
    plugin::{self, inventory},
    wire::{AnswerFormat, RequestFailure},
};
use tokio::runtime::Handle;

use crate::{
    ends::{self, CrashCheckOutcome},
    gate::TargetGate,
    pace::RequestPacer,
    settings::Settings,
    work::RequestWork,
};

/// The plug-in for one kind of target.
#[derive(Clone, Copy, Debug)]
pub struct AdapterPlugin {
    /// The adapter's name in the settings.
    pub adapter_name: &'static str,
    /// The adapter's one-line description in help texts.
    pub description: &'static str,
    /// Starts a task that takes requests from a gate and sends them to the
    /// target.
    pub start_adapter: fn(Arc<TargetGate>, &Handle),
}

inventory::collect!(AdapterPlugin);

impl plugin::Plugin for AdapterPlugin {
    fn name(&self) -> &'static str {
        self.adapter_name
    }

    fn description(&self) -> &'static str {
        self.description
    }
}

/// Sends requests to one kind of target.
pub trait Adapter: Send + Sync + 'static {
    /// Creates the adapter of an agent. The limits and cooldowns that the
    /// target's answers state are recorded in `pacer`.
    fn new(settings: &Settings, pacer: &Arc<RequestPacer>) -> Self;

    /// Sends a request to the target once and appends the answer bytes to
    /// `work`.
    fn call_target(
        &self,
        work: &RequestWork,
    ) -> impl Future<Output = Result<AnswerFormat, RequestFailure>> + Send;
}

/// Starts a task that takes requests from a gate and sends them to the target.
pub fn start_adapter<A: Adapter>(
    gate: Arc<TargetGate>,
    traffic_runtime: &Handle,
) {
    let adapter = Arc::new(A::new(&gate.settings, &gate.pacer));
    let handle = traffic_runtime.clone();
    traffic_runtime.spawn(async move {
        loop {
            let work = gate.next_work().await;
            handle.spawn(run_work(gate.clone(), adapter.clone(), work));
        }
    });
}

async fn run_work<A: Adapter>(
    gate: Arc<TargetGate>,
    adapter: Arc<A>,
    work: Arc<RequestWork>,
) {
    let start = Instant::now();
    let result = adapter.call_target(&work).await;
    let slot_time = start.elapsed();
    let Err(failure) = result else {
        gate.finish_running_work(&work, result, slot_time);
        return gate.crashes.record_survived_request(work.submission_digest());
    };
    // Crashes are checked before the failure is sent, so that no entry process
    // retries a crash-inducing request at another target.
    let crash_check = ends::check_for_crash(&gate, &work, failure).await;
    gate.finish_running_work(&work, result, slot_time);
    if crash_check == CrashCheckOutcome::StillListening {
        ends::recheck_for_crash(&gate, &work).await;
    }
}
