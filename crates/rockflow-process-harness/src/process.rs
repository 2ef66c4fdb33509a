//! A child process: its start, its lines, signals and its end.

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

/// Lines of output that wait to be read; at the limit the process blocks on its output.
const MAX_QUEUED_LINES: usize = 65_536;

/// A process to be started. By default its input is empty, its output is dropped, and its stderr is this process's.
pub struct Start {
    command: Command,
    log: Option<PathBuf>,
    has_pipes: bool,
}

impl Start {
    /// A program to start, without arguments.
    pub fn of(program: impl AsRef<OsStr>) -> Start {
        Start { command: Command::new(program), log: None, has_pipes: false }
    }

    /// Adds an argument.
    pub fn arg(mut self, arg: impl AsRef<OsStr>) -> Start {
        self.command.arg(arg);
        self
    }

    /// Adds arguments.
    pub fn args<A: AsRef<OsStr>>(mut self, args: impl IntoIterator<Item = A>) -> Start {
        self.command.args(args);
        self
    }

    /// Sets a variable of its environment.
    pub fn env(mut self, name: &str, value: impl Into<OsString>) -> Start {
        self.command.env(name, value.into());
        self
    }

    /// Removes a variable from its environment.
    pub fn env_remove(mut self, name: &str) -> Start {
        self.command.env_remove(name);
        self
    }

    /// Appends its stderr to a file, after what an earlier process wrote there.
    pub fn log(mut self, path: impl Into<PathBuf>) -> Start {
        self.log = Some(path.into());
        self
    }

    /// Connects its input and output to pipes, which carry lines.
    pub fn with_pipes(mut self) -> Start {
        self.has_pipes = true;
        self
    }

    /// Starts the process.
    ///
    /// # Errors
    /// If the log can't be opened or the process can't be started.
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
        let input = child.stdin.take();
        let lines = child.stdout.take().map(|output| {
            let (sender, lines) = sync_channel(MAX_QUEUED_LINES);
            let output = BufReader::new(output).lines().map_while(Result::ok);
            std::thread::spawn(move || output.map(|line| sender.send(line)).all(|sent| sent.is_ok()));
            lines
        });
        Ok(Process { child, input, lines, log: self.log, ended: None })
    }
}

/// A started process, which is killed when dropped.
pub struct Process {
    child: Child,
    input: Option<ChildStdin>,
    lines: Option<Receiver<String>>,
    log: Option<PathBuf>,
    ended: Option<ExitStatus>,
}

impl Process {
    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// How it ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        if self.ended.is_none() {
            self.ended = self.child.try_wait().ok().flatten();
        }
        self.ended
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// If the signal can't be sent, or if its end has been observed: its id may be another process's by then.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        if self.ended.is_some() {
            return Err(io::Error::new(io::ErrorKind::NotFound, "the process has ended"));
        }
        let id = i32::try_from(self.id()).map_err(io::Error::other)?;
        Ok(kill(Pid::from_raw(id), signal)?)
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if self.exit_status().is_none() {
            let _ = self.child.kill();
            self.ended = self.child.wait().ok();
        }
    }

    /// Waits till it ends by itself.
    ///
    /// # Errors
    /// If it can't be waited for.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        match self.ended {
            Some(status) => Ok(status),
            None => {
                let status = self.child.wait()?;
                self.ended = Some(status);
                Ok(status)
            }
        }
    }

    /// Waits for its end, at most for `timeout`, and returns how it ended if it has.
    pub fn wait_timeout(&mut self, timeout: Duration) -> Option<ExitStatus> {
        crate::wait_until(timeout, || self.exit_status().is_some());
        self.ended
    }

    /// Writes a line to its input.
    ///
    /// # Errors
    /// If it was started without pipes, or if its input is closed.
    pub fn write_line(&mut self, line: &str) -> io::Result<()> {
        let input = self.input.as_mut().ok_or_else(|| io::Error::other("nothing is told to this process"))?;
        writeln!(input, "{line}")
    }

    /// Reads the next line of its output, and waits for it at most for `timeout`.
    ///
    /// # Errors
    /// If there was none in time, if its output is closed, or if it was started without pipes.
    pub fn read_line_timeout(&self, timeout: Duration) -> Result<String, RecvTimeoutError> {
        self.lines.as_ref().ok_or(RecvTimeoutError::Disconnected)?.recv_timeout(timeout)
    }

    /// Reads the next line of its output without waiting.
    ///
    /// # Errors
    /// If there is none yet, if its output is closed, or if it was started without pipes.
    pub fn try_read_line(&self) -> Result<String, TryRecvError> {
        self.lines.as_ref().ok_or(TryRecvError::Disconnected)?.try_recv()
    }

    /// The content of its log file, that of earlier processes included; empty without one.
    pub fn log(&self) -> String {
        self.log_path().and_then(|path| std::fs::read_to_string(path).ok()).unwrap_or_default()
    }

    /// The path of its log file.
    pub fn log_path(&self) -> Option<&Path> {
        self.log.as_deref()
    }

    /// The resources that it uses; `None` once its end has been observed.
    pub fn usage(&self) -> Option<Usage> {
        Usage::of(self.id()).filter(|_| self.ended.is_none())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
