//! One process of a fleet, a control node or a dispatcher, with its addresses and files.

use super::layout::Layout;
use crate::{free_tcp, Process, Signal, Start};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether a process is started with its operator file, which turns dissemination on.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Dissemination {
    On,
    Off,
}

/// The reason why a request for an object failed.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The connection failed or ended before a complete answer came.
    #[error("no answer")]
    NoAnswer,
    /// The status was not 200; holds the complete answer.
    #[error("{0}")]
    Status(String),
}

/// A control node or dispatcher of a fleet.
pub struct Member {
    /// The name, which its files and the directory carry.
    pub name: String,
    /// The address of its own socket for datagrams, which others reach through the proxy only.
    pub socket_address: SocketAddr,
    /// The TCP address at which a dispatcher serves clients; unused by a control node.
    pub address: SocketAddr,
    /// The process; `None` before the first start and after [`Member::kill`].
    pub process: Option<Process>,
    /// The path of the JSON configuration.
    pub(super) config: PathBuf,
    /// The path of the operator file.
    pub(super) operator: PathBuf,
    log: PathBuf,
    /// The command of the program: `control` or `serve`.
    pub(super) command: &'static str,
    log_level: &'static str,
}

impl Member {
    /// Creates a member that is not started yet, and chooses a free TCP port for it.
    pub(super) fn new(
        layout: &Layout,
        name: &str,
        command: &'static str,
        socket_address: SocketAddr,
    ) -> io::Result<Member> {
        let file = |extension: &str| layout.folder.join(format!("{name}.{extension}"));
        Ok(Member {
            name: name.to_string(),
            socket_address,
            address: free_tcp()?,
            process: None,
            config: file("json"),
            operator: file("ini"),
            log: file("log"),
            command,
            log_level: if command == "serve" { layout.log_level } else { "info" },
        })
    }

    /// Starts the process. An earlier one that still runs is killed once the new one has started.
    pub(super) fn start(&mut self, program: &Path, dissemination: Dissemination) -> io::Result<()> {
        let start = Start::of(program).args([self.command, "--log", self.log_level, "--config"]);
        let start = start.arg(&self.config).log(&self.log);
        let mut start = start.env_remove("GW_LISTEN").env_remove("GW_NAME").env_remove("ROCKFLOW_OPERATOR");
        if dissemination == Dissemination::On {
            start = start.arg("--operator").arg(&self.operator);
        }
        self.process = Some(start.start()?);
        Ok(())
    }

    /// Kills the process. Does nothing if there is none.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// If the process does not run, or if the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let not_running = || io::Error::new(io::ErrorKind::NotFound, format!("{} does not run", self.name));
        self.process.as_ref().ok_or_else(not_running)?.signal(signal)
    }

    /// The content of the log file, including what earlier processes of this member wrote; empty if it can't be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The path of the log file, which exists once the member was started.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// Whether the member answers its health check with status 200.
    pub fn is_ready(&self) -> bool {
        self.get("/_health", &[]).is_some_and(|answer| answer.starts_with("HTTP/1.1 200 "))
    }

    /// Requests an object of the class `pages` as a client, with `call` as the request id, and returns the body.
    ///
    /// # Errors
    /// If no complete answer came, or if its status is not 200.
    pub fn serve(&self, object: &str, call: u64) -> Result<String, ServeError> {
        let call = format!("{call:016x}");
        let headers = [("X-Call-Id", call.as_str()), ("X-Group", "1"), ("X-Patience-Ms", "4000")];
        let answer = self.get(&format!("/invoke/pages/{object}"), &headers).ok_or(ServeError::NoAnswer)?;
        match answer.split_once("\r\n\r\n") {
            Some((head, body)) if head.starts_with("HTTP/1.1 200 ") => Ok(body.to_string()),
            _ => Err(ServeError::Status(answer)),
        }
    }

    /// Sends a GET request on a new connection and returns the complete answer; `None` if the connection fails or times
    /// out.
    fn get(&self, path: &str, headers: &[(&str, &str)]) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.address, REQUEST_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(REQUEST_TIMEOUT)).ok()?;
        let headers: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        write!(stream, "GET {path} HTTP/1.1\r\nConnection: close\r\n{headers}\r\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }
}
