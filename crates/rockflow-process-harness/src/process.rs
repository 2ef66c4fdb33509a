//! One process: started, talked to, faulted by its id, measured, and gone with its handle.

use nix::sys::signal::kill;
use nix::unistd::{sysconf, Pid, SysconfVar};
use std::ffi::{OsStr, OsString};
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, TryRecvError};
use std::time::Duration;

pub use nix::sys::signal::Signal;

/// Lines of a process's output that wait for its reader; then the process waits.
const MAX_LINES: usize = 65_536;

/// What is to be started. Unless said otherwise nothing is read from it, and what it logs goes where ours does.
pub struct Start {
    command: Command,
    log: Option<PathBuf>,
    talks: bool,
}

impl Start {
    pub fn of(program: impl AsRef<OsStr>) -> Start {
        Start { command: Command::new(program), log: None, talks: false }
    }

    pub fn arg(mut self, arg: impl AsRef<OsStr>) -> Start {
        self.command.arg(arg);
        self
    }

    pub fn args<A: AsRef<OsStr>>(mut self, args: impl IntoIterator<Item = A>) -> Start {
        self.command.args(args);
        self
    }

    pub fn env(mut self, name: &str, value: impl Into<OsString>) -> Start {
        self.command.env(name, value.into());
        self
    }

    pub fn env_remove(mut self, name: &str) -> Start {
        self.command.env_remove(name);
        self
    }

    /// What it writes to stderr is appended there, behind what an earlier life wrote.
    pub fn log(mut self, path: impl Into<PathBuf>) -> Start {
        self.log = Some(path.into());
        self
    }

    /// Takes lines, and its output is read as lines.
    pub fn with_pipes(mut self) -> Start {
        self.talks = true;
        self
    }

    pub fn start(mut self) -> io::Result<Process> {
        if let Some(path) = &self.log {
            self.command.stderr(std::fs::OpenOptions::new().create(true).append(true).open(path)?);
        }
        if self.talks {
            self.command.stdin(Stdio::piped()).stdout(Stdio::piped());
        } else {
            self.command.stdin(Stdio::null()).stdout(Stdio::null());
        }
        let mut child = self.command.spawn()?;
        let input = child.stdin.take();
        let lines = child.stdout.take().map(|output| {
            let (sender, lines) = sync_channel(MAX_LINES);
            let output = BufReader::new(output).lines().map_while(Result::ok);
            std::thread::spawn(move || output.map(|line| sender.send(line)).all(|sent| sent.is_ok()));
            lines
        });
        Ok(Process { child, input, lines, log: self.log, ended: None })
    }
}

/// What the kernel tells of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub rss_kb: u64,
    pub max_rss_kb: u64,
    pub threads: u64,
    pub descriptors: usize,
    /// In user and system mode, of all its threads, also those that are gone.
    pub cpu_time: Duration,
}

impl Usage {
    /// None: there is no such process, or it has ended.
    pub fn of(id: u32) -> Option<Usage> {
        let folder = format!("/proc/{id}");
        let status = std::fs::read_to_string(format!("{folder}/status")).ok()?;
        let number = |name: &str| -> Option<u64> {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse().ok()
        };
        Some(Usage {
            rss_kb: number("VmRSS:")?,
            max_rss_kb: number("VmHWM:")?,
            threads: number("Threads:")?,
            descriptors: std::fs::read_dir(format!("{folder}/fd")).map_or(0, Iterator::count),
            cpu_time: cpu_time(&format!("{folder}/stat"))?,
        })
    }
}

/// Processor time by a file `stat` of the kernel's.
fn cpu_time(path: &str) -> Option<Duration> {
    let stat = std::fs::read_to_string(path).ok()?;
    // The name, in brackets, may hold anything; what follows it is the third field.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks = fields.split_whitespace().skip(11).take(2).filter_map(|word| word.parse::<u64>().ok());
    let a_second = sysconf(SysconfVar::CLK_TCK).ok().flatten().unwrap_or(100) as f64;
    Some(Duration::from_secs_f64(ticks.sum::<u64>() as f64 / a_second))
}

/// Processor time of the threads of that name of a process that are there now; none: there are none.
pub fn cpu_time_of_threads(id: u32, name: &str) -> Option<Duration> {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).ok()?.filter_map(Result::ok);
    let times = threads.filter_map(|thread| {
        let folder = thread.path();
        let named = std::fs::read_to_string(folder.join("comm")).ok()?;
        cpu_time(folder.join("stat").to_str()?).filter(|_| named.trim_end() == name)
    });
    times.reduce(|sum, time| sum + time)
}

/// The threads of a process that are there now.
pub fn thread_names(id: u32) -> Vec<String> {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().filter_map(Result::ok);
    let names = threads.filter_map(|thread| std::fs::read_to_string(thread.path().join("comm")).ok());
    names.map(|name| name.trim_end().to_string()).collect()
}

pub struct Process {
    child: Child,
    input: Option<ChildStdin>,
    lines: Option<Receiver<String>>,
    log: Option<PathBuf>,
    ended: Option<ExitStatus>,
}

impl Process {
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

    /// Signals the process by its id; an error once its end was taken note of: the id may be another's by then.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        if self.ended.is_some() {
            return Err(io::Error::new(io::ErrorKind::NotFound, "the process has ended"));
        }
        let id = i32::try_from(self.id()).map_err(io::Error::other)?;
        Ok(kill(Pid::from_raw(id), signal)?)
    }

    /// Ends it at once, and takes note of its end.
    pub fn kill(&mut self) {
        if self.exit_status().is_none() {
            let _ = self.child.kill();
            self.ended = self.child.wait().ok();
        }
    }

    /// Waits till it ends by itself.
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

    /// Waits so long for its end.
    pub fn wait_timeout(&mut self, timeout: Duration) -> Option<ExitStatus> {
        crate::wait_until(timeout, || self.exit_status().is_some());
        self.ended
    }

    /// Says a line to one that talks.
    pub fn write_line(&mut self, line: &str) -> io::Result<()> {
        let input = self.input.as_mut().ok_or_else(|| io::Error::other("nothing is told to this process"))?;
        writeln!(input, "{line}")
    }

    /// The next line of one that talks.
    pub fn read_line_timeout(&self, timeout: Duration) -> Result<String, RecvTimeoutError> {
        self.lines.as_ref().ok_or(RecvTimeoutError::Disconnected)?.recv_timeout(timeout)
    }

    /// The next line, if it is there already.
    pub fn try_read_line(&self) -> Result<String, TryRecvError> {
        self.lines.as_ref().ok_or(TryRecvError::Disconnected)?.try_recv()
    }

    /// What it, and earlier lives with the same file, have logged.
    pub fn log(&self) -> String {
        self.log_path().and_then(|path| std::fs::read_to_string(path).ok()).unwrap_or_default()
    }

    pub fn log_path(&self) -> Option<&Path> {
        self.log.as_deref()
    }

    pub fn usage(&self) -> Option<Usage> {
        Usage::of(self.id()).filter(|_| self.ended.is_none())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
