//! The two runtimes of a program: one thread for the control state, and
//! several threads for traffic.

use std::io;

use tokio::runtime::{Builder, Handle, Runtime};

/// The runtimes on which a program spawns its tasks.
#[derive(Clone, Debug)]
pub struct Threads {
    /// The single-threaded runtime that owns the control state.
    pub control: Handle,
    /// The runtime that serves requests.
    pub traffic: Handle,
}

impl Threads {
    /// Uses the current runtime for all tasks, as the nodes of the demo do.
    pub fn current() -> Threads {
        let handle = Handle::current();
        Threads { control: handle.clone(), traffic: handle }
    }
}

/// Runs a program's main task on the traffic runtime until it ends; a control
/// runtime with one thread runs beside it.
pub fn run<T>(
    workers: usize,
    main: impl AsyncFnOnce(Threads) -> T,
) -> io::Result<T> {
    let control: Runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("control")
        .enable_all()
        .build()?;
    let traffic: Runtime = Builder::new_multi_thread()
        .worker_threads(workers.max(1))
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let threads = Threads {
        control: control.handle().clone(),
        traffic: traffic.handle().clone(),
    };
    let outcome = traffic.block_on(main(threads));
    traffic.shutdown_background();
    control.shutdown_background();
    Ok(outcome)
}
