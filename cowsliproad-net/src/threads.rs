//! The two runtimes of a program: one thread for control state, others for
//! traffic.

use std::io;

use tokio::runtime::{Builder, Handle, Runtime};

/// Where tasks run.
#[derive(Clone, Debug)]
pub struct Threads {
    /// One thread that owns control state.
    pub control: Handle,
    /// Threads that serve requests.
    pub traffic: Handle,
}

impl Threads {
    /// Runs everything on the present runtime, as the demo's nodes do.
    pub fn here() -> Threads {
        let handle = Handle::current();
        Threads { control: handle.clone(), traffic: handle }
    }
}

/// Runs a program's main task on traffic threads, with a control thread
/// beside them, until the task ends.
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
