//! A daemon as a child process that a test can kill, suspend and restart.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// A daemon process together with its command line, so that it can be restarted.
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Prepares a daemon of this workspace without starting it. The environment variable
    /// `AZURELUG_ENTRY` overrides the path of the entry daemon's binary, so that two builds can be
    /// compared.
    ///
    /// # Panics
    /// If the binary has not been built.
    pub fn new(binary: &str, arguments: Vec<String>, log: PathBuf) -> Self {
        let other = std::env::var_os("AZURELUG_ENTRY").filter(|_| binary == "azurelug-entry");
        let program = other.map_or_else(|| target_folder().join(binary), PathBuf::from);
        assert!(
            program.exists(),
            "{} is missing; run scripts/test.sh",
            program.display()
        );
        Self {
            program,
            arguments,
            log,
            child: None,
        }
    }

    /// Starts the daemon and appends its output to the log file.
    ///
    /// # Panics
    /// If the process can't be started.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("open the log file");
        let output = log.try_clone().expect("duplicate the log file");
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()
            .expect("start the daemon");
        self.child = Some(child);
    }

    /// Adds or removes a command line argument for later starts.
    pub fn set_argument(&mut self, argument: &str, is_set: bool) {
        self.arguments.retain(|known| known != argument);
        if is_set {
            self.arguments.push(argument.to_owned());
        }
    }

    /// The process id; none if the process is not started.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process, if it is started.
    ///
    /// # Panics
    /// If the signal can't be sent.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let pid =
                Pid::from_raw(i32::try_from(child.id()).expect("process ids fit into an i32"));
            kill(pid, signal).expect("send a signal to the child process");
        }
    }

    /// Kills the process with SIGKILL, the closest approximation of a power failure on one machine.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The child may already have exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits up to `limit`, then kills the process. Returns whether it exited in
    /// time.
    pub fn terminate(&mut self, limit: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        let started = std::time::Instant::now();
        while started.elapsed() < limit {
            if self.has_ended() {
                self.child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        false
    }

    /// Whether the process has exited or is not started.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)) | Err(_)))
    }

    /// The exit code after the process has exited; none while it runs or if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        status.code()
    }

    /// The peak resident memory of the process, in KiB.
    pub fn peak_memory_kib(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// The contents of the log file.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The folder of the built binaries, two levels above the test's own path in
/// `target/PROFILE/deps`.
fn target_folder() -> PathBuf {
    let test = std::env::current_exe().expect("path of the test binary");
    test.ancestors()
        .nth(2)
        .map(Path::to_owned)
        .expect("tests run from target/PROFILE/deps")
}
