//! A daemon of the deploy file as a child process, which is killed when it is dropped.

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// A daemon with its command line.
pub struct Process {
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Prepares a daemon without starting it. `program` is a path from the repository's root, which
    /// is the working folder.
    pub fn new(program: &'static str, settings: PathBuf, log: PathBuf) -> Self {
        Self {
            program,
            settings,
            log,
            child: None,
        }
    }

    /// Starts the daemon; its output is appended to the log file.
    ///
    /// # Errors
    /// The process can't be started.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let id = i32::try_from(child.id()).expect("process ids fit into an i32");
            // The process may just have ended.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM, waits up to `grace` for the end, then kills the process, as the platform
    /// does. Returns the time until the end.
    pub async fn stop(&mut self, grace: Duration) -> Duration {
        let started = Instant::now();
        self.signal(Signal::SIGTERM);
        while started.elapsed() < grace && self.runs() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.kill();
        started.elapsed()
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        let ended = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)) | Err(_));
        self.child.as_mut().is_some_and(|child| !ended(child))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
