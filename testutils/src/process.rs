//! A simulated process: an async runtime with a thread of its own inside the test process, which
//! can be killed or paused.

use std::future::Future;
use std::thread;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// A simulated process. Dropping it kills it.
#[derive(Debug)]
pub struct Process {
    runtime: Option<Runtime>,
}

impl Process {
    /// Starts a process with one worker thread and no tasks.
    ///
    /// # Panics
    /// When the thread cannot be started.
    ///
    /// ```
    /// drop(lavendergauge_testutils::process::Process::start());
    /// ```
    pub fn start() -> Self {
        let mut builder = Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().expect("a thread");
        Process { runtime: Some(runtime) }
    }

    /// Runs a future on the process's runtime and returns its output.
    ///
    /// # Panics
    /// When the process was killed, or the future panics.
    pub async fn run<F>(&self, future: F) -> F::Output
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        let runtime = self.runtime.as_ref().expect("the process was not killed");
        runtime.spawn(future).await.expect("the task completes")
    }

    /// Blocks the process's only worker thread for `duration`, as SIGSTOP followed by SIGCONT
    /// would.
    pub fn pause(&self, duration: Duration) {
        if let Some(runtime) = &self.runtime {
            runtime.spawn(async move { thread::sleep(duration) });
        }
    }

    /// Kills the process: its tasks stop without cleaning up, and its sockets close.
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
