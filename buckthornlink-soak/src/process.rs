//! One of the real programs as a process of its own.

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

use crate::site::{Instance, Job, Site};

/// Variable that names the settings file.
const SETTINGS_ENV: &str = "BUCKTHORNLINK_SETTINGS";
/// Time between SIGTERM and the end of a process at the latest.
const GRACE: Duration = Duration::from_secs(6);
/// Time that a new process has until it handles signals.
const EXEC_SPAN: Duration = Duration::from_millis(100);
/// Interval at which a reader that stalls looks whether it is to go on.
const STALL_INTERVAL: Duration = Duration::from_millis(50);

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Within its grace time.
    InTime,
    /// Only when it was killed.
    Overdue,
}

/// A program that is started, stopped and started again.
#[derive(Debug)]
pub struct Program {
    file: PathBuf,
    arguments: &'static [&'static str],
    settings: PathBuf,
    log: PathBuf,
    stalled: Arc<AtomicBool>,
    child: Option<Child>,
    started: Instant,
}

impl Program {
    /// Starts the program of an instance, with settings and log in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn spawn(
        site: &Site,
        instance: &Instance,
        programs: &Path,
        folder: &Path,
    ) -> anyhow::Result<Self> {
        let (name, arguments): (_, &[&str]) = match instance.job {
            Job::Balancer => ("buckthornlink", &["balancer", "--datagrams"]),
            Job::Agent(_) => ("buckthornlink-agent", &["--datagrams"]),
        };
        let settings = folder.join(format!("{}.json", instance.name));
        std::fs::write(&settings, site.settings(instance).to_string())?;
        let mut program = Self {
            file: programs.join(name),
            arguments,
            settings,
            log: folder.join(format!("{}.log", instance.name)),
            stalled: Arc::default(),
            child: None,
            started: Instant::now(),
        };
        program.start()?;
        Ok(program)
    }

    /// Starts the program again.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn start(&mut self) -> anyhow::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut child = Command::new(&self.file)
            .args(self.arguments)
            .env(SETTINGS_ENV, &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.try_clone()?)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{} does not start", self.file.display()))?;
        let output = child.stdout.take().context("no output")?;
        tokio::spawn(collect(output, log, Arc::clone(&self.stalled)));
        self.child = Some(child);
        self.started = Instant::now();
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

    /// Tells the process that its settings have changed, once it handles signals.
    pub async fn reload(&self) {
        sleep_until(self.started + EXEC_SPAN).await;
        self.signal(Signal::HUP);
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Asks the process to end, and kills it after the grace time.
    pub async fn stop(&mut self) -> Ending {
        sleep_until(self.started + EXEC_SPAN).await;
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else {
            return Ending::InTime;
        };
        if timeout(GRACE, child.wait()).await.is_ok() {
            return Ending::InTime;
        }
        let _ = child.kill().await;
        Ending::Overdue
    }

    /// Whether the process has ended without having been told to.
    pub fn has_failed(&mut self) -> bool {
        let status = self.child.as_mut().map(Child::try_wait);
        status.is_some_and(|s| !matches!(s, Ok(None)))
    }

    /// Stops or goes on reading what the process writes.
    pub fn stall(&self, is_stalled: bool) {
        self.stalled.store(is_stalled, Ordering::Relaxed);
    }
}

/// Writes the output of a process to its log file.
async fn collect(mut output: ChildStdout, mut log: File, stalled: Arc<AtomicBool>) {
    let mut buffer = vec![0; 1 << 16];
    loop {
        while stalled.load(Ordering::Relaxed) {
            sleep(STALL_INTERVAL).await;
        }
        match output.read(&mut buffer).await {
            Ok(len @ 1..) => {
                let _ = log.write_all(&buffer[..len]);
            }
            Ok(_) | Err(_) => return,
        }
    }
}
