//! Starts a child process, exchanges lines with it, signals it and waits for its exit.

use crate::usage::Usage;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use std::ffi::{OsStr, OsString};
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, TryRecvError};
use std::time::Duration;

pub use nix::sys::signal::Signal;

/// Lines of output that are buffered until they are read. At the limit the pipe fills and the process blocks on
/// writing.
const MAX_QUEUED_LINES: usize = 65_536;

/// Builder of a [`Process`]. By default stdin is empty, stdout is discarded, and stderr is inherited from this process.
pub struct Start {
    command: Command,
    log: Option<PathBuf>,
    has_pipes: bool,
}

impl Start {
    /// Creates a builder for `program` without arguments.
    pub fn of(program: impl AsRef<OsStr>) -> Start {
        Start { command: Command::new(program), log: None, has_pipes: false }
    }

    /// Appends an argument.
    pub fn arg(mut self, arg: impl AsRef<OsStr>) -> Start {
        self.command.arg(arg);
        self
    }

    /// Appends arguments in order.
    pub fn args<A: AsRef<OsStr>>(mut self, args: impl IntoIterator<Item = A>) -> Start {
        self.command.args(args);
        self
    }

    /// Sets an environment variable of the process.
    pub fn env(mut self, name: &str, value: impl Into<OsString>) -> Start {
        self.command.env(name, value.into());
        self
    }

    /// Removes an environment variable that the process would inherit.
    pub fn env_remove(mut self, name: &str) -> Start {
        self.command.env_remove(name);
        self
    }

    /// Appends stderr to a file, which keeps what an earlier process wrote there.
    pub fn log(mut self, path: impl Into<PathBuf>) -> Start {
        self.log = Some(path.into());
        self
    }

    /// Connects stdin and stdout to pipes, which carry lines of UTF-8 text.
    pub fn with_pipes(mut self) -> Start {
        self.has_pipes = true;
        self
    }

    /// Starts the process.
    ///
    /// # Errors
    /// If the log file can't be opened or the process can't be started.
    pub fn start(mut self) -> io::Result<Process> {
        if let Some(path) = &self.log {
            self.command.stderr(std::fs::OpenOptions::new().create(true).append(true).open(path)?);
        }
        if self.has_pipes {
            self.command.stdin(Stdio::piped()).stdout(Stdio::piped());
        } else {
            self.command.stdin(Stdio::null()).stdout(Stdio::null());
        }
        let mut child = self.command.spawn()?;
        let stdin = child.stdin.take();
        let stdout_lines = child.stdout.take().map(|stdout| {
            let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
            let lines = BufReader::new(stdout).lines().map_while(Result::ok);
            std::thread::spawn(move || lines.map(|line| sender.send(line)).all(|sent| sent.is_ok()));
            receiver
        });
        Ok(Process { child, stdin, stdout_lines, log: self.log, exit_status: None })
    }
}

/// A started process, which is killed when the handle is dropped.
pub struct Process {
    child: Child,
    /// The pipe to the process; `None` without pipes.
    stdin: Option<ChildStdin>,
    /// Lines that a thread reads from the process; `None` without pipes.
    stdout_lines: Option<Receiver<String>>,
    log: Option<PathBuf>,
    /// The exit status, once the exit has been observed and the process id is free for reuse.
    exit_status: Option<ExitStatus>,
}

impl Process {
    /// The process id, which the system may reuse once the exit has been observed.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The exit status; `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        if self.exit_status.is_none() {
            self.exit_status = self.child.try_wait().ok().flatten();
        }
        self.exit_status
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// If the signal can't be sent, or if the exit has been observed: the id may belong to another process by then.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        if self.exit_status.is_some() {
            return Err(io::Error::new(io::ErrorKind::NotFound, "the process has exited"));
        }
        let id = i32::try_from(self.id()).map_err(io::Error::other)?;
        Ok(kill(Pid::from_raw(id), signal)?)
    }

    /// Kills the process with SIGKILL and waits for its exit. Does nothing if it has exited.
    pub fn kill(&mut self) {
        if self.exit_status().is_none() {
            let _ = self.child.kill();
            self.exit_status = self.child.wait().ok();
        }
    }

    /// Waits until the process exits by itself.
    ///
    /// # Errors
    /// If the system can't wait for the process.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        match self.exit_status {
            Some(status) => Ok(status),
            None => {
                let status = self.child.wait()?;
                self.exit_status = Some(status);
                Ok(status)
            }
        }
    }

    /// Waits up to `timeout` for the exit and returns the exit status; `None` if the process still runs then.
    pub fn wait_timeout(&mut self, timeout: Duration) -> Option<ExitStatus> {
        crate::wait_until(timeout, || self.exit_status().is_some());
        self.exit_status
    }

    /// Writes a line to stdin of the process.
    ///
    /// # Errors
    /// If the process was started without pipes, or if it has closed its stdin.
    pub fn write_line(&mut self, line: &str) -> io::Result<()> {
        let stdin =
            self.stdin.as_mut().ok_or_else(|| io::Error::other("the process was started without pipes"))?;
        writeln!(stdin, "{line}")
    }

    /// Reads the next line of stdout, and waits for it up to `timeout`.
    ///
    /// # Errors
    /// `Timeout` if no line came in time; `Disconnected` if stdout is closed or the process was started without pipes.
    pub fn read_line_timeout(&self, timeout: Duration) -> Result<String, RecvTimeoutError> {
        self.stdout_lines.as_ref().ok_or(RecvTimeoutError::Disconnected)?.recv_timeout(timeout)
    }

    /// Reads the next line of stdout without waiting.
    ///
    /// # Errors
    /// `Empty` if no line has come yet; `Disconnected` if stdout is closed or the process was started without pipes.
    pub fn try_read_line(&self) -> Result<String, TryRecvError> {
        self.stdout_lines.as_ref().ok_or(TryRecvError::Disconnected)?.try_recv()
    }

    /// The content of the log file, including what earlier processes wrote; empty if there is no log file.
    pub fn log(&self) -> String {
        self.log_path().and_then(|path| std::fs::read_to_string(path).ok()).unwrap_or_default()
    }

    /// The path of the log file; `None` if stderr is inherited.
    pub fn log_path(&self) -> Option<&Path> {
        self.log.as_deref()
    }

    /// The resources that the process uses; `None` once its exit has been observed.
    pub fn usage(&self) -> Option<Usage> {
        Usage::of(self.id()).filter(|_| self.exit_status.is_none())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
