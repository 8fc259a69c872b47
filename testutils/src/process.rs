//! A process of the system inside the test: its own threads, which can be killed or paused.

use std::future::Future;
use std::thread;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// One process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    runtime: Option<Runtime>,
}

impl Process {
    /// Starts a process with one thread, which does nothing yet.
    ///
    /// # Panics
    /// When no thread can be had.
    ///
    /// ```
    /// drop(lavendergauge_testutils::process::Process::start());
    /// ```
    pub fn start() -> Self {
        let mut builder = Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().expect("a thread");
        Process { runtime: Some(runtime) }
    }

    /// Runs something inside the process and returns what it returns.
    ///
    /// # Panics
    /// When the process was killed.
    pub async fn run<F>(&self, future: F) -> F::Output
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        let runtime = self.runtime.as_ref().expect("a living process");
        runtime.spawn(future).await.expect("the process lives")
    }

    /// Stops every thread of the process for a while, as SIGSTOP and SIGCONT do.
    pub fn pause(&self, span: Duration) {
        if let Some(runtime) = &self.runtime {
            runtime.spawn(async move { thread::sleep(span) });
        }
    }

    /// Kills the process: nothing of it runs on, and its sockets close.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
