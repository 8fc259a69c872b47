//! Supervises a process of the daemon: starts it, signals it, and restarts it whenever it ends.

use std::fs;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use tokio::process::Command;
use tokio::task::JoinHandle;
use tokio::time;

/// Minimum pause before a process that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// How to start a process.
pub struct Options {
    /// Name of the process, of its settings file and of its log.
    pub name: String,
    /// Path of the daemon's program.
    pub program: PathBuf,
    /// Directory of settings and logs.
    pub directory: PathBuf,
    /// Contents of the settings file.
    pub settings: String,
}

struct State {
    /// Identifier of the running process; `None` between two of them.
    pid: Option<Pid>,
    /// Whether a signal that ends it has been sent.
    is_ending: bool,
    /// When it was first asked to stop gracefully.
    stop_requested_at: Option<Instant>,
    /// Pause before the next start.
    restart_delay: Duration,
    /// Whether it is not started again once it has ended.
    is_closed: bool,
    /// Exits without a signal that was sent to end it.
    unexpected_exits: Vec<String>,
}

/// A process that is restarted whenever it ends; dropping this kills it.
pub struct Process {
    /// Name.
    pub name: String,
    state: Arc<Mutex<State>>,
    supervisor: JoinHandle<()>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.supervisor.abort();
    }
}

impl Process {
    /// Writes its settings and starts it.
    ///
    /// # Panics
    /// When the settings cannot be written.
    pub fn start(options: Options) -> Process {
        let settings = options.directory.join(format!("{}.ini", options.name));
        fs::write(&settings, &options.settings).expect("a writable directory");
        let state = Arc::new(Mutex::new(State {
            pid: None,
            is_ending: false,
            stop_requested_at: None,
            restart_delay: Duration::ZERO,
            is_closed: false,
            unexpected_exits: Vec::new(),
        }));
        let name = options.name.clone();
        let supervisor = tokio::spawn(supervise(options, settings, state.clone()));
        Process { name, state, supervisor }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Sends a signal to the process that runs now, if any.
    pub fn signal(&self, signal: Signal) {
        let state = self.lock();
        if let Some(pid) = state.pid {
            // A process that has ended meanwhile is not reaped yet, so its identifier cannot belong
            // to another process.
            let _ = signal::kill(pid, signal);
        }
    }

    /// Kills it; it is started again after `restart_delay`.
    pub fn kill(&self, restart_delay: Duration) {
        let mut state = self.lock();
        state.is_ending = true;
        state.restart_delay = restart_delay;
        drop(state);
        self.signal(Signal::SIGKILL);
    }

    /// Asks it to stop gracefully; it is started again once it has ended.
    pub fn stop(&self) {
        let mut state = self.lock();
        state.is_ending = true;
        state.stop_requested_at.get_or_insert_with(Instant::now);
        drop(state);
        self.signal(Signal::SIGTERM);
    }

    /// Returns when it was asked to stop, if it is still stopping.
    pub fn stop_requested_at(&self) -> Option<Instant> {
        self.lock().stop_requested_at
    }

    /// Ends it for good, and waits until it has ended.
    pub async fn close(&mut self) {
        self.lock().is_closed = true;
        self.signal(Signal::SIGCONT);
        self.kill(Duration::ZERO);
        let _ = (&mut self.supervisor).await;
    }

    /// Returns the exits without a signal that was sent to end it.
    pub fn unexpected_exits(&self) -> Vec<String> {
        self.lock().unexpected_exits.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Starts the process again and again until it is closed.
async fn supervise(options: Options, settings: PathBuf, state: Arc<Mutex<State>>) {
    let log = options.directory.join(format!("{}.log", options.name));
    while !lock(&state).is_closed {
        let file = fs::OpenOptions::new().create(true).append(true).open(&log).expect("a log");
        let errors = file.try_clone().expect("a log");
        let mut child = Command::new(&options.program)
            .args(["run", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .expect("the daemon's program starts");
        {
            let mut state = lock(&state);
            state.pid = child.id().map(|id| Pid::from_raw(id as i32));
            state.is_ending = false;
            state.stop_requested_at = None;
        }
        let ended = child.wait().await;
        let restart_delay = {
            let mut state = lock(&state);
            state.pid = None;
            state.stop_requested_at = None;
            if !state.is_ending {
                state.unexpected_exits.push(format!("{} ended by itself: {ended:?}", options.name));
            }
            std::mem::take(&mut state.restart_delay).max(RESTART_PAUSE)
        };
        if lock(&state).is_closed {
            return;
        }
        time::sleep(restart_delay).await;
    }
}
