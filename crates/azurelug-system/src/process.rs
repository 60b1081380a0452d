//! One daemon as a child process that a test can kill, freeze and start again.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// A daemon and how to start it again.
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Prepares a daemon of this workspace; it does not run yet. The variable `AZURELUG_ENTRY` names
    /// another build of the entry daemon, so that two versions can be measured in turn.
    ///
    /// # Panics
    /// If the binary was not built.
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

    /// Starts the daemon; its log is appended to its file.
    ///
    /// # Panics
    /// If the process can't be started.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("open the log");
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("start the daemon");
        self.child = Some(child);
    }

    /// Adds an argument for later starts, or removes it.
    pub fn set_argument(&mut self, argument: &str, is_set: bool) {
        self.arguments.retain(|known| known != argument);
        if is_set {
            self.arguments.push(argument.to_owned());
        }
    }

    /// The process id, if the process was started.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal, if the process runs.
    ///
    /// # Panics
    /// If the signal can't be sent.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let pid = Pid::from_raw(i32::try_from(child.id()).expect("process ids fit"));
            kill(pid, signal).expect("send a signal to a child");
        }
    }

    /// Kills the process as a power failure would end it, as far as one machine can show that.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The child may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process gracefully and waits up to `limit`; returns whether it ended by itself.
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

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)) | Err(_)))
    }

    /// The exit code, once the process has ended by itself; none if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        status.code()
    }

    /// The most memory that the process has had in use so far, in KiB.
    pub fn peak_memory_kib(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// The log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The folder of the built binaries: tests run from `target/PROFILE/deps`.
fn target_folder() -> PathBuf {
    let test = std::env::current_exe().expect("the test has a path");
    test.ancestors()
        .nth(2)
        .map(Path::to_owned)
        .expect("tests run from target/PROFILE/deps")
}
