//! Starts, signals and stops one of the real programs as a child process.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::Context;
use rustix::process::{Pid, Signal, kill_process};
use tokio::io::AsyncReadExt;
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::topology::{Instance, Role, Topology};

/// Environment variable with the path of the settings file.
const SETTINGS_ENV: &str = "BUCKTHORNLINK_SETTINGS";
/// Maximum time between SIGTERM and the exit of a process.
const STOP_GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Time that a new process is given to install its signal handlers.
const SIGNAL_SETUP_TIME: Duration = Duration::from_millis(100);
/// Interval at which a stalled reader checks whether to resume.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How a process stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// It exited within the grace period.
    Graceful,
    /// It was killed after the grace period.
    Killed,
}

/// A child process that can be stopped and started again.
#[derive(Debug)]
pub struct ManagedProcess {
    executable: PathBuf,
    arguments: &'static [&'static str],
    settings_path: PathBuf,
    log_path: PathBuf,
    is_stalled: Arc<AtomicBool>,
    child: Option<Child>,
    started_at: Instant,
}

impl ManagedProcess {
    /// Starts the program of an instance, with its settings and log files in `work_dir`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn spawn(
        topology: &Topology,
        instance: &Instance,
        program_dir: &Path,
        work_dir: &Path,
    ) -> anyhow::Result<Self> {
        let (name, arguments): (_, &[&str]) = match instance.role {
            Role::Balancer => ("buckthornlink", &["balancer", "--datagrams"]),
            Role::Agent(_) => ("buckthornlink-agent", &["--datagrams"]),
        };
        let settings_path = work_dir.join(format!("{}.json", instance.name));
        std::fs::write(&settings_path, topology.settings(instance)?)?;
        let mut process = Self {
            executable: program_dir.join(name),
            arguments,
            settings_path,
            log_path: work_dir.join(format!("{}.log", instance.name)),
            is_stalled: Arc::default(),
            child: None,
            started_at: Instant::now(),
        };
        process.start()?;
        Ok(process)
    }

    /// Starts the program, for the first time or again.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn start(&mut self) -> anyhow::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path)?;
        let mut child = Command::new(&self.executable)
            .args(self.arguments)
            .env(SETTINGS_ENV, &self.settings_path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.try_clone()?)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("failed to start {}", self.executable.display()))?;
        let output = child
            .stdout
            .take()
            .context("standard output of the process is not piped")?;
        tokio::spawn(copy_output(output, log, Arc::clone(&self.is_stalled)));
        self.child = Some(child);
        self.started_at = Instant::now();
        Ok(())
    }

    /// Sends a signal to the running process.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Tells the process to reload its settings (SIGHUP), once it handles signals.
    pub async fn reload(&self) {
        sleep_until(self.started_at + SIGNAL_SETUP_TIME).await;
        self.signal(Signal::HUP);
    }

    /// Kills the process and waits for its exit.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Asks the process to terminate (SIGTERM), and kills it after the grace period.
    pub async fn stop(&mut self) -> StopOutcome {
        sleep_until(self.started_at + SIGNAL_SETUP_TIME).await;
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else {
            return StopOutcome::Graceful;
        };
        if timeout(STOP_GRACE_PERIOD, child.wait()).await.is_ok() {
            return StopOutcome::Graceful;
        }
        let _ = child.kill().await;
        StopOutcome::Killed
    }

    /// Whether the process has exited without [`Self::kill`] or [`Self::stop`].
    pub fn has_exited(&mut self) -> bool {
        let status = self.child.as_mut().map(Child::try_wait);
        status.is_some_and(|s| !matches!(s, Ok(None)))
    }

    /// Stops or resumes reading the output of the process.
    pub fn set_output_stalled(&self, is_stalled: bool) {
        self.is_stalled.store(is_stalled, Ordering::Relaxed);
    }
}

/// Copies the output of a process to its log file; reads nothing while `is_stalled` is set.
async fn copy_output(mut output: ChildStdout, mut log: File, is_stalled: Arc<AtomicBool>) {
    let mut buffer = vec![0; 1 << 16];
    loop {
        while is_stalled.load(Ordering::Relaxed) {
            sleep(STALL_POLL_INTERVAL).await;
        }
        match output.read(&mut buffer).await {
            Ok(len @ 1..) => {
                let _ = log.write_all(&buffer[..len]);
            }
            Ok(_) | Err(_) => return,
        }
    }
}
