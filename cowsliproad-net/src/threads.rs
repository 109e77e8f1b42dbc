//! The two runtimes of a program: one thread for the control state, and
//! several threads for traffic.

use std::io;

use tokio::runtime::{Builder, Handle, Runtime};

/// The runtimes on which a program spawns its tasks.
#[derive(Clone, Debug)]
pub struct Runtimes {
    /// The single-threaded runtime, on which tasks that use the control state
    /// run.
    pub control_runtime: Handle,
    /// The runtime that serves requests.
    pub traffic_runtime: Handle,
}

impl Runtimes {
    /// Uses the current runtime for all tasks, as the nodes of the demo do.
    pub fn current() -> Runtimes {
        let handle = Handle::current();
        Runtimes { control_runtime: handle.clone(), traffic_runtime: handle }
    }
}

/// Runs a program's main task on the traffic runtime until it ends; a control
/// runtime with one thread runs beside it.
pub fn run_on_runtimes<T>(
    traffic_threads: usize,
    main: impl AsyncFnOnce(Runtimes) -> T,
) -> io::Result<T> {
    let control: Runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("control")
        .enable_all()
        .build()?;
    let traffic: Runtime = Builder::new_multi_thread()
        .worker_threads(traffic_threads.max(1))
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let runtimes = Runtimes {
        control_runtime: control.handle().clone(),
        traffic_runtime: traffic.handle().clone(),
    };
    let outcome = traffic.block_on(main(runtimes));
    traffic.shutdown_background();
    control.shutdown_background();
    Ok(outcome)
}
