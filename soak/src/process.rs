//! A process of the system: started, signalled, and started again whenever it ends.

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

/// Pause before a process that ended by itself is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// What is needed to start a process.
pub struct Plan {
    /// Name, which its log is called by.
    pub name: String,
    /// The daemon's program.
    pub program: PathBuf,
    /// Directory of settings and logs.
    pub directory: PathBuf,
    /// Its settings.
    pub settings: String,
}

struct State {
    pid: Option<Pid>,
    /// Whether a signal has been sent that ends it.
    ending: bool,
    /// When it was asked to end gracefully.
    asked: Option<Instant>,
    down: Duration,
    closed: bool,
    /// Ends that no signal explains.
    surprises: Vec<String>,
}

/// A process that is kept running; dropping it kills it.
pub struct Process {
    /// Name.
    pub name: String,
    state: Arc<Mutex<State>>,
    keeper: JoinHandle<()>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.keeper.abort();
    }
}

impl Process {
    /// Starts it.
    ///
    /// # Panics
    /// When its settings or its log cannot be written.
    pub fn start(plan: Plan) -> Process {
        let settings = plan.directory.join(format!("{}.ini", plan.name));
        fs::write(&settings, &plan.settings).expect("a writable directory");
        let state = Arc::new(Mutex::new(State {
            pid: None,
            ending: false,
            asked: None,
            down: Duration::ZERO,
            closed: false,
            surprises: Vec::new(),
        }));
        let name = plan.name.clone();
        let keeper = tokio::spawn(keep(plan, settings, state.clone()));
        Process { name, state, keeper }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Sends a signal to the process that runs now, and to no other.
    pub fn signal(&self, signal: Signal) {
        let state = self.lock();
        if let Some(pid) = state.pid {
            // One that has ended meanwhile is not reaped yet, so that its number is nobody else's.
            let _ = signal::kill(pid, signal);
        }
    }

    /// Kills it; another is started after a while.
    pub fn kill(&self, down: Duration) {
        let mut state = self.lock();
        state.ending = true;
        state.down = down;
        drop(state);
        self.signal(Signal::SIGKILL);
    }

    /// Asks it to end; another is started once it has.
    pub fn stop(&self) {
        let mut state = self.lock();
        state.ending = true;
        state.asked.get_or_insert_with(Instant::now);
        drop(state);
        self.signal(Signal::SIGTERM);
    }

    /// Returns when it was asked to end, while it has not ended yet.
    pub fn asked(&self) -> Option<Instant> {
        self.lock().asked
    }

    /// Ends it for good, and waits until it has ended.
    pub async fn close(&mut self) {
        self.lock().closed = true;
        self.signal(Signal::SIGCONT);
        self.kill(Duration::ZERO);
        let _ = (&mut self.keeper).await;
    }

    /// Returns the ends that no signal explains.
    pub fn surprises(&self) -> Vec<String> {
        self.lock().surprises.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

async fn keep(plan: Plan, settings: PathBuf, state: Arc<Mutex<State>>) {
    let log = plan.directory.join(format!("{}.log", plan.name));
    while !lock(&state).closed {
        let file = fs::OpenOptions::new().create(true).append(true).open(&log).expect("a log");
        let errors = file.try_clone().expect("a log");
        let mut child = Command::new(&plan.program)
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
            state.ending = false;
            state.asked = None;
        }
        let ended = child.wait().await;
        let down = {
            let mut state = lock(&state);
            state.pid = None;
            state.asked = None;
            if !state.ending {
                state.surprises.push(format!("{} ended by itself: {ended:?}", plan.name));
            }
            std::mem::take(&mut state.down).max(RESTART_PAUSE)
        };
        if lock(&state).closed {
            return;
        }
        time::sleep(down).await;
    }
}
