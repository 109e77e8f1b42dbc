//! A program on a thread of its own, with its own runtime.
//!
//! Killing a node drops its runtime with every socket and task, as SIGKILL
//! would. Freezing it blocks its only thread, as SIGSTOP would.

use std::{io, thread, time::Duration};

use cowsliproad_net::threads::{self, Runtimes};
use tokio::{
    runtime::Builder,
    sync::{mpsc, oneshot},
};

/// A running program.
#[derive(Debug)]
pub struct Node<T> {
    /// The program's handle.
    pub handle: T,
    orders: mpsc::UnboundedSender<Order>,
    ended: Option<oneshot::Receiver<()>>,
}

enum Order {
    Stop,
    Kill,
    Freeze(Duration),
}

/// A program that can be stopped gracefully.
pub trait Program: Clone + Send + 'static {
    /// Finishes its work and returns.
    fn stop(&self) -> impl Future<Output = ()>;
}

impl Program for cowsliproad_entry::EntryProcess {
    async fn stop(&self) {
        cowsliproad_entry::EntryProcess::stop_gracefully(self).await;
    }
}

impl Program for cowsliproad_agent::Agent {
    async fn stop(&self) {
        cowsliproad_agent::Agent::stop(self).await;
    }
}

impl<T: Program> Node<T> {
    /// Starts a program on a new thread.
    pub async fn start<F>(name: &str, make: F) -> io::Result<Node<T>>
    where
        F: AsyncFnOnce() -> io::Result<T> + Send + 'static,
    {
        let (orders, queue) = mpsc::unbounded_channel();
        let (started, handle) = oneshot::channel();
        let (done, ended) = oneshot::channel();
        thread::Builder::new().name(name.into()).spawn(move || {
            run(make, started, queue);
            // Whoever waits may be gone.
            let _ = done.send(());
        })?;
        let handle = handle
            .await
            .map_err(|_| io::Error::other("the node's thread ended"))??;
        Ok(Node { handle, orders, ended: Some(ended) })
    }

    /// Starts a program on the threads that it has in production.
    pub async fn start_wide<F>(
        name: &str,
        workers: usize,
        make: F,
    ) -> io::Result<Node<T>>
    where
        F: AsyncFnOnce(Runtimes) -> io::Result<T> + Send + 'static,
    {
        let (orders, queue) = mpsc::unbounded_channel();
        let (started, handle) = oneshot::channel();
        let (done, ended) = oneshot::channel();
        thread::Builder::new().name(name.into()).spawn(move || {
            // An error shows as a handle that never comes.
            let _ = threads::run_on_runtimes(workers, async |threads| {
                serve(make(threads).await, started, queue).await;
            });
            let _ = done.send(());
        })?;
        let handle = handle
            .await
            .map_err(|_| io::Error::other("the node's threads ended"))??;
        Ok(Node { handle, orders, ended: Some(ended) })
    }

    /// Stops the program gracefully and waits for its end.
    pub async fn stop(mut self) {
        self.order(Order::Stop);
        self.wait().await;
    }

    /// Ends the program at once and waits for its end.
    pub async fn kill(mut self) {
        self.order(Order::Kill);
        self.wait().await;
    }

    /// Holds the whole program still for a time.
    pub fn freeze(&self, time: Duration) {
        self.order(Order::Freeze(time));
    }

    fn order(&self, order: Order) {
        // A program that has ended takes no orders.
        let _ = self.orders.send(order);
    }

    async fn wait(&mut self) {
        if let Some(ended) = self.ended.take() {
            let _ = ended.await;
        }
    }
}

fn run<T, F>(
    make: F,
    started: oneshot::Sender<io::Result<T>>,
    orders: mpsc::UnboundedReceiver<Order>,
) where
    T: Program,
    F: AsyncFnOnce() -> io::Result<T>,
{
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = started.send(Err(error));
            return;
        }
    };
    runtime.block_on(async { serve(make().await, started, orders).await });
    runtime.shutdown_background();
}

/// Obeys orders until the program's end.
async fn serve<T: Program>(
    program: io::Result<T>,
    started: oneshot::Sender<io::Result<T>>,
    mut orders: mpsc::UnboundedReceiver<Order>,
) {
    let program = match program {
        Ok(program) => program,
        Err(error) => {
            let _ = started.send(Err(error));
            return;
        }
    };
    let _ = started.send(Ok(program.clone()));
    while let Some(order) = orders.recv().await {
        match order {
            Order::Stop => return program.stop().await,
            Order::Kill => return,
            Order::Freeze(time) => thread::sleep(time),
        }
    }
}
